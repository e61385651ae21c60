/**
 * A lease with a fence, held through a row of a table and timed by monotonic clocks only.
 *
 * The fence is a number that the holder sends with its orders, so that a server can reject those
 * of an earlier holder. It grows with each change of holder and never decreases.
 *
 * No clock is compared with another box's clock. A holder counts its lease from the moment before
 * it sent the write that granted it, and ends it early by a margin. Another box acquires the lease
 * when it has seen the row unchanged for the time of the lease plus the margin.
 *
 * The table's store may be restored from a backup and then begins a new era. The row may then be
 * that of an earlier holder, or missing. A fence includes the era in which it was acquired, so that
 * it is greater than all fences of earlier eras, also those that this box has never seen. A holder
 * whose lease has not lapsed writes the row again at once, since no other box can have acquired the
 * lease in between. All other boxes wait as they do for a holder that they have just seen.
 */
import { eraOf } from './storeRevision.js';
import type { TableAnswer, TableOp, TableRow } from './tableTypes.js';

/** The row and the times of a lease. */
export interface LeaseOptions {
  /** The row's key in the table. */
  key: string;
  ttlMs: number;
  /**
   * Allowance for clock drift and pauses: a holder ends its lease this much early, and other boxes
   * wait this much longer.
   */
  marginMs: number;
  /** Time from a grant until the lease is renewed, and between reads of a row held by another box. */
  renewIntervalMs: number;
  /** Maximum time that an order may be in flight to a server that does not check fences. */
  maxOrderFlightMs: number;
}

/** The value of a lease row. */
export interface LeaseValue {
  holderId: string;
  incarnation: number;
  fence: number;
  /** Grows with each renewal, so that other boxes see that the holder is alive. */
  renewal: number;
}

/** A lease that this box holds. */
export interface HeldLease {
  fence: number;
  /** Time since which the lease is held without a gap, possibly under several fences. */
  sinceMs: number;
  /** Time just before the write of the last grant or renewal was sent. */
  grantedAtMs: number;
  /**
   * Time from which orders may be sent to servers that do not check fences: by then the last
   * orders of an earlier holder have arrived.
   */
  unfencedFromMs: number;
}

/** One box's view of a lease. */
export interface LeaseState {
  options: LeaseOptions;
  ownerId: string;
  incarnation: number;
  /** The row as last seen, with the time on this box's clock at which it was first seen so. */
  seen: { row: TableRow; sinceMs: number } | undefined;
  held: HeldLease | undefined;
  /** The request to the table that has not been answered yet. */
  pending: { sentAtMs: number; kind: 'read' | 'write' } | undefined;
  /** The highest fence ever seen; never decreases. */
  highestFence: number;
  /** The fence of the last grant, kept after it has lapsed; 0 before the first. */
  lastFence: number;
  nextReadAtMs: number;
  /** Time before which nothing is sent, after a request that the table did not carry out. */
  retryAtMs: number;
  /** The latest era of the store that this box knows of. */
  era: number;
  /**
   * Whether this box has known an earlier era of the store. Another box may then hold the lease
   * although the row that says so was lost in the restore.
   */
  hasSeenEarlierEra: boolean;
}

/** Shortest time between a request that the table did not carry out and the next, as a share of the lease's time: a lost or refused renewal is repeated several times before the lease ends. */
const RETRY_SHARE = 1 / 12;
/** Number of fences in one era. */
const FENCES_PER_ERA = 2 ** 20;
/** Largest number of grants that a malformed row may hide from this box. */
const MAX_HIDDEN_GRANTS = 2 ** 12;

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
    retryAtMs: 0,
    era: 0,
    hasSeenEarlierEra: false,
  };
}

/**
 * Returns the fence under which an order may be sent now, or undefined if none may be sent.
 * To a server that does not check fences (`checksFence` is false), orders are sent only after the
 * orders of an earlier holder must have arrived.
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
 * Ages the lease by a time that this box's clock has not counted, such as a suspension.
 * The answer to a pending request is ignored, since the time at which it was sent is no longer known.
 */
export function ageLease(lease: LeaseState, ms: number): void {
  if (lease.held !== undefined) lease.held.grantedAtMs -= ms;
  lease.pending = undefined;
}

/**
 * Records the era of the store, the first one that this box learns of or a later one. The row that
 * was seen in an earlier era and a pending request to the table are dropped.
 */
export function recordLeaseEra(
  lease: LeaseState,
  { era, isFirst, nowMs }: { era: number; isFirst: boolean; nowMs: number },
): void {
  lease.hasSeenEarlierEra ||= !isFirst;
  lease.era = era;
  lease.seen = undefined;
  lease.pending = undefined;
  lease.nextReadAtMs = nowMs;
  lease.retryAtMs = nowMs;
}

/** Returns how long an order sent now stays valid, in ms; 0 if none may be sent. */
export function orderValidForMs(lease: LeaseState, nowMs: number): number {
  if (lease.held === undefined) return 0;
  const endMs = lease.held.grantedAtMs + lease.options.ttlMs - lease.options.marginMs;
  return Math.max(0, Math.min(endMs - nowMs, lease.options.maxOrderFlightMs));
}

/** Returns the next operation to send to the table, if one is due. Must be called on each tick. */
export function leaseTick(lease: LeaseState, nowMs: number): TableOp | undefined {
  dropLapsed(lease, nowMs);
  if (lease.pending !== undefined) {
    if (nowMs - lease.pending.sentAtMs < lease.options.ttlMs) return undefined;
    lease.pending = undefined;
  }
  if (nowMs < lease.retryAtMs) return undefined;
  if (lease.seen !== undefined) {
    if (lease.held !== undefined) return renewWhenDue(lease, nowMs);
    if (mayAcquire(lease, nowMs)) return acquire(lease, nowMs);
  }
  if (nowMs < lease.nextReadAtMs) return undefined;
  return read(lease, nowMs);
}

/**
 * Handles the table's answer to the operation that `leaseTick` returned at `sentAtMs`.
 * The answer to an earlier operation is ignored: counted from the time of the later
 * one, the lease would seem to last longer than it does.
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
  if (answer.kind === 'unknown' || (answer.kind === 'refused' && answer.reason === 'throttled')) {
    lease.retryAtMs = times.sentAtMs + lease.options.ttlMs * RETRY_SHARE;
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

/**
 * Records that the row does not exist. If the store was never restored, no box has held the lease
 * and it may be acquired at once. Otherwise the row may have been lost, and the box waits as for a
 * holder that it has just seen.
 */
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
  const { seen } = lease;
  if (seen !== undefined && row.version < seen.row.version) return;
  lease.seen = { row, sinceMs: seen?.row.version === row.version ? seen.sinceMs : nowMs };
  const value = leaseValueOf(row);
  if (value === undefined) {
    // It may be another box's, or the answer was spoiled on its way; the next read tells.
    lease.held = undefined;
    return;
  }
  lease.highestFence = Math.max(lease.highestFence, value.fence);
  const isOwn = value.holderId === lease.ownerId && value.incarnation === lease.incarnation;
  if (!isOwn) {
    // A row of an earlier holder that was restored from a backup does not end this box's lease.
    if (eraOfFence(value.fence) === eraOf(row.version)) lease.held = undefined;
    return;
  }
  if (pending.kind === 'write') grant(lease, { value, row, sentAtMs: pending.sentAtMs });
}

/** Returns the value of a row; undefined if it is malformed. */
function leaseValueOf({ value }: TableRow): LeaseValue | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { holderId, incarnation, fence, renewal } = value as Partial<LeaseValue>;
  if (typeof holderId !== 'string') return undefined;
  const areNumbers = [incarnation, fence, renewal].every(Number.isSafeInteger);
  return areNumbers ? (value as LeaseValue) : undefined;
}

/**
 * Grants the lease to this box. It counts from before the write was sent, so that it ends before
 * another box may acquire it. A fence of an earlier era than the row's is not granted, since
 * another box may have used the same fence in writes that the restore lost.
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

/** Returns whether this box's lease has ended by its own clock; also true if it holds none. */
function hasLapsed({ held, options }: LeaseState, nowMs: number): boolean {
  return held === undefined || nowMs >= held.grantedAtMs + options.ttlMs - options.marginMs;
}

/** Returns whether the row has been unchanged for so long that its holder's lease has ended. */
function mayAcquire(lease: LeaseState, nowMs: number): boolean {
  const { seen, options } = lease;
  return seen !== undefined && nowMs >= seen.sinceMs + options.ttlMs + options.marginMs;
}

function renewWhenDue(lease: LeaseState, nowMs: number): TableOp | undefined {
  const { held, seen, options } = lease;
  if (held === undefined || seen === undefined) return undefined;
  if (eraOfFence(held.fence) < lease.era) return acquire(lease, nowMs);
  if (nowMs < held.grantedAtMs + options.renewIntervalMs) return undefined;
  const value = leaseValueOf(seen.row);
  if (value === undefined) return acquire(lease, nowMs);
  return write(lease, nowMs, { ...value, renewal: value.renewal + 1 });
}

function acquire(lease: LeaseState, nowMs: number): TableOp {
  const { seen } = lease;
  const isHidden =
    seen !== undefined && seen.row.version > 0 && leaseValueOf(seen.row) === undefined;
  const hidden = isHidden ? MAX_HIDDEN_GRANTS : 0;
  const fence = Math.max(lease.highestFence, lease.era * FENCES_PER_ERA) + hidden + 1;
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
