/**
 * Lease with a fence, held through a table and timed on monotonic clocks only.
 *
 * No clock is compared with another box's clock. A holder counts from the
 * moment before it sent the write that granted the lease, less a margin. A
 * taker counts from the moment it first saw a row that has not changed since.
 * The fence grows with each change of holder and never falls.
 *
 * The table's store may come back from a copy and begin a new era: then the row may be that of an
 * earlier holder, or missing. Fences hold the era in which they were taken, so that each is greater
 * than all of earlier eras, whoever knows those. Whoever holds a lease that has not lapsed takes the
 * row again at once, since nobody else can have held it since; all others wait as long as for a
 * holder that they have just seen.
 */
import { eraOf } from './storeRevision.js';
import type { TableAnswer, TableOp, TableRow } from './tableTypes.js';

/** Times of a lease. */
export interface LeaseOptions {
  /** The row's key in the table. */
  key: string;
  ttlMs: number;
  /** Taken off the holder's own view of the lease, for clock drift and pauses. */
  marginMs: number;
  /** How long before its end a held lease is renewed. */
  renewIntervalMs: number;
  /** How long a order may be under way to a server that does not check fences. */
  maxOrderFlightMs: number;
}

/** The value of a lease row. */
export interface LeaseValue {
  holderId: string;
  incarnation: number;
  fence: number;
  /** Grows with each renewal, so that a taker sees that the holder is alive. */
  renewal: number;
}

/** A lease that is held. */
export interface HeldLease {
  fence: number;
  /** From when it is held without a gap, under whatever fences. */
  sinceMs: number;
  grantedAtMs: number;
  unfencedFromMs: number;
}

/** State of one box's part in a lease. */
export interface LeaseState {
  options: LeaseOptions;
  ownerId: string;
  incarnation: number;
  /** The row as last seen, with the time on this box's clock at which it was first seen so. */
  seen: { row: TableRow; sinceMs: number } | undefined;
  held: HeldLease | undefined;
  /** A request to the table under way. */
  pending: { sentAtMs: number; kind: 'read' | 'write' } | undefined;
  /** The highest fence ever seen; never falls. */
  highestFence: number;
  /** The fence of the last grant, kept after it has lapsed; 0 before the first. */
  lastFence: number;
  nextReadAtMs: number;
  /** The store's era as far as known. */
  era: number;
  /** Whether this box has known an earlier era, in which others may have held what this one lacks. */
  hasSeenEarlierEra: boolean;
}

/** Fences of one era. */
const FENCES_PER_ERA = 2 ** 20;

function eraOfFence(fence: number): number {
  return Math.floor(fence / FENCES_PER_ERA);
}

/** Returns the state of a box that does not hold the lease. */
export function createLease(
  options: LeaseOptions,
  ownerId: string,
  incarnation: number,
): LeaseState {
  return {
    options,
    ownerId,
    incarnation,
    seen: undefined,
    held: undefined,
    pending: undefined,
    highestFence: 0,
    lastFence: 0,
    nextReadAtMs: 0,
    era: 0,
    hasSeenEarlierEra: false,
  };
}

/**
 * The fence under which an order may be sent now, or undefined.
 * `checksFence` false adds the wait for the last holder's orders to have landed.
 */
export function usableFence(
  lease: LeaseState,
  nowMs: number,
  checksFence: boolean,
): number | undefined {
  const { held } = lease;
  if (held === undefined) return undefined;
  if (hasLapsed(lease, nowMs)) return undefined;
  if (!checksFence && nowMs < held.unfencedFromMs) return undefined;
  return held.fence;
}

/**
 * Takes what is known of the lease as older by a time that this box's clock has not counted.
 * An answer that is still awaited counts for nothing: when it was asked is not known any more.
 */
export function ageLease(lease: LeaseState, ms: number): void {
  if (lease.held !== undefined) lease.held.grantedAtMs -= ms;
  lease.pending = undefined;
}

/** Takes it that the store answers in an era, the first one that this box knows or a later one: what the row said before is over. */
export function recordLeaseEra(
  lease: LeaseState,
  { era, isFirst, nowMs }: { era: number; isFirst: boolean; nowMs: number },
): void {
  lease.hasSeenEarlierEra ||= !isFirst;
  lease.era = era;
  lease.seen = undefined;
  lease.pending = undefined;
  lease.nextReadAtMs = nowMs;
}

/** How long an order sent now stays valid, in ms; 0 when none may be sent. */
export function orderValidForMs(lease: LeaseState, nowMs: number): number {
  if (lease.held === undefined) return 0;
  const endMs = lease.held.grantedAtMs + lease.options.ttlMs - lease.options.marginMs;
  return Math.max(0, Math.min(endMs - nowMs, lease.options.maxOrderFlightMs));
}

/** Asks the table for what the lease needs next, if anything. Call it on each tick. */
export function leaseTick(lease: LeaseState, nowMs: number): TableOp | undefined {
  dropLapsed(lease, nowMs);
  if (lease.pending !== undefined) {
    if (nowMs - lease.pending.sentAtMs < lease.options.ttlMs) return undefined;
    lease.pending = undefined;
  }
  if (lease.seen !== undefined) {
    if (lease.held !== undefined) return renewWhenDue(lease, nowMs);
    if (mayAcquire(lease, nowMs)) return acquire(lease, nowMs);
  }
  if (nowMs < lease.nextReadAtMs) return undefined;
  return read(lease, nowMs);
}

/**
 * Takes the table's answer to the operation that `leaseTick` gave at `sentAtMs`.
 * The answer to an earlier operation is dropped: counted from the later one's
 * time it would make the lease seem longer than it is.
 */
export function handleLeaseAnswer(
  lease: LeaseState,
  answer: TableAnswer,
  times: { sentAtMs: number; nowMs: number },
): void {
  const { pending } = lease;
  const { nowMs } = times;
  if (pending === undefined || pending.sentAtMs !== times.sentAtMs) return;
  lease.pending = undefined;
  if (answer.kind === 'unknown') {
    lease.nextReadAtMs = nowMs;
    return;
  }
  const row = answer.rows.find((candidate) => candidate.key === lease.options.key);
  if (row === undefined) {
    recordAbsentRow(lease, answer, nowMs);
    return;
  }
  recordRow(lease, row, nowMs, pending);
}

/** Where nothing was lost nobody has held it; else it counts as a holder that was just seen. */
function recordAbsentRow(lease: LeaseState, answer: TableAnswer, nowMs: number): void {
  if (answer.kind !== 'done' || lease.seen?.row.version === 0) return;
  const absent: TableRow = { key: lease.options.key, version: 0, value: undefined };
  lease.seen = { row: absent, sinceMs: lease.hasSeenEarlierEra ? nowMs : Number.NEGATIVE_INFINITY };
}

function recordRow(
  lease: LeaseState,
  row: TableRow,
  nowMs: number,
  pending: { sentAtMs: number; kind: 'read' | 'write' },
): void {
  const value = row.value as LeaseValue;
  if (lease.seen !== undefined && row.version < lease.seen.row.version) return;
  if (lease.seen === undefined || lease.seen.row.version !== row.version) {
    lease.seen = { row, sinceMs: nowMs };
  }
  lease.highestFence = Math.max(lease.highestFence, value.fence);
  const isOwn = value.holderId === lease.ownerId && value.incarnation === lease.incarnation;
  if (!isOwn) {
    // An earlier holder's row that came back with the copy takes nothing from the one of now.
    if (eraOfFence(value.fence) === eraOf(row.version)) lease.held = undefined;
    return;
  }
  if (pending.kind === 'write') grant(lease, { value, row, sentAtMs: pending.sentAtMs });
}

/**
 * The grant counts from before the write was sent, so that it never outlives the takers' wait. A
 * fence of an earlier era than the row's is not granted: others may have used it in what was lost.
 */
function grant(
  lease: LeaseState,
  { value, row, sentAtMs }: { value: LeaseValue; row: TableRow; sentAtMs: number },
): void {
  if (eraOfFence(value.fence) < eraOf(row.version)) return;
  const { ttlMs, maxOrderFlightMs } = lease.options;
  const isHeld = !hasLapsed(lease, sentAtMs);
  const sinceMs = isHeld ? (lease.held?.sinceMs ?? sentAtMs) : sentAtMs;
  const renewed = lease.held !== undefined && lease.held.fence === value.fence;
  const unfencedFromMs = renewed
    ? (lease.held?.unfencedFromMs ?? sentAtMs)
    : sentAtMs + ttlMs + maxOrderFlightMs;
  lease.held = { fence: value.fence, sinceMs, grantedAtMs: sentAtMs, unfencedFromMs };
  lease.lastFence = value.fence;
}

function dropLapsed(lease: LeaseState, nowMs: number): void {
  if (hasLapsed(lease, nowMs)) lease.held = undefined;
}

/** Whether this box's lease has ended by its own view; true as well where it has none. */
function hasLapsed({ held, options }: LeaseState, nowMs: number): boolean {
  return held === undefined || nowMs >= held.grantedAtMs + options.ttlMs - options.marginMs;
}

function mayAcquire(lease: LeaseState, nowMs: number): boolean {
  const { seen, options } = lease;
  return seen !== undefined && nowMs >= seen.sinceMs + options.ttlMs + options.marginMs;
}

function renewWhenDue(lease: LeaseState, nowMs: number): TableOp | undefined {
  const { held, seen, options } = lease;
  if (held === undefined || seen === undefined) return undefined;
  if (eraOfFence(held.fence) < lease.era) return acquire(lease, nowMs);
  if (nowMs < held.grantedAtMs + options.renewIntervalMs) return undefined;
  const value = seen.row.value as LeaseValue;
  return write(lease, nowMs, { ...value, renewal: value.renewal + 1 });
}

function acquire(lease: LeaseState, nowMs: number): TableOp {
  const fence = Math.max(lease.highestFence, lease.era * FENCES_PER_ERA) + 1;
  const { ownerId, incarnation } = lease;
  return write(lease, nowMs, { holderId: ownerId, incarnation, fence, renewal: 1 });
}

function write(lease: LeaseState, nowMs: number, value: LeaseValue): TableOp {
  lease.pending = { sentAtMs: nowMs, kind: 'write' };
  const expectVersion = lease.seen?.row.version ?? 0;
  return { kind: 'transact', writes: [{ key: lease.options.key, expectVersion, value }] };
}

function read(lease: LeaseState, nowMs: number): TableOp {
  lease.pending = { sentAtMs: nowMs, kind: 'read' };
  lease.nextReadAtMs = nowMs + lease.options.renewIntervalMs;
  return { kind: 'read', keys: [lease.options.key] };
}
