/** Runs one plan against the reducers and checks every guarantee. */
import {
  BrokenInvariantError,
  type BoxEvent,
  type DecisionSettings,
  type Mutation,
} from 'reedlug-decisions';
import { performEffect } from '../world/performEffect.js';
import { engineOptionsOf, type EngineProfile } from '../world/engineProfile.js';
import { createWorld, runUntil, stateSeedOf } from '../world/world.js';
import type { World } from '../world/worldTypes.js';
import { createCallers, type Callers, type WorldViolation } from './callers.js';
import { BENIGN_FAULTS, FaultKind, type CheckPlan } from './checkPlan.js';
import { checkSettings } from './checkSettings.js';
import { createOperators, type Operators } from './operators.js';
import { injectFault } from './injectFault.js';

/** Result of a run. */
export interface SeedResult {
  seed: number;
  events: number;
  faults: number;
  violation: WorldViolation | undefined;
  faultCounts: Partial<Record<FaultKind, number>>;
  outcomes: Record<string, number>;
  confirmed: number;
  conflicts: number;
  /** Last events of the run, which lead to the violation if there is one. */
  lastEvents: string[];
}

/** Time after the last call and fault within which every request must finish. */
const SETTLE_MS = 45_000;
const MAX_LAST_EVENTS = 60;

/** Receives the settings and events of the boxes to record them in a trace. */
export interface RunRecorder {
  onStart: (
    boxId: string,
    settings: DecisionSettings,
    stateSeed: number,
    startedAtMs: number,
  ) => void;
  onEvent: (boxId: string, event: BoxEvent) => void;
}

/** Runs a plan until its end or the first violation. */
export function runPlan(
  plan: CheckPlan,
  mutations: ReadonlySet<Mutation>,
  recorder?: RunRecorder,
): SeedResult {
  const lastEvents: string[] = [];
  const world = createCheckWorld(plan.seed, mutations);
  for (const [boxId, box] of world.boxes) {
    recorder?.onStart(boxId, box.settings, stateSeedOf(world, box.settings.incarnation), 0);
  }
  world.onEvent = (boxId, event) => {
    recorder?.onEvent(boxId, event);
    if (event.type === 'tick') return;
    lastEvents.push(`${boxId} ${JSON.stringify(event)}`);
    if (lastEvents.length > MAX_LAST_EVENTS) lastEvents.shift();
  };
  const callers = createCallers(world, plan.calls);
  const operators = createOperators(world, plan.races);
  const orderViolations = watchFences(world);
  for (const fault of plan.faults) world.queue.at(fault.atMs, () => injectFault(world, fault));
  const violation = findViolation(world, plan, callers, operators, orderViolations);
  return {
    seed: plan.seed,
    events: world.eventCount,
    faults: plan.faults.length,
    violation,
    faultCounts: countFaults(plan),
    outcomes: countOutcomes(callers),
    confirmed: operators.confirmed,
    conflicts: operators.conflicts,
    lastEvents,
  };
}

/** Engines of the checked deployment. Their KV cache is small enough to overflow. */
const CHECK_ENGINE: EngineProfile = {
  kvCapacityTokens: 16_000,
  prefillTokensPerMs: 8,
  interTokenMs: 10,
  crowding: 0.5,
};

/** Returns a world of the checked deployment without planned calls or faults. */
export function createCheckWorld(seed: number, mutations: ReadonlySet<Mutation>): World {
  const settings = checkSettings();
  return createWorld(
    {
      seed,
      settings,
      engineOptions: (spec) => engineOptionsOf(spec, CHECK_ENGINE, 16),
      serviceAnswerMs: 20,
      crossZoneMs: 1.5,
      tickMs: 50,
      engineStartMs: 1500,
      mutations,
      duplicateEventShare: 0.05,
    },
    performEffect,
  );
}

/**
 * Records a violation when a server accepts a lower fence than before, or when two processes send
 * orders under the same fence. Each grant of the lease has its own fence, and fences only increase.
 */
function watchFences(world: World): WorldViolation[] {
  const violations: WorldViolation[] = [];
  const highestFences = new Map<string, number>();
  const fenceHolders = new Map<number, string>();
  world.observer.onOrder = (serverId, fence, sentBy) => {
    const holder = fenceHolders.get(fence) ?? sentBy;
    fenceHolders.set(fence, holder);
    if (holder !== sentBy) {
      const detail = `${holder} and ${sentBy} sent orders under the same fence ${fence}`;
      violations.push({ name: 'fenceShared', detail });
    }
    const previous = highestFences.get(serverId) ?? 0;
    if (fence < previous) {
      const detail = `${serverId} accepted fence ${fence} from ${sentBy} after fence ${previous}`;
      violations.push({ name: 'orderSteppedBack', detail });
    }
    highestFences.set(serverId, Math.max(previous, fence));
  };
  return violations;
}

function findViolation(
  world: World,
  plan: CheckPlan,
  callers: Callers,
  operators: Operators,
  orderViolations: readonly WorldViolation[],
): WorldViolation | undefined {
  try {
    const STEP_MS = 1000;
    const endMs = plan.lengthMs + SETTLE_MS;
    for (let untilMs = STEP_MS; untilMs <= endMs; untilMs += STEP_MS) {
      runUntil(world, untilMs);
      const violation = callers.violations[0] ?? operators.violations[0] ?? orderViolations[0];
      if (violation !== undefined) return violation;
      if (untilMs > plan.lengthMs + STEP_MS * 8 && allFinished(callers)) break;
    }
  } catch (error) {
    if (!(error instanceof BrokenInvariantError)) throw error;
    const name = error.violation?.name ?? 'unknown';
    return { name, detail: error.message };
  }
  return checkFinalState(world, plan, callers);
}

function allFinished(callers: Callers): boolean {
  return [...callers.calls.values()].every((call) => call.finish !== undefined || !call.box.alive);
}

function checkFinalState(
  world: World,
  plan: CheckPlan,
  callers: Callers,
): WorldViolation | undefined {
  for (const call of callers.calls.values()) {
    if (call.finish === undefined && call.box.alive) {
      const phase = call.box.state.requests.get(call.planned.requestId)?.phase.kind;
      return { name: 'noOutcome', detail: `${call.planned.requestId} (${phase ?? 'no record'})` };
    }
  }
  return findStaleConfig(world) ?? findLostRequest(plan, callers);
}

function findStaleConfig(world: World): WorldViolation | undefined {
  const revisions = [...world.table.rows.keys()].filter((key) => key.startsWith('config/log/'));
  for (const [boxId, box] of world.boxes) {
    if (!box.alive || box.state.config.revision === revisions.length) continue;
    const detail = `${boxId} has revision ${box.state.config.revision} of ${revisions.length}`;
    return { name: 'configNotInForce', detail };
  }
  return undefined;
}

/** Returns a violation if a request was lost although the plan has only benign faults. */
function findLostRequest(plan: CheckPlan, callers: Callers): WorldViolation | undefined {
  if (!plan.faults.every(({ kind }) => BENIGN_FAULTS.includes(kind))) return undefined;
  for (const call of callers.calls.values()) {
    const { finish, planned } = call;
    if (finish === undefined || call.gone || planned.kind === 'singleDraft') continue;
    const lost = finish.outcome === 'failed' || finish.outcome === 'unknown';
    if (!lost || finish.reason === 'handedOver') continue;
    const detail = `${planned.requestId} (${planned.kind}) finished as ${finish.outcome}: ${finish.reason}`;
    return { name: 'lostByAnnouncedFault', detail };
  }
  return undefined;
}

function countFaults(plan: CheckPlan): Partial<Record<FaultKind, number>> {
  const counts: Partial<Record<FaultKind, number>> = {};
  for (const { kind } of plan.faults) counts[kind] = (counts[kind] ?? 0) + 1;
  return counts;
}

function countOutcomes(callers: Callers): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { finish } of callers.calls.values()) {
    const outcome = finish?.outcome ?? 'connectionLost';
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}
