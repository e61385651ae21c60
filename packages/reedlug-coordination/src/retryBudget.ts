/**
 * Retry budget: limits retries to a share of first tries.
 *
 * It is a token bucket: a first try adds a share of a token and a retry takes a whole
 * one, so that a fault that affects every request cannot multiply the load. The bucket
 * starts full, so that a few retries are possible before first tries have added tokens.
 */
export interface RetryBudget {
  /** Tokens that each first try adds, for example 0.1. */
  share: number;
  /** Maximum number of tokens. */
  capacity: number;
  tokens: number;
}

/** Returns a full budget. */
export function createRetryBudget(share: number, capacity: number): RetryBudget {
  return { share, capacity, tokens: capacity };
}

/** Records a first try, which adds `share` tokens. */
export function recordFirstTry(budget: RetryBudget): void {
  budget.tokens = Math.min(budget.capacity, budget.tokens + budget.share);
}

/** Takes the token for one retry; returns false if less than one token is left. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

/**
 * Returns an exponential backoff in ms with equal jitter: at least half of the longest backoff.
 * `tries` counts from 1; `random` is in [0, 1).
 */
export function backoffMs(params: {
  tries: number;
  baseMs: number;
  capMs: number;
  random: number;
}): number {
  const ceilingMs = Math.min(params.capMs, params.baseMs * 2 ** (params.tries - 1));
  return ceilingMs * (0.5 + params.random / 2);
}
