/**
 * Decides whether a request is sent to an engine now or refused at once.
 *
 * Refusals handle overload, when more prompt tokens arrive than the engines can process.
 * Without them, prompts queue in order of urgency until their callers leave. Nearly all requests
 * of a kind are then late, whereas refusals affect only some of them.
 */

/** Share of an engine's slots in use below which nothing is refused: waits are then short. */
const NO_REFUSAL_BELOW_SHARE = 0.5;
/**
 * Expected time to the first event above which a request is refused, as a multiple of its route's
 * target: the first event is then expected to be late.
 */
const TARGET_FACTOR = 1;
/**
 * The same limit for a request that was refused before, as a share of its remaining time instead:
 * a retry takes precedence over a new request if this share is longer than the target.
 */
const RETRY_TIME_SHARE = 0.5;
/** Shortest and longest `Retry-After` of a refusal, in ms. */
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 5000;

/** Facts that the decision is based on. */
export interface SendContext {
  /** Expected time to the first event at the best engine. */
  expectedMs: number;
  /** Requests in progress at that engine, and its slots. */
  running: number;
  slots: number;
  /** The route's target for the first event, and the remaining time of the request. */
  targetMs: number;
  leftMs: number;
  /** True if the request was refused before and is a retry. */
  hasReturned: boolean;
}

/** Outcome of the decision. */
export type SendDecision = { kind: 'send' } | { kind: 'refuse'; retryAfterMs: number };

/** Decides whether to send a request or to refuse it. */
export function decideSend(context: SendContext): SendDecision {
  const { expectedMs, running, slots, targetMs, leftMs, hasReturned } = context;
  if (running < slots * NO_REFUSAL_BELOW_SHARE) return { kind: 'send' };
  const limitMs = hasReturned ? leftMs * RETRY_TIME_SHARE : targetMs * TARGET_FACTOR;
  if (!(expectedMs > limitMs)) return { kind: 'send' };
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, expectedMs - targetMs),
  );
  return { kind: 'refuse', retryAfterMs };
}
