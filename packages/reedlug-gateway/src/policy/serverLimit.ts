/**
 * Enforces the request limit of an overloaded server: which of two observations is newer, how
 * many boxes share the limit, and when a box may send.
 *
 * A limit applies to all boxes together. If all boxes shared it equally, each would get one send
 * in many seconds, often while it has no request, and most of the limit would stay unused. A
 * single box may have too few callers for a high limit. So the number of boxes that send is
 * chosen such that each gets at least half a request a second.
 */
import type { LimitedSends, LimitObservation } from '../types/serverStatement.js';

/**
 * Minimum requests per second of each box that sends to a limited server, if the limit allows it.
 */
const MIN_SHARE_PER_SECOND = 0.5;
/**
 * Time without an answer of a limited server after which one more box may send, in ms: the boxes
 * that share the limit may have no callers, or be gone.
 */
const SILENT_LIMIT_MS = 16_000;
/**
 * Minimum requests per second to a limited server, one in ten seconds: only an answer shows that
 * the limit has changed.
 */
const MIN_LIMIT_PER_SECOND = 0.1;
/**
 * Window over which a box keeps to its share, in ms: servers mean their limits over some seconds,
 * and requests arrive in bursts.
 */
const WINDOW_MS = 4000;
/** Maximum number of remembered sends of one box; for larger shares, a shorter window applies. */
const MAX_REMEMBERED_SENDS = 64;
/**
 * Time from the end of a limit until its server is used without restriction, and time in which its
 * requests per second double meanwhile, in ms.
 */
const RECOVERY_MS = 3000;
const DOUBLING_MS = 500;

/**
 * Returns whether an observation of a server's limit replaces the known one. Answers overtake each
 * other, and boxes receive them in different orders. A higher limit, or the end of a limit, counts
 * only if its request was sent after the known answer was received; a lower one counts unless it
 * is certainly older. So the result does not depend on the order.
 */
export function isNewerLimit(
  observed: LimitObservation,
  known: LimitObservation | undefined,
): boolean {
  // The first answer without a limit determines its end, from which the rate rises.
  if (known?.perSecond === undefined && observed.perSecond === undefined) return false;
  if (known === undefined) return true;
  const isLower = limitOf(observed) < limitOf(known);
  return isLower ? observed.receivedAtMs > known.sentAtMs : observed.sentAtMs >= known.receivedAtMs;
}

function limitOf({ perSecond }: LimitObservation): number {
  return perSecond ?? Number.POSITIVE_INFINITY;
}

/** Returns the requests per second that a server gets now; undefined without a limit. */
export function currentLimit(
  limit: LimitObservation & { lastPerSecond: number },
  nowMs: number,
): number | undefined {
  if (limit.perSecond !== undefined) return Math.max(MIN_LIMIT_PER_SECOND, limit.perSecond);
  const sinceEndMs = nowMs - limit.receivedAtMs;
  if (sinceEndMs >= RECOVERY_MS) return undefined;
  const from = Math.max(MIN_SHARE_PER_SECOND, limit.lastPerSecond);
  return from * 2 ** (sinceEndMs / DOUBLING_MS);
}

/** Returns how many boxes share a limit, given the time since the last answer of its server. */
export function senderCount(perSecond: number, silentMs: number): number {
  const sharing = Math.max(1, Math.floor(perSecond / MIN_SHARE_PER_SECOND));
  return sharing + Math.floor(Math.max(0, silentMs) / SILENT_LIMIT_MS);
}

/**
 * Returns when a box with a share of a limit may send next. In its first window, sends are spaced
 * evenly.
 */
export function nextSendAtMs(
  { atMs, sharingSinceMs, replacedAnotherBox }: LimitedSends,
  sharePerSecond: number,
  nowMs: number,
): number {
  if (sharingSinceMs === undefined || sharePerSecond <= 0) return Number.POSITIVE_INFINITY;
  const spacingMs = 1000 / sharePerSecond;
  const sends = sendsPerWindow(sharePerSecond);
  const oldestMs = atMs.at(-sends);
  const byWindowMs = oldestMs === undefined ? sharingSinceMs : oldestMs + sends * spacingMs;
  if (nowMs - sharingSinceMs >= WINDOW_MS && byWindowMs <= nowMs) return byWindowMs;
  const sentSince =
    atMs.filter((sentMs) => sentMs >= sharingSinceMs).length + (replacedAnotherBox ? 1 : 0);
  const byStartMs = sharingSinceMs + Math.min(WINDOW_MS, sentSince * spacingMs);
  return Math.max(byWindowMs, byStartMs);
}

/** Returns the number of sends per window that a share allows, at least 1. */
function sendsPerWindow(sharePerSecond: number): number {
  const sends = Math.ceil((sharePerSecond * WINDOW_MS) / 1000);
  return Math.min(MAX_REMEMBERED_SENDS, Math.max(1, sends));
}

/** Records a send. */
export function recordLimitedSend({ atMs }: LimitedSends, nowMs: number): void {
  atMs.push(nowMs);
  if (atMs.length > MAX_REMEMBERED_SENDS) atMs.shift();
}
