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
/**
 * Number of repeated sends that a box may save up before it has read the list of boxes, and so does not
 * know among how many the fixed number is divided.
 */
const UNLISTED_CAPACITY = 1;

/** Counts the first send of a request, which earns a fraction of a retry. */
export function countFirstSend(state: GatewayState, service: string): void {
  recordFirstTry(budgetOf(state, service));
}

/** Consumes one repeated send from the budget; returns false if none is left. */
export function takeRepeat(state: GatewayState, service: string): boolean {
  return takeRetry(budgetOf(state, service));
}

function budgetOf(state: GatewayState, service: string): RetryBudget {
  const { retryRatio } = state.settings.bounds;
  const capacity = capacityOf(state);
  const known = state.retryBudgets.get(service);
  if (known !== undefined) {
    known.capacity = capacity;
    known.tokens = Math.min(known.tokens, capacity);
    return known;
  }
  const budget = createRetryBudget(retryRatio * USED_RATIO_SHARE, capacity);
  budget.tokens = initialTokens(state, capacity);
  state.retryBudgets.set(service, budget);
  return budget;
}

function initialTokens(state: GatewayState, capacity: number): number {
  // One for a stream that loses its server at a box that has just started.
  if (!hasReadList(state)) return UNLISTED_CAPACITY;
  return isNewBox(state) ? Math.max(1, capacity * JOINING_SHARE) : capacity * RESTART_SHARE;
}

function capacityOf(state: GatewayState): number {
  if (!hasReadList(state)) return UNLISTED_CAPACITY;
  return Math.max(1, (state.settings.bounds.retrySlack * USED_SLACK_SHARE) / fleetSize(state));
}

/** Whether the list of boxes shows that no earlier incarnation of this box has used its share. */
function isNewBox(state: GatewayState): boolean {
  const { opening, hadEarlierLife } = state.part;
  return hasReadList(state) && !hadEarlierLife && opening?.kind !== 'earlierLife';
}

function hasReadList({ part }: GatewayState): boolean {
  return part.listRevision > 0;
}
