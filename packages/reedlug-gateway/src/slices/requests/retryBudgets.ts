/**
 * Retry budgets by service.
 *
 * The users bound repeated sends over all boxes together, by a fixed number plus a ratio of the requests.
 * Each box keeps to an equal share of the fixed number and to the ratio of its own requests, so the sum
 * stays within the bound in any network partition and needs no messages.
 */
import {
  createRetryBudget,
  recordFirstTry,
  takeRetry,
  type RetryBudget,
} from 'reedlug-coordination';
import type { GatewayState } from '../../state.js';
import { fleetSize } from '../peers/fleet.js';

/** Share of the users' ratio that is used. The margin covers sliding windows and sends hidden by lost answers. */
const USED_RATIO_SHARE = 0.75;
/** Share of the fixed number that is used. A lost server ends a dozen streams of a box at once. */
const USED_SLACK_SHARE = 0.8;
/** Fraction of its share that a joining box starts with. The other boxes have had the whole number until then. */
const JOINING_SHARE = 0.5;
/**
 * Fraction of its share that a box starts with after a restart. Its earlier incarnation may have used the
 * whole share in the same window, and two losses of all boxes in a row must stay within the bound.
 */
const RESTART_SHARE = 0.1;

/** Counts the first send of a request, which earns a fraction of a retry. */
export function countFirstSend(state: GatewayState, service: string): void {
  recordFirstTry(budgetOf(state, service));
}

/** Consumes one repeated send from the budget; returns false if none is left. */
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
