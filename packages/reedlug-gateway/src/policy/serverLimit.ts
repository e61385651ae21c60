/**
 * The limit of a server in need: which of two statements is newer, how many boxes share it, and
 * when a box may send.
 *
 * A limit is for all boxes together. Equal parts of all boxes would leave each with one
 * send in many seconds, at callers who may not come then, so that most of it is unused;
 * one box alone may have too few callers for a high one. So as many boxes send as leave
 * each half a request a second.
 */
import type { LimitedSends, LimitObservation } from '../types/serverStatement.js';

/** Requests a second that a box which sends to a limited server has at least, where the limit allows it. */
const MIN_SHARE_PER_SECOND = 0.5;
/** Time in which nothing was heard of a limited server after which one box more may send, in ms: those that may have no callers, or are gone. */
const SILENT_LIMIT_MS = 16_000;
/** Least requests a second that a limited server is sent, so that its answer tells again: one in ten seconds. */
const MIN_LIMIT_PER_SECOND = 0.1;
/** Time in which a box's part is kept to, in ms: the servers' limits are meant over some seconds, and callers come in clumps. */
const WINDOW_MS = 4000;
/** Sends of one box that are remembered at most; beyond it they are spaced over a shorter time. */
const MAX_REMEMBERED_SENDS = 64;
/** Time from the end of a limit until its server is used as all others, and in which what it gets doubles meanwhile, in ms. */
const RECOVERY_MS = 3000;
const DOUBLING_MS = 500;

/**
 * Whether what a server said of its limit takes the place of what is known. Answers overtake each other,
 * and boxes hear them at different times: a higher limit, or its end, counts only if its
 * request was sent after the known answer had come; a lower one counts unless it is older
 * for sure. Whichever comes first, the same one stands.
 */
export function isNewerLimit(
  observed: LimitObservation,
  known: LimitObservation | undefined,
): boolean {
  // The first answer without one dates the end: what the server gets rises from then on.
  if (known?.perSecond === undefined && observed.perSecond === undefined) return false;
  if (known === undefined) return true;
  const isLower = limitOf(observed) < limitOf(known);
  return isLower ? observed.receivedAtMs > known.sentAtMs : observed.sentAtMs >= known.receivedAtMs;
}

function limitOf({ perSecond }: LimitObservation): number {
  return perSecond ?? Number.POSITIVE_INFINITY;
}

/** Requests a second that a server gets now, where it has named a limit; undefined for as many as come. */
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

/** How many boxes share a limit of which nothing was heard for a time. */
export function senderCount(perSecond: number, silentMs: number): number {
  const sharing = Math.max(1, Math.floor(perSecond / MIN_SHARE_PER_SECOND));
  return sharing + Math.floor(Math.max(0, silentMs) / SILENT_LIMIT_MS);
}

/** When a box with a part of a limit may send next; in its first window its sends are spaced evenly. */
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

/** Sends that a part holds within the window, one at least. */
function sendsPerWindow(sharePerSecond: number): number {
  const sends = Math.ceil((sharePerSecond * WINDOW_MS) / 1000);
  return Math.min(MAX_REMEMBERED_SENDS, Math.max(1, sends));
}

/** Notes a send. */
export function recordLimitedSend({ atMs }: LimitedSends, nowMs: number): void {
  atMs.push(nowMs);
  if (atMs.length > MAX_REMEMBERED_SENDS) atMs.shift();
}
