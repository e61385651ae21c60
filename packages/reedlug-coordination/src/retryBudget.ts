/**
 * Retry budget: limits retries to a share of first tries.
 *
 * It is a token bucket that first tries fill and retries empty, so that a fault
 * that affects every request cannot multiply the load. The bucket starts full, so
 * that a few retries are possible before first tries have filled it.
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

/** Takes one retry from the budget; returns false if the budget is used up. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

/** Returns an exponential backoff with equal jitter, in ms; `random` is in [0, 1). */
export function backoffMs(params: {
  tries: number;
  baseMs: number;
  capMs: number;
  random: number;
}): number {
  const ceilingMs = Math.min(params.capMs, params.baseMs * 2 ** (params.tries - 1));
  return ceilingMs * (0.5 + params.random / 2);
}
