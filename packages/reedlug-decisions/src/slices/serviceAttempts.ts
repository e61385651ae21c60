/** Attempts at plain services: the first answer goes to the caller. */
import { Outcome, Reach } from 'reedlug-coordination';
import type { BoxState, Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import { Reason, type Attempt, type RequestRecord } from '../types/request.js';
import { dispatchPool } from './dispatch.js';
import { findAttempt, closeAttempt, cancelAll, openAttempt } from './openAttempts.js';
import { settle } from './requests.js';
import { isUnsettled } from './requestRecords.js';
import { requeue } from './retries.js';
import { applyServerStatement } from './servers.js';

/** HTTP statuses by which a plain service states that it did not run the request. */
const NOT_RUN_STATUSES: readonly number[] = [429, 503];

/** Handles the answer of a plain service; the first one goes to the caller. */
export function onServiceAnswered(
  state: BoxState,
  step: Step,
  event: EventOf<'serviceAnswered'>,
): void {
  const found = findAttempt(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  closeAttempt(state, record, attempt);
  recordServerLive(state, step, attempt);
  if (isUnsettled(record)) applyAnswer(state, step, record, attempt, event.status);
  dispatchPool(state, step, record.spec.pool);
}

function applyAnswer(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
  status: number,
): void {
  if (NOT_RUN_STATUSES.includes(status)) {
    attempt.reach = Reach.refused;
    record.avoidedServers.add(attempt.serverId);
    if (openAttempt(record) === undefined) requeue(state, step, record, true);
    return;
  }
  attempt.reach = Reach.answered;
  cancelAll(state, step, record);
  settle(state, step, record, {
    outcome: Outcome.completed,
    reason: Reason.answered,
    attemptId: attempt.attemptId,
    status,
  });
}

function recordServerLive(state: BoxState, step: Step, attempt: Attempt): void {
  const view = state.servers.get(attempt.serverId);
  if (view === undefined) return;
  const { incarnation } = attempt;
  const live = { kind: 'heard', incarnation, zone: view.spec.zone } as const;
  applyServerStatement(state, step, attempt.serverId, live, false);
}
