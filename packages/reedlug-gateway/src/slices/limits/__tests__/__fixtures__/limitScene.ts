import {
  configuration,
  createBox,
  facts,
  listBoxes,
  listBoxesAfterRestart,
  ofType,
  settings,
  type TestBox,
} from '../../../../__tests__/__fixtures__/box.js';
import { createRandom } from '../../../../__tests__/__fixtures__/random.js';
import { eventOfDatagram } from '../../../../daemon/datagramEvent.js';
import type { Effect } from '../../../../types/effect.js';
import type { PeerAddress, PeerDatagram } from '../../../../types/peer.js';
import { WINDOW_MS } from './unitsInWindow.js';

const TICK_MS = 50;
const RATE_PER_SECOND = 50_000;
const BURST = 100_000;
const SLACK = 140_000;
const OVER_SHARE = 0.1;
const DURATION_MS = 22_000;

/** Fault injected into a box or into the links between boxes, or a change of the limit. */
export type Fault =
  | { kind: 'restart'; box: number; atMs: number }
  /** All boxes restart at once and are down for `forMs`. */
  | { kind: 'restartAll'; atMs: number; forMs: number }
  /** Boxes with a number below `below` are partitioned from the others. */
  | { kind: 'cut'; below: number; atMs: number; forMs: number }
  | { kind: 'lossy'; share: number; atMs: number; forMs: number }
  | { kind: 'limit'; factor: number; atMs: number };

export interface Scene {
  boxes: number;
  /** Units that callers ask for, as a multiple of the rate, by second. */
  demand: readonly number[];
  troubles: readonly Fault[];
  /** Time after its start at which a box gets the list of boxes from the store. */
  storeAnswersAfterMs: number;
  seed: number;
}

function limitedTo(ratePerSecond: number, version: number) {
  const base = configuration();
  const workspaces = base.workspaces.map((workspace) => ({
    ...workspace,
    ratePerSecond,
    burst: (BURST * ratePerSecond) / RATE_PER_SECOND,
  }));
  return { ...base, version, workspaces };
}

function othersOf(index: number, boxes: number): PeerAddress[] {
  return Array.from({ length: boxes }, (_, other): PeerAddress => {
    const host = `10.0.0.${other}`;
    return { boxId: `box-${other}`, host, port: 0, zone: 'zone-a', processorCores: 1 };
  }).filter((_, other) => other !== index);
}

function startBox(
  index: number,
  boxes: number,
  params: { nowMs: number; isFirstLife: boolean; life: number; version: number; rate: number },
): TestBox {
  const base = settings({
    limitSlackUnits: SLACK,
    limitOverShare: OVER_SHARE,
    limitWindowMs: WINDOW_MS,
  });
  const box = createBox({
    ...base,
    box: { ...base.box, id: `box-${index}`, ip: `10.0.0.${index}` },
  });
  box.nowMs = params.nowMs;
  box.state.startedAtMs = params.nowMs;
  box.state.processStartedAtMs = params.nowMs;
  box.state.incarnation = params.life;
  box.take({
    type: 'configurationRead',
    configuration: limitedTo(params.rate, params.version),
    source: 'store',
  });
  const others = othersOf(index, boxes);
  if (params.isFirstLife) listBoxes(box, others);
  box.take({ type: 'storeClock', storeNowMs: params.nowMs });
  const engine = {
    id: 'engine-1',
    service: 'engines',
    address: { host: '127.0.0.1', port: 1 },
    zone: 'zone-a',
    slots: 100_000,
    state: 'ready' as const,
    reclaimable: false,
    leavesInMs: undefined,
    version: undefined,
  };
  box.take({
    type: 'serversRead',
    whole: true,
    changes: [{ id: engine.id, entry: engine }],
    revision: 1,
    source: 'store',
  });
  return box;
}

/** Simulates a scene; returns the admissions in order of time, the refused units and the requested units. */
export function simulate(scene: Scene): {
  admitted: { atMs: number; units: number }[];
  refusedUnits: number;
  lastRefusedAtMs: number;
  askedUnits: number;
} {
  const random = createRandom(scene.seed);
  let version = 1;
  let rate = RATE_PER_SECOND;
  let life = 1;
  const start = (index: number, nowMs: number): TestBox => {
    life += 1;
    const isFirstLife = nowMs === 0;
    return startBox(index, scene.boxes, { nowMs, isFirstLife, life, version, rate });
  };
  const fleet = Array.from({ length: scene.boxes }, (_, index) => start(index, 0));
  const admitted: { atMs: number; units: number }[] = [];
  let refusedUnits = 0;
  let lastRefusedAtMs = 0;
  let askedUnits = 0;
  let pendingUnits = 0;
  let downUntilMs = 0;
  let exchangeId = 0;
  let inFlight: { to: number; message: PeerDatagram }[] = [];
  const due = [...scene.troubles];
  const isActive = (fault: { atMs: number; forMs: number }, nowMs: number): boolean =>
    nowMs >= fault.atMs && nowMs < fault.atMs + fault.forMs;
  const isDelivered = (from: number, to: number, nowMs: number): boolean =>
    scene.troubles.every((fault) => {
      if (fault.kind === 'cut' && isActive(fault, nowMs))
        return from < fault.below === to < fault.below;
      if (fault.kind === 'lossy' && isActive(fault, nowMs)) return random() >= fault.share;
      return true;
    });
  const send = (from: number, effects: readonly Effect[], nowMs: number): void => {
    for (const { message, to } of ofType(effects, 'sendPeers')) {
      for (const { host } of to) {
        const toBox = Number(host.split('.').at(-1));
        if (isDelivered(from, toBox, nowMs)) inFlight.push({ to: toBox, message });
      }
    }
  };
  /** Units of the requests, by number, that are neither sent nor refused yet. A request may wait for borrowed units. */
  const open = new Map<number, number>();
  const record = (effects: readonly Effect[], nowMs: number): void => {
    for (const effect of effects) {
      if (effect.type !== 'send' && effect.type !== 'refuse') continue;
      const units = open.get(effect.exchangeId);
      if (units === undefined) continue;
      open.delete(effect.exchangeId);
      if (effect.type === 'send') admitted.push({ atMs: nowMs, units });
      else {
        refusedUnits += units;
        lastRefusedAtMs = nowMs;
      }
    }
  };
  for (let nowMs = TICK_MS; nowMs <= DURATION_MS; nowMs += TICK_MS) {
    for (const fault of due.filter(({ atMs }) => atMs <= nowMs)) {
      due.splice(due.indexOf(fault), 1);
      if (fault.kind === 'restart')
        fleet[fault.box % scene.boxes] = start(fault.box % scene.boxes, nowMs);
      if (fault.kind === 'restartAll') {
        downUntilMs = nowMs + fault.forMs;
        inFlight = [];
      }
      if (fault.kind === 'limit') {
        version += 1;
        rate = RATE_PER_SECOND * fault.factor;
        for (const box of fleet)
          box.take({
            type: 'configurationRead',
            configuration: limitedTo(rate, version),
            source: 'store',
          });
      }
    }
    if (nowMs < downUntilMs) continue;
    if (downUntilMs > 0) {
      downUntilMs = 0;
      fleet.forEach((_, index) => (fleet[index] = start(index, nowMs)));
    }
    const arrived = inFlight;
    inFlight = [];
    for (const { to, message } of arrived) {
      const box = fleet[to];
      if (box === undefined) continue;
      box.nowMs = nowMs;
      const effects = box.take(eventOfDatagram(message));
      record(effects, nowMs);
      send(to, effects, nowMs);
    }
    pendingUnits +=
      ((scene.demand[Math.floor(nowMs / 1000)] ?? 0) * RATE_PER_SECOND * TICK_MS) / 1000;
    while (pendingUnits > 0) {
      const promptTokens = Math.ceil(200 + random() ** 4 * 20_000);
      pendingUnits -= promptTokens;
      const box = fleet[Math.floor(random() * scene.boxes)] as TestBox;
      exchangeId += 1;
      askedUnits += promptTokens;
      const request = facts({
        requestId: `r${exchangeId}`,
        path: '/draft/1',
        deadlineMs: 200,
        promptTokens,
        maxOutputTokens: 0,
      });
      open.set(exchangeId, promptTokens);
      box.nowMs = nowMs;
      const effects = box.take({ type: 'requestArrived', exchangeId, facts: request });
      record(effects, nowMs);
      send(fleet.indexOf(box), effects, nowMs);
    }
    fleet.forEach((box, from) => {
      box.nowMs = nowMs - TICK_MS;
      const effects = box.pass(TICK_MS);
      record(effects, nowMs);
      send(from, effects, nowMs);
      const isListed = box.state.part.listRevision > 0;
      const sinceMs = nowMs - box.state.startedAtMs;
      if (!isListed && sinceMs >= scene.storeAnswersAfterMs) {
        listBoxesAfterRestart(box, othersOf(from, scene.boxes));
      }
    });
  }
  return { admitted, refusedUnits, lastRefusedAtMs, askedUnits };
}

/** Returns the users' bound for the rate times a factor. */
export function boundOf(factor = 1): number {
  return ((RATE_PER_SECOND * WINDOW_MS) / 1000 + BURST) * factor * (1 + OVER_SHARE) + SLACK;
}

export const steadyDemand = (demand: number): Scene => ({
  boxes: 7,
  demand: Array<number>(22).fill(demand),
  troubles: [],
  storeAnswersAfterMs: 0,
  seed: 5,
});
