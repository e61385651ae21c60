/**
 * Requests that arrive before a box knows its configuration, the servers and the requests that crash servers.
 *
 * After a start all are read within some tens of ms, but callers that waited for the box
 * all arrive at once. Their requests are held for a moment instead of being refused.
 */
import type { EventOf } from '../../types/event.js';
import type { PendingRequest } from '../../types/request.js';
import type { GatewayState, Step } from '../../state.js';
import { begunFirst } from '../../policy/unitsForBegun.js';
import { isBegunStream } from '../limits/begunStreams.js';
import { refuse } from './requestCompletion.js';

/** Longest wait for configuration and servers, in ms: the store answers within a few ms, a slow one within 250. */
const MAX_START_WAIT_MS = 300;
/** Retry-After time while the box lacks either of them, in ms: it asks the store again within half a second. */
const NOT_STARTED_RETRY_MS = 500;

/**
 * Whether the box knows the configuration, the servers, its share of the limits and which requests crash servers, which it needs to
 * accept requests. After a loss of all boxes, each would otherwise send one that crashes servers once more.
 */
export function isReadyForRequests(state: GatewayState): boolean {
  return canServe(state) && state.part.listRevision > 0 && !state.crashRow.isFirstReadPending;
}

/** Whether it could serve requests without a limit, and those for which other boxes lend units. */
function canServe(state: GatewayState): boolean {
  return state.active !== undefined && state.serversKnown;
}

/** Holds a request until the box is ready for it. */
export function addPendingRequest(
  state: GatewayState,
  step: Step,
  event: EventOf<'requestArrived'>,
): void {
  state.pendingRequests.push(arrivedRequest(step, event));
}

/** Returns a request that has arrived, with the time at which it was read. */
export function arrivedRequest(step: Step, event: EventOf<'requestArrived'>): PendingRequest {
  const { exchangeId, facts, lateMs, heldMs = 0 } = event;
  return { exchangeId, facts, arrivedAtMs: step.nowMs - heldMs, readLateMs: lateMs };
}

/** Removes and returns the requests that may proceed now, and refuses those that have waited too long. */
export function takeReadyRequests(state: GatewayState, step: Step): PendingRequest[] {
  if (state.pendingRequests.length === 0) return [];
  if (isReadyForRequests(state)) {
    return [...begunFirst(state.pendingRequests.splice(0), isBegunStream)];
  }
  const isLate = ({ arrivedAtMs }: PendingRequest): boolean =>
    step.nowMs - arrivedAtMs >= MAX_START_WAIT_MS;
  const late = state.pendingRequests.filter(isLate);
  state.pendingRequests = state.pendingRequests.filter((request) => !isLate(request));
  if (canServe(state)) return late;
  for (const { exchangeId, facts } of late) {
    const reason = state.active === undefined ? 'noConfiguration' : 'noServers';
    refuse(step, { exchangeId, facts, status: 503, reason, retryAfterMs: NOT_STARTED_RETRY_MS });
  }
  return [];
}

/** Removes a pending request whose caller has disconnected. */
export function removePendingRequest(state: GatewayState, exchangeId: number): void {
  state.pendingRequests = state.pendingRequests.filter(
    (request) => request.exchangeId !== exchangeId,
  );
}
