/** Servers that state a limit in their answers, and the check that boxes keep it. */
import type { LimitStatement } from 'reedlug-gateway';
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { LimitedServerRecord } from '../report/sceneRecord.js';
import { greatestShare, type TimedAmount } from '../report/slidingSum.js';
import type { SceneFaultSpec } from '../scene/scene.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { PROPAGATION_MS, isSynchronized, later, nowMs, type World } from '../world.js';

/** Time after a box forwards an answer with a limit until its sends count, in ms, as guaranteed to the users. */
const STATEMENT_GRACE_MS = 500;
/** Length of the windows in which requests are counted, in ms, and tolerance per window, as guaranteed to the users. */
const WINDOW_MS = 4000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_SLACK = 5;

type LimitFault = Extract<SceneFaultSpec, { kind: 'limitServers' }>;

/** Makes servers state a limit, another one after half of the time if the fault has one, and then none. */
export function limitServers(
  world: World,
  fault: LimitFault,
  servers: readonly VirtualServer[],
): void {
  for (const server of servers) {
    server.limit = { perSecond: fault.perSecond, turnsDown: fault.turnsDown };
    const lengthMs = fault.forS * 1000;
    const record = createRecord(world, server);
    world.record.limitedServers.push(record);
    if (fault.thenPerSecond !== undefined) {
      const perSecond = fault.thenPerSecond;
      later(world, lengthMs / 2, () => {
        if (currentRecord(world, server) !== record) return;
        server.limit = { perSecond, turnsDown: fault.turnsDown };
        record.periods.push({ fromMs: nowMs(world), perSecond });
      });
    }
    later(world, lengthMs, () => {
      if (currentRecord(world, server) !== record) return;
      server.limit = undefined;
      record.endedAtMs = nowMs(world);
    });
  }
}

function createRecord(world: World, server: VirtualServer): LimitedServerRecord {
  const earlier = currentRecord(world, server);
  if (earlier !== undefined) earlier.endedAtMs = nowMs(world);
  return {
    server,
    periods: [{ fromMs: nowMs(world), perSecond: server.limit?.perSecond ?? 0 }],
    firstStatedAtMs: undefined,
    endedAtMs: undefined,
    forwardedAtMs: new Map(),
    arrivals: [],
  };
}

/** Returns the record of a server that states a limit now. */
function currentRecord(world: World, server: VirtualServer): LimitedServerRecord | undefined {
  return world.record.limitedServers.findLast(
    (record) => record.server === server && record.endedAtMs === undefined,
  );
}

/** Returns what a server's answer states about its limit. */
export function limitStatementOf(world: World, server: VirtualServer): LimitStatement {
  const { limit } = server;
  if (limit === undefined) return { kind: 'none' };
  const record = currentRecord(world, server);
  if (record !== undefined) record.firstStatedAtMs ??= nowMs(world);
  return { kind: 'limit', perSecond: limit.perSecond };
}

/** Whether a server rejects the last request that reached it because it exceeds the stated limit. */
export function exceedsStatedLimit(world: World, server: VirtualServer): boolean {
  const { limit } = server;
  if (limit?.turnsDown !== true) return false;
  const sinceMs = nowMs(world) - 1000;
  const arrivals = currentRecord(world, server)?.arrivals ?? [];
  return arrivals.filter(({ atMs }) => atMs > sinceMs).length > limit.perSecond + 1;
}

/** Records that a box has forwarded an answer that states a limit. */
export function recordLimitForwarded(world: World, server: VirtualServer, box: VirtualBox): void {
  const forwarded = currentRecord(world, server)?.forwardedAtMs;
  if (forwarded !== undefined && !forwarded.has(box)) forwarded.set(box, nowMs(world));
}

/** Records a request that reached a server. */
export function recordLimitedArrival(world: World, server: VirtualServer, box: VirtualBox): void {
  const record = world.record.limitedServers.findLast((known) => known.server === server);
  const atMs = nowMs(world);
  const isBound = (record?.forwardedAtMs.get(box) ?? Infinity) <= atMs - STATEMENT_GRACE_MS;
  record?.arrivals.push({ atMs, isBound: isBound && isSynchronized(world, box) });
}

/** How well a server's limit was kept. */
export interface LimitedServerRow {
  server: string;
  /** The last stated limit, in requests per second. */
  perSecond: number;
  /**
   * Requests and allowance of the window that uses the greatest share of its allowance: from boxes
   * that the guarantee binds, and from all boxes.
   */
  most: number;
  allowed: number;
  mostOfAll: number;
  allowedOfAll: number;
  /** Requests since the limit has reached all boxes, as a share of what the limits allow. */
  usedShare: number;
  /** Requests in a span as long as the propagation time, which starts that time after the end of the limit. */
  afterEnd: number | undefined;
}

/** Returns how well the limits of all servers were kept. */
export function limitedServerRows(world: World): LimitedServerRow[] {
  return world.record.limitedServers
    .filter(({ firstStatedAtMs }) => firstStatedAtMs !== undefined)
    .map((record) => rowOf(world, record));
}

function rowOf(world: World, record: LimitedServerRecord): LimitedServerRow {
  const { server, periods, firstStatedAtMs = 0, endedAtMs, arrivals } = record;
  const fromMs = firstStatedAtMs + PROPAGATION_MS;
  const untilMs = Math.min(endedAtMs ?? Infinity, nowMs(world));
  const counted = arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
  const bound = greatestWindow(
    record,
    counted.filter(({ isBound }) => isBound),
  );
  const all = greatestWindow(record, counted);
  const allowedByLimits = allowedBetween(record, fromMs, untilMs);
  return {
    server: server.entry.id,
    perSecond: periods.at(-1)?.perSecond ?? 0,
    most: bound.most,
    allowed: bound.allowed,
    mostOfAll: all.most,
    allowedOfAll: all.allowed,
    usedShare: allowedByLimits === 0 ? 0 : counted.length / allowedByLimits,
    afterEnd: endedAtMs === undefined ? undefined : arrivalsAfter(record, endedAtMs),
  };
}

/** Returns the requests and the allowance of the window that uses the greatest share of its allowance. */
function greatestWindow(
  record: LimitedServerRecord,
  arrivals: LimitedServerRecord['arrivals'],
): { most: number; allowed: number } {
  const amounts = arrivals.map(({ atMs }): TimedAmount => ({ atMs, amount: 1 }));
  return greatestShare(amounts, WINDOW_MS, (atMs) => {
    return (highestLimit(record, atMs) * ALLOWED_FACTOR * WINDOW_MS) / 1000 + ALLOWED_SLACK;
  });
}

/** Returns the number of requests that the stated limits allow in a span of time. */
function allowedBetween({ periods }: LimitedServerRecord, fromMs: number, untilMs: number): number {
  const amounts = periods.map(({ fromMs: beginMs, perSecond }, index) => {
    const endMs = Math.min(untilMs, periods[index + 1]?.fromMs ?? Infinity);
    return (Math.max(0, endMs - Math.max(fromMs, beginMs)) * perSecond) / 1000;
  });
  return amounts.reduce((sum, amount) => sum + amount, 0);
}

/**
 * Returns the requests after all boxes must have received the end of the limit, in a span as long
 * as the propagation time.
 */
function arrivalsAfter({ arrivals }: LimitedServerRecord, endedAtMs: number): number {
  const fromMs = endedAtMs + PROPAGATION_MS;
  return arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + PROPAGATION_MS).length;
}

/**
 * Returns the highest limit in force in the window before a time; a lower one takes the propagation
 * time to reach all boxes.
 */
function highestLimit({ periods }: LimitedServerRecord, atMs: number): number {
  const sinceMs = atMs - WINDOW_MS - PROPAGATION_MS;
  const inForce = periods.filter(({ fromMs }, index) => {
    const endMs = periods[index + 1]?.fromMs ?? Infinity;
    return fromMs <= atMs && endMs > sinceMs;
  });
  return Math.max(0, ...inForce.map(({ perSecond }) => perSecond));
}
