/**
 * Whether a request goes to an engine now or is refused at once.
 *
 * It answers the load in which more is asked than the engines read: prompts then
 * wait, urgent ones first, until their callers leave, and nearly all of a kind of
 * request are late instead of a part of them being refused.
 */

/** Share of an engine's places up to which nothing is refused: there, what waits does so for a moment. */
const FREE_SLOTS_SHARE = 0.5;
/** Expected wait from which a request is refused, as a multiple of its route's target: later, its answer is late for sure. */
const LATE_FACTOR = 1;
/** The same of one that came back, as a share of the time that it has left: it goes before others. */
const RETRY_TIME_SHARE = 0.5;
/** Shortest and longest time to come back that is told, in ms. */
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 5000;

/** What decides. */
export interface SendContext {
  /** Expected time to the first event at the best engine. */
  expectedMs: number;
  /** Requests in progress there, and its places. */
  running: number;
  slots: number;
  /** The route's time to the first event, and what is left of the request's time. */
  targetMs: number;
  leftMs: number;
  /** The caller was refused before and came back. */
  hasReturned: boolean;
}

/** What is decided. */
export type SendDecision = { kind: 'send' } | { kind: 'refuse'; retryAfterMs: number };

/** Decides. */
export function decideSend(context: SendContext): SendDecision {
  const { expectedMs, running, slots, targetMs, leftMs, hasReturned } = context;
  if (running < slots * FREE_SLOTS_SHARE) return { kind: 'send' };
  const limitMs = hasReturned ? leftMs * RETRY_TIME_SHARE : targetMs * LATE_FACTOR;
  if (!(expectedMs > limitMs)) return { kind: 'send' };
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, expectedMs - targetMs),
  );
  return { kind: 'refuse', retryAfterMs };
}
