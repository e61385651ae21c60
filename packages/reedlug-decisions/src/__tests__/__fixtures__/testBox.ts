/** A box for tests, whose reducer checks the invariants after each event. */
import { DEFAULT_CONTROL, DEFAULT_POLICY } from '../../defaults.js';
import { createInvariantMemory, reduceChecked } from '../../invariants/index.js';
import { createBoxState, type BoxState } from '../../state.js';
import type { Effect } from '../../types/effect.js';
import type { EventBody } from '../../types/event.js';
import type { RequestSpec } from '../../types/request.js';
import type { DecisionSettings, ServerSpec } from '../../types/settings.js';

/** A box under test. */
export interface TestBox {
  state: BoxState;
  /** Applies an event at a time and returns its effects. */
  send: (nowMs: number, event: EventBody) => Effect[];
  /** Applies a tick every 50 ms from one time to another and returns all effects. */
  tickThrough: (fromMs: number, toMs: number) => Effect[];
}

/** Returns an engine of the test deployment. */
export function testEngine(id: string, changes: Partial<ServerSpec> = {}): ServerSpec {
  return {
    id,
    kind: 'engine',
    zone: 'zone-a',
    pool: 'draft',
    version: 'v1',
    slots: 4,
    machineClass: 'standard',
    reclaimable: true,
    checksFence: true,
    address: `http://${id}`,
    ...changes,
  };
}

/** Returns a plain service of the test deployment. */
export function testService(id: string): ServerSpec {
  return { ...testEngine(id), kind: 'service', pool: 'records', version: '' };
}

/** Returns the settings of a deployment with two boxes in one zone. */
export function testSettings(changes: Partial<DecisionSettings> = {}): DecisionSettings {
  return {
    boxId: 'box-1',
    zone: 'zone-a',
    incarnation: 1,
    zones: [
      { name: 'zone-a', site: 'old' },
      { name: 'zone-b', site: 'new' },
    ],
    boxes: [
      { id: 'box-1', zone: 'zone-a', peerAddress: '' },
      { id: 'box-2', zone: 'zone-a', peerAddress: '' },
    ],
    servers: [testEngine('engine-1'), testEngine('engine-2'), testService('records-1')],
    offers: [],
    pools: [],
    workspaces: [{ id: 'lab', requestsPerSecond: 100, burst: 100, maxQueued: 50 }],
    deduplicatingServices: [],
    policy: { ...DEFAULT_POLICY, urgentReservedSlots: 0 },
    control: DEFAULT_CONTROL,
    ...changes,
  };
}

/** Returns a box that is ready and has received a report from each of its servers. */
export function createTestBox(changes: Partial<DecisionSettings> = {}): TestBox {
  const settings = testSettings(changes);
  const state = createBoxState({ settings, seed: 1, nowMs: 0 });
  const memory = createInvariantMemory();
  const send = (nowMs: number, event: EventBody): Effect[] =>
    reduceChecked(memory, state, { ...event, nowMs });
  const tickThrough = (fromMs: number, toMs: number): Effect[] => {
    const effects: Effect[] = [];
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += 50) {
      effects.push(...send(nowMs, { type: 'tick', epochMs: nowMs }));
    }
    return effects;
  };
  const box = { state, send, tickThrough };
  makeReady(box, settings);
  return box;
}

function makeReady(box: TestBox, settings: DecisionSettings): void {
  const effects = box.send(0, { type: 'tick', epochMs: 0 });
  for (const effect of effects) {
    if (effect.type !== 'requestTable' || effect.op.kind !== 'scan') continue;
    box.send(0, { type: 'tableAnswered', opId: effect.opId, answer: { kind: 'done', rows: [] } });
  }
  for (const { id } of settings.servers) reportServer(box, 0, id);
}

/** Sends the box the report of an idle server, as if it had answered a probe. */
export function reportServer(box: TestBox, nowMs: number, serverId: string, incarnation = 1): void {
  const spec = box.state.servers.get(serverId)?.spec;
  box.send(nowMs, {
    type: 'serverReported',
    serverId,
    report: {
      incarnation,
      running: 0,
      waiting: 0,
      model: spec?.pool ?? '',
      version: spec?.version ?? '',
      role: 'serve',
      leaving: false,
      kvUsedShare: 0,
      kvHitShare: 1,
    },
  });
}

/** Returns a draft, which is a repeatable request to an engine. */
export function testDraft(requestId: string, changes: Partial<RequestSpec> = {}): RequestSpec {
  return {
    requestId,
    workspaceId: 'lab',
    requestClass: 'patient',
    kind: 'engine',
    pool: 'draft',
    version: '',
    repeatable: true,
    idempotencyKey: undefined,
    digest: '',
    deadlineAtMs: 60_000,
    affinityHash: 7,
    promptTokens: 100,
    maxTokens: 10,
    ...changes,
  };
}

/** Returns a notice, which is a request to a plain service that may not be repeated. */
export function testNotice(requestId: string, key: string | undefined): RequestSpec {
  return testDraft(requestId, {
    requestClass: 'urgent',
    kind: 'service',
    pool: 'records',
    repeatable: false,
    idempotencyKey: key,
    digest: 'digest',
    promptTokens: 0,
    maxTokens: 0,
  });
}

/** Returns the first effect of a type, or undefined. */
export function effectOf<T extends Effect['type']>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }> | undefined {
  return effects.find((effect) => effect.type === type) as Extract<Effect, { type: T }> | undefined;
}

/** Returns all effects of a type. */
export function effectsOf<T extends Effect['type']>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }>[] {
  return effects.filter((effect) => effect.type === type) as Extract<Effect, { type: T }>[];
}
