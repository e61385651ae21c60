/** Refusals of requests that no engine would start in time. */
import type { Choice } from '../../policy/chooseServer.js';
import { decideSend } from '../../policy/decideSend.js';
import { addRetryJitter } from '../../policy/retryJitter.js';
import { log, type Step } from '../../state.js';
import { RouteKind } from '../../types/configuration.js';
import type { RequestRecord } from '../../types/request.js';
import { placementFields } from '../placement/placementFields.js';
import { refuse } from './requestCompletion.js';

/** Share of a route's timeout; a request with a shorter deadline comes from a caller that has waited before. */
const RETRY_DEADLINE_SHARE = 0.95;

/** Refuses a stream that would start too late even at the best engine; returns whether it did. Runs before the request is sent or charged. */
export function refuseIfLate(step: Step, record: RequestRecord, choice: Choice): boolean {
  const { route, facts, exchangeId, deadlineAtMs } = record;
  if (route.kind !== RouteKind.stream) return false;
  const { expectedMs, modelMs, conditions } = choice;
  const { running, slots } = conditions;
  const leftMs = deadlineAtMs - step.nowMs;
  const { targetMs, timeoutMs } = route;
  const hasReturned = (facts.deadlineMs ?? timeoutMs) < timeoutMs * RETRY_DEADLINE_SHARE;
  const decision = decideSend({ expectedMs, running, slots, targetMs, leftMs, hasReturned });
  if (decision.kind === 'send') return false;
  log(step, 'requestTooLate', {
    request: facts.requestId,
    route: route.name,
    expectedMs: Math.round(expectedMs),
    // Differs if a speed of the server other than that of the service is known.
    ...(modelMs === expectedMs ? {} : { modelMs: Math.round(modelMs) }),
    running,
    leftMs: Math.round(leftMs),
    hasReturned,
    ...placementFields(choice),
  });
  const retryAfterMs = addRetryJitter(decision.retryAfterMs, facts.requestId);
  refuse(step, { exchangeId, facts, status: 503, reason: 'tooLate', retryAfterMs });
  return true;
}
