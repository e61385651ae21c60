/**
 * Attempts that a server refused or whose connection was lost.
 *
 * After a lost connection that may have reached the server, a repeatable request is
 * retried; any other has the outcome `unknown`.
 */
import { MemberSource, Reach } from 'reedlug-coordination';
import type { BoxState, Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import { RefusalReason, type Attempt } from '../types/request.js';
import { findAttempt, closeAttempt, openAttempt } from './openAttempts.js';
import { isUnsettled } from './requestRecords.js';
import { applyServerStatement } from './servers.js';
import { retryOrGiveUp, requeue } from './retries.js';

/** Handles a refusal before the run; the request may be sent to another server at once. */
export function onAttemptRefused(
  state: BoxState,
  step: Step,
  event: EventOf<'attemptRefused'>,
): void {
  const found = findAttempt(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  const wasOpen = attempt.open;
  closeAttempt(state, record, attempt);
  attempt.reach = Reach.refused;
  record.avoidedServers.add(attempt.serverId);
  applyRefusal(state, step, attempt, event.reason);
  if (!isUnsettled(record) || !wasOpen || record.phase.kind === 'handing') return;
  if (openAttempt(record) === undefined) requeue(state, step, record, true);
}

function applyRefusal(state: BoxState, step: Step, attempt: Attempt, reason: RefusalReason): void {
  const { serverId, incarnation } = attempt;
  switch (reason) {
    case RefusalReason.leaving: {
      const source = MemberSource.direct;
      const leaving = { kind: 'leaving', incarnation, leavesAtMs: undefined, source } as const;
      applyServerStatement(state, step, serverId, leaving, true);
      return;
    }
    case RefusalReason.notConnected:
      applyServerStatement(state, step, serverId, { kind: 'silent', incarnation }, true);
      return;
    case RefusalReason.full:
    case RefusalReason.wrongModel:
      return;
  }
}

/** Handles the loss of an attempt's connection. */
export function onAttemptLost(state: BoxState, step: Step, event: EventOf<'attemptLost'>): void {
  const found = findAttempt(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  const wasOpen = attempt.open;
  closeAttempt(state, record, attempt);
  if (!event.reached && attempt.reach === Reach.maybe) attempt.reach = Reach.none;
  const { serverId, incarnation } = attempt;
  applyServerStatement(state, step, serverId, { kind: 'silent', incarnation }, true);
  if (!isUnsettled(record) || !wasOpen || record.phase.kind === 'handing') return;
  record.avoidedServers.add(serverId);
  if (openAttempt(record) === undefined) retryOrGiveUp(state, step, record);
}
