/**
 * Retry budget: retries are a share of first tries, with a small floor.
 *
 * A token bucket that first tries fill and retries empty, so that a fault that
 * hits every request cannot multiply the load.
 */
export interface RetryBudget {
  /** Tokens that each first try adds, for example 0.1. */
  share: number;
  /** Upper bound of tokens kept. */
  capacity: number;
  tokens: number;
}

/** Returns a full budget. */
export function createRetryBudget(share: number, capacity: number): RetryBudget {
  return { share, capacity, tokens: capacity };
}

/** Counts a first try. */
export function recordFirstTry(budget: RetryBudget): void {
  budget.tokens = Math.min(budget.capacity, budget.tokens + budget.share);
}

/** Takes one retry from the budget if it is there. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

/** Exponential backoff with full jitter, in ms; `random` is in [0, 1). */
export function backoffMs(params: {
  tries: number;
  baseMs: number;
  capMs: number;
  random: number;
}): number {
  const ceilingMs = Math.min(params.capMs, params.baseMs * 2 ** (params.tries - 1));
  return ceilingMs * (0.5 + params.random / 2);
}
