/**
 * Requests that come before a box knows configuration and servers.
 *
 * After a start both are read within some tens of ms, while callers that waited
 * for the box all come at once: they wait for it a moment longer.
 */
import type { EventOf } from '../types/event.js';
import type { PendingRequest } from '../types/request.js';
import type { GatewayState, Step } from '../state.js';
import { refuse } from './requestCompletion.js';

/** Longest wait for configuration and servers, in ms: the store answers in some ms, a slow one in 250. */
const MAX_START_WAIT_MS = 300;
/** When to come back to a box that knows neither yet, in ms: it asks the store again within half a second. */
const NOT_STARTED_RETRY_MS = 500;

/** Whether the box knows what it needs to take requests: configuration and servers, and its part of the limits. */
export function isReadyForRequests(state: GatewayState): boolean {
  return canServe(state) && state.part.listRevision > 0;
}

/** Whether it could serve what no limit holds back, or what others lend units for. */
function canServe(state: GatewayState): boolean {
  return state.active !== undefined && state.serversKnown;
}

/** Keeps a request until the box knows enough. */
export function addPendingRequest(
  state: GatewayState,
  step: Step,
  event: EventOf<'requestArrived'>,
): void {
  const { exchangeId, facts } = event;
  state.pendingRequests.push({ exchangeId, facts, arrivedAtMs: step.nowMs });
}

/** Takes out the requests that may go on now; refuses those that waited long enough. */
export function takeReadyRequests(state: GatewayState, step: Step): PendingRequest[] {
  if (state.pendingRequests.length === 0) return [];
  if (isReadyForRequests(state)) return state.pendingRequests.splice(0);
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

/** The caller of a request that waited is gone. */
export function removePendingRequest(state: GatewayState, exchangeId: number): void {
  state.pendingRequests = state.pendingRequests.filter(
    (request) => request.exchangeId !== exchangeId,
  );
}
