/** Attempts without a connection: none could be opened, or it ended before the answer did. */
import { Reach } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import { CONNECTION_REFUSED_REASON } from '../../types/serverLink.js';
import {
  INTERNAL_FAULT_REASON,
  type RequestFacts,
  type RequestAttempt,
} from '../../types/request.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { isServerAtFault } from '../../policy/connectPlan.js';
import { recordFailure, recordGone } from '../../policy/serverHealth.js';
import { closeAttempt, reachWhenLost } from './requestCompletion.js';
import { recordLoss, recordRefusedConnection } from '../crashes/lostServers.js';
import { retryAfterLoss, retryNotRun } from './retries.js';
import { recordLostAnswer } from '../rollouts/rolloutEvidence.js';
import { findOpenAttempt } from './openAttempts.js';

/** Longest list of prompt parts in a log line, in characters: a prompt may name hundreds of them. */
const MAX_LOGGED_PARTS_CHARACTERS = 1024;

/** No connection could be opened, so the request has not run there. */
export function onAttemptNotSent(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptNotSent'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  const view = closeAttempt(state, found.attempt, Reach.none);
  // An exception of this box says nothing of the server or the links to it.
  if (event.reason === INTERNAL_FAULT_REASON) return retryNotRun(state, step, found, event.reason);
  const isAtFault = isServerAtFault(view?.link, state.serverLinks, step.nowMs);
  if (view !== undefined && isAtFault) {
    if (event.reason === CONNECTION_REFUSED_REASON) recordGone(view, step.nowMs);
    else recordFailure(view, step.nowMs);
  }
  if (view !== undefined) recordRefusedConnection(state, step, view);
  found.record.failedToConnect = true;
  retryNotRun(state, step, found, event.reason);
}

/** The connection ended after bytes were sent: the request may have run. */
export function onAttemptLost(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptLost'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  const { record, attempt } = found;
  const view = closeAttempt(state, attempt, reachWhenLost(attempt));
  recordLoss(state, step, { record, attempt, view });
  recordLostAnswer(state, step, found);
  logLost(step, found, event.reason);
  retryAfterLoss(state, step, found, event.reason);
}

function logLost(step: Step, { record, attempt }: RequestAttempt, reason: string): void {
  log(step, 'sendLost', {
    request: record.facts.requestId,
    digest: record.facts.digest,
    workspace: record.workspace ?? '',
    server: attempt.serverId,
    reason,
    begun: attempt.firstOutputAtMs !== undefined,
    lastEvent: record.lastEventId ?? -1,
    parts: sharedPartsText(record.facts),
    sinceSentMs: Math.round(step.nowMs - attempt.sentAtMs),
  });
}

/** Names the parts of a prompt that other requests may share, in order, within the size of a log field. */
function sharedPartsText({ promptParts }: RequestFacts): string {
  const text = promptParts
    .slice(0, -1)
    .map(({ id }) => id)
    .join(',');
  return text.length <= MAX_LOGGED_PARTS_CHARACTERS
    ? text
    : `${text.slice(0, MAX_LOGGED_PARTS_CHARACTERS)}...`;
}
