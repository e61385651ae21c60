/**
 * Retry budgets by service.
 *
 * The users bound repeated sends over all boxes together. Each box keeps to an
 * even part of the fixed number and to the ratio of its own requests, so the
 * sum holds in any cut and needs no messages.
 */
import { createRetryBudget, noteFirstTry, takeRetry, type RetryBudget } from 'reedlug-coordination';
import type { GatewayState } from '../state.js';
import { fleetSize } from './fleet.js';

/** Part of the users' ratio that is used: windows slide, and lost answers hide some sends. */
const USED_RATIO_SHARE = 0.75;
/** Part of the fixed number that is used: a server that goes ends a dozen streams of a box at once. */
const USED_SLACK_SHARE = 0.8;
/** Part of its share that a box begins with that joins: others have had the whole until it came. */
const JOINING_SHARE = 0.5;
/**
 * Part of its share that a next life of a box begins with: the life before may have used
 * all of it in the same window, and two losses of all boxes in a row must stay within the whole.
 */
const RESTART_SHARE = 0.1;

/** Counts a request's first send. */
export function countFirstSend(state: GatewayState, service: string): void {
  noteFirstTry(budgetOf(state, service));
}

/** Takes one repeated send from the budget; false when none is left. */
export function takeRepeat(state: GatewayState, service: string): boolean {
  return takeRetry(budgetOf(state, service));
}

function budgetOf(state: GatewayState, service: string): RetryBudget {
  const { retryRatio, retrySlack } = state.settings.bounds;
  const capacity = Math.max(1, (retrySlack * USED_SLACK_SHARE) / fleetSize(state));
  const known = state.retryBudgets.get(service);
  if (known !== undefined) {
    known.capacity = capacity;
    known.tokens = Math.min(known.tokens, capacity);
    return known;
  }
  const budget = createRetryBudget(retryRatio * USED_RATIO_SHARE, capacity);
  const isRestart = state.part.opening?.kind === 'earlierLife';
  budget.tokens = isRestart ? capacity * RESTART_SHARE : Math.max(1, capacity * JOINING_SHARE);
  state.retryBudgets.set(service, budget);
  return budget;
}
