/** Open attempts: their look-up, and their activity. */
import type { AttemptIds, Attempt, RequestAttempt } from '../../types/request.js';
import type { GatewayState, Step } from '../../state.js';
import { recordActivity } from '../../policy/serverSilence.js';
import { serverOf } from './requestCompletion.js';

/** Returns the attempt that an event belongs to, with its request; undefined once it is closed. */
export function findOpenAttempt(
  state: GatewayState,
  event: AttemptIds,
): RequestAttempt | undefined {
  const record = state.requests.get(event.exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === event.attemptId);
  if (record === undefined || attempt === undefined || !attempt.open) return undefined;
  return { record, attempt };
}

/** Records that data arrived for an attempt, and so from its server. */
export function recordAttemptActivity(state: GatewayState, step: Step, attempt: Attempt): void {
  attempt.lastActivityAtMs = step.nowMs;
  const view = serverOf(state, attempt);
  if (view === undefined) return;
  view.receivedAtMs = step.nowMs;
  recordActivity(view, step.nowMs);
}
