/**
 * Test fixture of several boxes whose processes end and start again, with the reducer of the gateway, a
 * store with faults and one workspace with a limit.
 */
import { configuration, createBox, facts, server, settings, type TestBox } from './box.js';
import { createRandom } from './random.js';
import { createFaultyStore, type FaultyStore } from './faultyStore.js';
import type { StoreTableReply } from '../../adapter.js';
import { eventOfDatagram } from '../../daemon/datagramEvent.js';
import { eventsOfTable } from '../../daemon/tableEvents.js';
import type { Effect } from '../../types/effect.js';
import type { EventBody, PeerChange } from '../../types/event.js';

export const TICK_MS = 50;
const WINDOW_MS = 8000;
const RATE_PER_SECOND = 10_000;
const BURST = 20_000;
const SLACK = 30_000;
const OVER_SHARE = 0.1;
/** Length of a scene, in s. */
export const DURATION_S = 32;

/** Fault of a scene. */
export type Fault =
  /** The boxes with a bit in `boxes` end, and start again after `downMs`. */
  | { kind: 'end'; atMs: number; boxes: number; downMs: number }
  /** Answers of the store are lost; calls are executed after `lateMs`, or never if it is infinite. */
  | { kind: 'lost'; atMs: number; forMs: number; lateMs: number }
  | { kind: 'slow'; atMs: number; forMs: number; lateMs: number }
  | { kind: 'restore'; atMs: number; backMs: number }
  /** A box is suspended; its monotonic clock does not count the time. */
  | { kind: 'suspend'; atMs: number; box: number; forMs: number }
  | { kind: 'wallClock'; atMs: number; box: number; byMs: number }
  | { kind: 'limit'; atMs: number; factor: number }
  /** A further box is listed, and removed after `forMs`; it never sends. */
  | { kind: 'join'; atMs: number; forMs: number };

/** A scene of one workspace. */
export interface Scene {
  boxes: number;
  /** Units that callers ask for, as a multiple of the rate, by second. */
  demand: readonly number[];
  faults: readonly Fault[];
  storeMs: number;
  seed: number;
}

interface Life {
  box: TestBox;
  /** Time at which its monotonic clock was 0. */
  epochMs: number;
  isListed: boolean;
  suspendedUntilMs: number;
}

function limitedTo(factor: number, version: number) {
  const base = configuration();
  const limit = { ratePerSecond: RATE_PER_SECOND * factor, burst: BURST * factor };
  const workspaces = base.workspaces.map((workspace) => ({ ...workspace, ...limit }));
  return { ...base, version, workspaces };
}

function listOf(boxes: number, hasGuest: boolean, revision: number): EventBody {
  const count = hasGuest ? boxes + 1 : boxes;
  const changes = Array.from({ length: count }, (_, index): PeerChange => {
    const host = `10.0.0.${index}`;
    const boxId = `box-${index}`;
    const address = { boxId, host, port: 0, zone: 'zone-a', processorCores: 1 };
    return { boxId, address, holdsPart: true, revision: 1 };
  });
  return { type: 'peersListed', changes, whole: true, revision };
}

function startLife(index: number, nowMs: number, incarnation: number): Life {
  const bounds = {
    limitSlackUnits: SLACK,
    limitOverShare: OVER_SHARE,
    limitWindowMs: WINDOW_MS,
    usageWindowMs: 0,
  };
  const base = settings(bounds, { restartReserve: true });
  const host = `10.0.0.${index}`;
  const box = createBox({ ...base, box: { ...base.box, id: `box-${index}`, ip: host } });
  box.state.incarnation = incarnation;
  const engine = server('engine-1', { service: 'engines', slots: 100_000 });
  const changes = [{ id: engine.id, entry: engine }];
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return { box, epochMs: nowMs, isListed: false, suspendedUntilMs: 0 };
}

/** Result of a scene. */
export interface Result {
  sent: { atMs: number; units: number }[];
  /** Factors of the limit, from their times on. */
  limits: { fromMs: number; factor: number }[];
  opened: number;
  store: FaultyStore;
}

/** Plays a scene. */
export function simulate({ boxes, demand, faults, storeMs, seed }: Scene): Result {
  const random = createRandom(seed);
  const store = createFaultyStore();
  const result: Result = { sent: [], limits: [{ fromMs: 0, factor: 1 }], opened: 0, store };
  const lives: (Life | undefined)[] = [];
  const timed: { atMs: number; run: () => void }[] = [];
  const open = new Map<number, number>();
  let nowMs = 0;
  let version = 1;
  let factor = 1;
  let incarnation = 0;
  let exchangeId = 0;
  let pendingUnits = 0;
  let hasGuest = false;
  let listRevision = 1;

  const take = (life: Life, event: EventBody): void => {
    if (!lives.includes(life)) return;
    const { suspendedUntilMs } = life;
    if (nowMs < suspendedUntilMs) {
      timed.push({ atMs: suspendedUntilMs, run: () => take(life, event) });
      return;
    }
    life.box.nowMs = nowMs - life.epochMs;
    perform(life, life.box.take(event));
  };
  const answer = (life: Life, effect: Extract<Effect, { type: 'requestTable' }>): void => {
    const { purpose, op, sentAtMs } = effect;
    if (purpose.kind !== 'limitReserve') return;
    const fault = faults.find(
      (one) =>
        (one.kind === 'lost' || one.kind === 'slow') &&
        one.atMs <= nowMs &&
        nowMs < one.atMs + one.forMs,
    );
    const lateMs = fault?.kind === 'lost' || fault?.kind === 'slow' ? fault.lateMs : 0;
    const unknown: StoreTableReply = {
      answer: { kind: 'unknown' },
      storeNowMs: undefined,
      era: undefined,
    };
    const reply = (given: StoreTableReply): void => {
      if (!lives.includes(life)) return;
      if (given.era !== undefined) take(life, { type: 'storeEra', era: given.era });
      const { state } = life.box;
      for (const event of eventsOfTable(state, { purpose, sentAtMs, reply: given })) {
        take(life, event);
      }
    };
    timed.push({
      atMs: nowMs + storeMs + lateMs,
      run() {
        const given = store.execute(op, nowMs);
        if (fault?.kind === 'lost') return;
        timed.push({ atMs: nowMs + storeMs + lateMs * random(), run: () => reply(given) });
      },
    });
    if (fault?.kind === 'lost') timed.push({ atMs: nowMs + 1000, run: () => reply(unknown) });
  };
  const perform = (life: Life, effects: readonly Effect[]): void => {
    for (const effect of effects) {
      if (effect.type === 'requestTable') answer(life, effect);
      if (effect.type === 'log' && effect.event === 'reserveOpened') result.opened += 1;
      if (effect.type === 'send') {
        const units = open.get(effect.exchangeId);
        if (units !== undefined) result.sent.push({ atMs: nowMs, units });
      }
      if (effect.type !== 'sendPeers') continue;
      for (const { host } of effect.to) {
        const to = lives[Number(host.split('.').at(-1))];
        const event = eventOfDatagram(effect.message);
        if (to !== undefined) timed.push({ atMs: nowMs + TICK_MS / 2, run: () => take(to, event) });
      }
    }
  };
  const start = (index: number): void => {
    incarnation += 1;
    const life = startLife(index, nowMs, incarnation);
    lives[index] = life;
    const config = limitedTo(factor, version);
    take(life, { type: 'configurationRead', configuration: config, source: 'store' });
    timed.push({
      atMs: nowMs + storeMs,
      run() {
        life.isListed = true;
        take(life, listOf(boxes, hasGuest, listRevision));
        if (nowMs < 1000) life.box.state.part.opening = { kind: 'unused' };
      },
    });
  };
  const list = (): void => {
    listRevision += 1;
    for (const life of lives) {
      if (life?.isListed === true) take(life, listOf(boxes, hasGuest, listRevision));
    }
  };
  const apply = (fault: Fault): void => {
    switch (fault.kind) {
      case 'end':
        for (let index = 0; index < boxes; index += 1) {
          if (((fault.boxes >> index) & 1) === 0 || lives[index] === undefined) continue;
          lives[index] = undefined;
          timed.push({ atMs: nowMs + fault.downMs, run: () => start(index) });
        }
        return;
      case 'restore':
        return store.restoreTo(nowMs - fault.backMs);
      case 'suspend': {
        const life = lives[fault.box % boxes];
        if (life === undefined) return;
        life.suspendedUntilMs = nowMs + fault.forMs;
        life.epochMs += fault.forMs;
        return;
      }
      case 'wallClock': {
        const life = lives[fault.box % boxes];
        if (life !== undefined) life.box.wallClockOffsetMs += fault.byMs;
        return;
      }
      case 'limit':
        version += 1;
        factor = fault.factor;
        result.limits.push({ fromMs: nowMs, factor });
        for (const life of lives) {
          const config = limitedTo(factor, version);
          if (life === undefined) continue;
          take(life, { type: 'configurationRead', configuration: config, source: 'store' });
        }
        return;
      case 'join':
        hasGuest = true;
        timed.push({
          atMs: nowMs + fault.forMs,
          run() {
            hasGuest = false;
            list();
          },
        });
        return list();
      case 'lost':
      case 'slow':
        return;
    }
  };
  for (const fault of faults) timed.push({ atMs: fault.atMs, run: () => apply(fault) });
  for (let index = 0; index < boxes; index += 1) start(index);
  for (nowMs = TICK_MS; nowMs <= DURATION_S * 1000; nowMs += TICK_MS) {
    for (;;) {
      const next = timed.findIndex(({ atMs }) => atMs <= nowMs);
      if (next < 0) break;
      timed.splice(next, 1)[0]?.run();
    }
    const awake = lives.filter((life) => life !== undefined && nowMs >= life.suspendedUntilMs);
    pendingUnits += ((demand[Math.floor(nowMs / 1000)] ?? 0) * RATE_PER_SECOND * TICK_MS) / 1000;
    while (pendingUnits > 0) {
      const promptTokens = Math.ceil(100 + random() ** 3 * 3000);
      pendingUnits -= promptTokens;
      const life = awake[Math.floor(random() * awake.length)];
      if (life === undefined) continue;
      exchangeId += 1;
      open.set(exchangeId, promptTokens);
      const ids = { requestId: `r${exchangeId}`, path: '/draft/1', deadlineMs: 200 };
      const request = facts({ ...ids, promptTokens, maxOutputTokens: 0 });
      take(life, { type: 'requestArrived', exchangeId, facts: request });
    }
    for (const life of awake) if (life !== undefined) take(life, { type: 'tick' });
  }
  return result;
}

/** Returns the largest ratio of the units of a window to the highest limit in force in it. */
export function worstWindow({ sent, limits }: Result): number {
  let worst = 0;
  sent.forEach(({ atMs: endMs }) => {
    const inWindow = sent.filter(({ atMs }) => atMs <= endMs && atMs > endMs - WINDOW_MS);
    const units = inWindow.reduce((sum, one) => sum + one.units, 0);
    const startMs = inWindow[0]?.atMs ?? endMs;
    const factor = Math.max(
      ...limits
        .filter(({ fromMs }, index) => {
          const untilMs = limits[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY;
          return fromMs <= endMs && untilMs > startMs;
        })
        .map((limit) => limit.factor),
    );
    worst = Math.max(worst, units / boundOf(factor));
  });
  return worst;
}

function boundOf(factor: number): number {
  return ((RATE_PER_SECOND * WINDOW_MS) / 1000 + BURST) * factor * (1 + OVER_SHARE) + SLACK;
}
