/** Generates the load of a measurement: conversations with drafts, short questions and look-ups. */
import { hashString, Outcome } from 'reedlug-coordination';
import type { Effect, RequestSpec } from 'reedlug-decisions';
import { emit } from '../world/emit.js';
import type { World, WorldBox } from '../world/worldTypes.js';
import type { Scenario } from './scenario.js';

type Finish = Extract<Effect, { type: 'finishRequest' }>;

/** Measured values of one finished request. */
export interface Sample {
  workspaceId: string;
  kind: 'engine' | 'service';
  requestClass: 'urgent' | 'patient';
  outcome: Outcome;
  reason: string;
  accepted: boolean;
  firstTokenMs: number | undefined;
  wholeMs: number;
  betweenTokensMs: number;
  promptTokens: number;
  completionTokens: number;
}

/** State and samples of the load. */
export interface Workload {
  samples: Sample[];
  promptTokens: number;
  recomputedTokens: number;
  /** Requests that have no outcome yet. */
  open: Map<string, OpenRequest>;
  conversationCount: number;
  requestCount: number;
}

interface OpenRequest {
  spec: RequestSpec;
  box: WorldBox;
  startedAtMs: number;
  firstTokenAtMs: number | undefined;
  tries: number;
  attempted: boolean;
  conversation: Conversation | undefined;
}

interface Conversation {
  id: string;
  workspaceId: string;
  urgent: boolean;
  turnsLeft: number;
  contextTokens: number;
  affinityHash: number;
}

/** Arrivals per second on an ordinary day, for each engine. */
const DRAFTS_PER_ENGINE = 0.11;
const QUESTIONS_PER_ENGINE = 0.35;
const LOOK_UPS_PER_ENGINE = 1.2;
const MEAN_THINK_MS = 9000;
const MAX_TRIES = 3;
const URGENT_DEADLINE_MS = 8000;
const PATIENT_DEADLINE_MS = 90_000;
/** Time before the measurement starts, in which the caches warm up. */
const WARM_UP_MS = 30_000;

/** Schedules the load in a world and collects its samples. */
export function createWorkload(world: World, scenario: Scenario, engineCount: number): Workload {
  const workload: Workload = {
    samples: [],
    promptTokens: 0,
    recomputedTokens: 0,
    open: new Map(),
    conversationCount: 0,
    requestCount: 0,
  };
  const computedTokens = new Map<number, number>();
  world.observer.onPrefill = (affinityHash, cachedTokens, contextTokens) => {
    const previous = computedTokens.get(affinityHash) ?? 0;
    computedTokens.set(affinityHash, Math.max(previous, contextTokens));
    if (world.queue.nowMs() < WARM_UP_MS) return;
    workload.promptTokens += contextTokens;
    workload.recomputedTokens += Math.max(0, Math.min(previous, contextTokens) - cachedTokens);
  };
  world.observer.onRun = (_serverId, requestId) => {
    const open = workload.open.get(requestId);
    if (open !== undefined) open.attempted = true;
  };
  world.observer.onTokens = (_boxId, requestId) => {
    const open = workload.open.get(requestId);
    if (open !== undefined) open.firstTokenAtMs ??= world.queue.nowMs();
  };
  world.observer.onFinish = (_boxId, finish) =>
    handleFinish(world, workload, computedTokens, finish);
  startArrivals(world, workload, scenario, engineCount);
  return workload;
}

function workspacesOf(world: World): { patient: string[]; urgent: string[] } {
  const ids = world.options.settings.workspaces.map(({ id }) => id);
  // In the examples, the workspace of the floor, counter or offices sends the urgent questions, and
  // the two largest workspaces send the drafts.
  const urgentIds = ids.filter((id) => /floor|counter|offices/.test(id));
  const patient = ids.filter((id) => !urgentIds.includes(id));
  return { patient, urgent: urgentIds.length > 0 ? urgentIds : ids };
}

function startArrivals(
  world: World,
  workload: Workload,
  scenario: Scenario,
  engineCount: number,
): void {
  const { patient, urgent } = workspacesOf(world);
  const noisy = patient[0];
  let drafts = 0;
  const scheduleArrivals = (perSecond: (atMs: number) => number, onArrival: () => void): void => {
    const scheduleNext = (): void => {
      const nowMs = world.queue.nowMs();
      const rate = Math.max(1e-6, perSecond(nowMs));
      world.queue.at(nowMs + world.random.exponential(1000 / rate), () => {
        if (world.queue.nowMs() > scenario.lengthMs) return;
        onArrival();
        scheduleNext();
      });
    };
    scheduleNext();
  };
  scheduleArrivals(
    (atMs) => DRAFTS_PER_ENGINE * engineCount * scenario.patientFactor(atMs),
    () => {
      drafts += 1;
      startDraft(world, workload, scenario, patient[drafts % patient.length] ?? '');
    },
  );
  if (scenario.noisyFactor > 1 && noisy !== undefined) {
    const draftsPerWorkspace = (DRAFTS_PER_ENGINE * engineCount) / patient.length;
    scheduleArrivals(
      () => draftsPerWorkspace * (scenario.noisyFactor - 1),
      () => startDraft(world, workload, scenario, noisy),
    );
  }
  scheduleArrivals(
    () => QUESTIONS_PER_ENGINE * engineCount * scenario.urgentFactor,
    () => startQuestion(world, workload, world.random.pick(urgent)),
  );
  scheduleArrivals(
    () => LOOK_UPS_PER_ENGINE * engineCount * scenario.urgentFactor,
    () =>
      submitRequest(
        world,
        workload,
        createLookUp(world, workload, world.random.pick(urgent)),
        undefined,
        1,
      ),
  );
}

function createConversation(
  workload: Workload,
  workspaceId: string,
  urgent: boolean,
  turnsLeft: number,
  contextTokens: number,
): Conversation {
  workload.conversationCount += 1;
  const id = `c${workload.conversationCount}`;
  const affinityHash = hashString(`${workspaceId}|${id}`);
  return { id, workspaceId, urgent, turnsLeft, contextTokens, affinityHash };
}

function startDraft(
  world: World,
  workload: Workload,
  scenario: Scenario,
  workspaceId: string,
): void {
  const { random } = world;
  const prompt = Math.round(random.logNormal(1800 * scenario.promptFactor, 0.5));
  const conversation = createConversation(workload, workspaceId, false, random.whole(3, 9), prompt);
  startTurn(world, workload, conversation);
}

function startQuestion(world: World, workload: Workload, workspaceId: string): void {
  const { random } = world;
  const prompt = Math.round(random.logNormal(220, 0.4));
  const conversation = createConversation(workload, workspaceId, true, random.whole(1, 2), prompt);
  startTurn(world, workload, conversation);
}

function startTurn(world: World, workload: Workload, conversation: Conversation): void {
  const { random } = world;
  const median = conversation.urgent ? 30 : 220;
  const maxTokens = Math.max(4, Math.round(random.logNormal(median, 0.4)));
  const requestClass = conversation.urgent ? 'urgent' : 'patient';
  const pool = world.options.settings.pools[0]?.model ?? '';
  const spec: RequestSpec = {
    requestId: nextRequestId(workload),
    workspaceId: conversation.workspaceId,
    requestClass,
    kind: 'engine',
    pool,
    version: '',
    repeatable: true,
    idempotencyKey: undefined,
    digest: '',
    deadlineAtMs:
      world.queue.nowMs() + (conversation.urgent ? URGENT_DEADLINE_MS : PATIENT_DEADLINE_MS),
    affinityHash: conversation.affinityHash,
    promptTokens: conversation.contextTokens,
    maxTokens,
  };
  submitRequest(world, workload, spec, conversation, 1);
}

function nextRequestId(workload: Workload): string {
  workload.requestCount += 1;
  return `m${workload.requestCount}`;
}

function createLookUp(world: World, workload: Workload, workspaceId: string): RequestSpec {
  const service = world.options.settings.servers.find(({ kind }) => kind === 'service')?.pool ?? '';
  return {
    requestId: nextRequestId(workload),
    workspaceId,
    requestClass: 'urgent',
    kind: 'service',
    pool: service,
    version: '',
    repeatable: true,
    idempotencyKey: undefined,
    digest: '',
    deadlineAtMs: world.queue.nowMs() + 3000,
    affinityHash: 0,
    promptTokens: 0,
    maxTokens: 0,
  };
}

/** Sends a request to a random box that accepts requests, as the load balancer does. */
function submitRequest(
  world: World,
  workload: Workload,
  spec: RequestSpec,
  conversation: Conversation | undefined,
  tries: number,
): void {
  const boxes = [...world.boxes.values()].filter(
    (box) => box.alive && box.state.draining === undefined,
  );
  if (boxes.length === 0) return;
  const box = world.random.pick(boxes);
  workload.open.set(spec.requestId, {
    spec,
    box,
    startedAtMs: world.queue.nowMs(),
    firstTokenAtMs: undefined,
    tries,
    attempted: false,
    conversation,
  });
  emit(world, box, { type: 'requestArrived', spec });
}

function handleFinish(
  world: World,
  workload: Workload,
  computedTokens: Map<number, number>,
  finish: Finish,
): void {
  const open = workload.open.get(finish.requestId);
  if (open === undefined) return;
  workload.open.delete(finish.requestId);
  const nowMs = world.queue.nowMs();
  if (open.startedAtMs >= WARM_UP_MS) workload.samples.push(sampleOf(open, finish, nowMs));
  const { conversation } = open;
  if (finish.outcome !== Outcome.completed) {
    retryLater(world, workload, open, finish);
    return;
  }
  if (conversation === undefined) return;
  const context = open.spec.promptTokens + finish.completionTokens;
  computedTokens.set(
    open.spec.affinityHash,
    Math.max(computedTokens.get(open.spec.affinityHash) ?? 0, context),
  );
  continueConversation(world, workload, conversation, context);
}

function continueConversation(
  world: World,
  workload: Workload,
  conversation: Conversation,
  contextTokens: number,
): void {
  conversation.turnsLeft -= 1;
  if (conversation.turnsLeft <= 0) return;
  const addedTokens = world.random.logNormal(conversation.urgent ? 40 : 300, 0.5);
  conversation.contextTokens = contextTokens + Math.round(addedTokens);
  const thinkMs = world.random.exponential(MEAN_THINK_MS);
  world.queue.at(world.queue.nowMs() + thinkMs, () => startTurn(world, workload, conversation));
}

/** Sends a refused request again after the delay that the refusal asks for. */
function retryLater(world: World, workload: Workload, open: OpenRequest, finish: Finish): void {
  if (finish.outcome !== Outcome.notRun || open.tries >= MAX_TRIES) return;
  const delayMs = finish.retryAfterMs ?? 1000;
  world.queue.at(world.queue.nowMs() + delayMs, () => {
    const leftMs = open.spec.deadlineAtMs - open.startedAtMs;
    const spec = {
      ...open.spec,
      requestId: nextRequestId(workload),
      deadlineAtMs: world.queue.nowMs() + leftMs,
    };
    submitRequest(world, workload, spec, open.conversation, open.tries + 1);
  });
}

function sampleOf(open: OpenRequest, finish: Finish, nowMs: number): Sample {
  const { spec, startedAtMs, firstTokenAtMs } = open;
  const tokens = finish.completionTokens;
  const spanMs = firstTokenAtMs === undefined ? 0 : nowMs - firstTokenAtMs;
  return {
    workspaceId: spec.workspaceId,
    kind: spec.kind,
    requestClass: spec.requestClass,
    outcome: finish.outcome,
    reason: finish.reason,
    accepted: finish.outcome !== Outcome.notRun || open.attempted,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - startedAtMs,
    wholeMs: nowMs - startedAtMs,
    betweenTokensMs: tokens > 1 ? spanMs / (tokens - 1) : 0,
    promptTokens: spec.promptTokens,
    completionTokens: tokens,
  };
}
