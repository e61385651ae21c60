/** Servers in need that name a limit in their answers, and what is promised of them. */
import type { LimitStatement } from 'reedlug-gateway';
import { isSynchronized, type VirtualBox } from '../boxes/virtualBox.js';
import type { LimitedServerRecord } from '../report/sceneRecord.js';
import { greatestShare, type TimedAmount } from '../report/slidingSum.js';
import type { SceneFaultSpec } from '../scene/scene.js';
import type { VirtualServer } from '../servers/virtualServers.js';
import { PROPAGATION_MS, later, nowMs, type World } from '../world.js';

/** Time since a box passed such an answer on from which its sends count, in ms: the users' figure. */
const STATEMENT_GRACE_MS = 500;
/** Length of the windows in which requests are counted, in ms, and what is allowed in each beside the limit: the users' figures. */
const WINDOW_MS = 4000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_SLACK = 5;

type LimitFault = Extract<SceneFaultSpec, { kind: 'limitServers' }>;

/** Servers begin to name a limit, another one after half of the time where the fault says so, and then none. */
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

/** The record of a server that names a limit now. */
function currentRecord(world: World, server: VirtualServer): LimitedServerRecord | undefined {
  return world.record.limitedServers.findLast(
    (record) => record.server === server && record.endedAtMs === undefined,
  );
}

/** What a server's answer says of its limit. */
export function limitStatementOf(world: World, server: VirtualServer): LimitStatement {
  const { limit } = server;
  if (limit === undefined) return { kind: 'none' };
  const record = currentRecord(world, server);
  if (record !== undefined) record.firstStatedAtMs ??= nowMs(world);
  return { kind: 'limit', perSecond: limit.perSecond };
}

/** Whether a server turns a request down that is the last to have reached it. */
export function exceedsStatedLimit(world: World, server: VirtualServer): boolean {
  const { limit } = server;
  if (limit?.turnsDown !== true) return false;
  const sinceMs = nowMs(world) - 1000;
  const arrivals = currentRecord(world, server)?.arrivals ?? [];
  return arrivals.filter(({ atMs }) => atMs > sinceMs).length > limit.perSecond + 1;
}

/** Notes that a box has passed an answer on that names a limit. */
export function recordLimitForwarded(world: World, server: VirtualServer, box: VirtualBox): void {
  const forwarded = currentRecord(world, server)?.forwardedAtMs;
  if (forwarded !== undefined && !forwarded.has(box)) forwarded.set(box, nowMs(world));
}

/** Notes a request that reached a server. */
export function recordLimitedArrival(world: World, server: VirtualServer, box: VirtualBox): void {
  const record = world.record.limitedServers.findLast((known) => known.server === server);
  const atMs = nowMs(world);
  const isBound = (record?.forwardedAtMs.get(box) ?? Infinity) <= atMs - STATEMENT_GRACE_MS;
  record?.arrivals.push({ atMs, isBound: isBound && isSynchronized(world, box) });
}

/** How a server's limit was kept. */
export interface LimitedServerRow {
  server: string;
  /** The limit that was named last. */
  perSecond: number;
  /** Requests of the window that is the greatest share of what is allowed: of boxes bound by the promise, and of all boxes. */
  most: number;
  allowed: number;
  mostOfAll: number;
  allowedOfAll: number;
  /** Requests from the time on at which all know, as a share of what the limits allow. */
  usedShare: number;
  /** Requests in the three seconds after those that follow its end. */
  afterEnd: number | undefined;
}

/** How the limits of all servers were kept. */
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

/** Requests of the window that is the greatest share of what is allowed. */
function greatestWindow(
  record: LimitedServerRecord,
  arrivals: LimitedServerRecord['arrivals'],
): { most: number; allowed: number } {
  const amounts = arrivals.map(({ atMs }): TimedAmount => ({ atMs, amount: 1 }));
  return greatestShare(amounts, WINDOW_MS, (atMs) => {
    return (highestLimit(record, atMs) * ALLOWED_FACTOR * WINDOW_MS) / 1000 + ALLOWED_SLACK;
  });
}

/** Requests that the limits named in a span of time let through. */
function allowedBetween({ periods }: LimitedServerRecord, fromMs: number, untilMs: number): number {
  const amounts = periods.map(({ fromMs: beginMs, perSecond }, index) => {
    const endMs = Math.min(untilMs, periods[index + 1]?.fromMs ?? Infinity);
    return (Math.max(0, endMs - Math.max(fromMs, beginMs)) * perSecond) / 1000;
  });
  return amounts.reduce((sum, amount) => sum + amount, 0);
}

/** Requests of a span as long as the one in which all learn of the end, after it. */
function arrivalsAfter({ arrivals }: LimitedServerRecord, endedAtMs: number): number {
  const fromMs = endedAtMs + PROPAGATION_MS;
  return arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + PROPAGATION_MS).length;
}

/** The highest limit in force in the window before a time; of a lower one news are on their way for a while. */
function highestLimit({ periods }: LimitedServerRecord, atMs: number): number {
  const sinceMs = atMs - WINDOW_MS - PROPAGATION_MS;
  const inForce = periods.filter(({ fromMs }, index) => {
    const endMs = periods[index + 1]?.fromMs ?? Infinity;
    return fromMs <= atMs && endMs > sinceMs;
  });
  return Math.max(0, ...inForce.map(({ perSecond }) => perSecond));
}
