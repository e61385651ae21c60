/** Answers of attempts (one attempt is one send of a request to a server), and the completion of requests. */
import { Reach } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import { RouteKind } from '../../types/configuration.js';
import type { Attempt, RequestAttempt } from '../../types/request.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { recordFailure, recordSuccess } from '../../policy/serverHealth.js';
import { removeUnreadPrompt } from '../../policy/serverLoad.js';
import { closeAttempt, giveUp, serverOf } from './requestCompletion.js';
import { takenUpField } from './takenUpField.js';
import { isPastCrashPoint, recordGoodRun } from '../crashes/crashSuspects.js';
import { recordSuccessfulEnd, recordFirstEvent } from '../engines/engineModels.js';
import { recordAnswerTime } from './answerTimes.js';
import { recordUncertainEnd } from '../crashes/lostServers.js';
import { recordRejection, releaseSparePlace } from '../statements/brittleServices.js';
import { recordServedProbe } from '../statements/pauses.js';
import { applyAnswerStatements, applyRefusal } from '../statements/answerStatements.js';
import { retryAfterLoss, reserveRerun, retryNotRun } from './retries.js';
import { AnswerEnd, recordAnswer } from '../rollouts/rolloutEvidence.js';
import { removeServer } from '../servers/servers.js';
import { countStarted } from '../usage/usage.js';
import { chargeFurtherSend } from '../limits/quotas.js';
import { sendOrGiveUp } from './sending.js';
import { findOpenAttempt, recordAttemptActivity } from './openAttempts.js';
import { recordVersionOfStream, logContinuation } from './streamAttempts.js';

/** The head of an answer arrived; its headers may carry statements of the server about itself. */
export function onAnswerBegun(
  state: GatewayState,
  step: Step,
  event: EventOf<'answerBegun'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  applyAnswerStatements(state, step, { ...found, answerStatements: event.statements });
}

/** Handles a plain answer, or the head and first event of a stream. */
export function onAttemptAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptAnswered'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  const { record, attempt } = found;
  recordAttemptActivity(state, step, attempt);
  attempt.endsWithConnection = event.endsWithConnection === true;
  switch (event.verdict) {
    case 'success':
      return onSuccess(state, step, found, event);
    case 'failure':
      return onFailure(state, step, found, event.status);
    case 'notRun': {
      const view = closeAttempt(state, attempt, Reach.refused);
      if (view !== undefined) recordRejection(view, step.nowMs);
      applyRefusal(state, step, attempt);
      return retryNotRun(state, step, found, `refused${event.status}`);
    }
    case 'otherServer': {
      const view = closeAttempt(state, attempt, Reach.refused);
      if (view !== undefined) removeServer(state, step, view, 'addressReused');
      return retryNotRun(state, step, found, 'otherServer');
    }
    case 'invalid': {
      const view = closeAttempt(state, attempt, Reach.maybe);
      if (view !== undefined) recordFailure(view, step.nowMs);
      recordAnswer(state, step, { record, attempt, end: AnswerEnd.failed });
      step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
      return retryAfterLoss(state, step, { record, attempt }, 'invalidAnswer');
    }
  }
}

function onSuccess(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  { isReadLate = false }: EventOf<'attemptAnswered'>,
): void {
  const { record, attempt } = found;
  if (attempt.firstOutputAtMs === undefined) {
    // The time of an answer that was read late says nothing of its server.
    if (!isReadLate) recordFirstEvent(state, step, record, attempt);
    recordAnswer(state, step, { record, attempt, end: AnswerEnd.good });
  }
  recordRunStart(state, step, found);
  logContinuation(step, found);
  const { exchangeId } = record;
  const { attemptId } = attempt;
  const isStream = record.route.kind === RouteKind.stream;
  if (isStream) recordVersionOfStream(state, step, found);
  step.effects.push({
    type: 'relay',
    exchangeId,
    attemptId,
    part: isStream ? 'streamHead' : 'whole',
    routeName: record.route.name,
  });
  record.relayed = true;
  if (isStream) return;
  finishRequest(state, step, found, 'success');
}

/** Relays a server's own failure to the caller unchanged, unless the request may be sent again. */
function onFailure(state: GatewayState, step: Step, found: RequestAttempt, status: number): void {
  const { record, attempt } = found;
  recordRunStart(state, step, found);
  const view = serverOf(state, attempt);
  if (view !== undefined && status >= 500) recordFailure(view, step.nowMs);
  if (status >= 500) recordAnswer(state, step, { record, attempt, end: AnswerEnd.failed });
  // If the workspace's limit has no units for another run, the caller gets this answer.
  const mayRetry = status >= 500 && !record.relayed && reserveRerun(state, step, record);
  if (mayRetry && chargeFurtherSend(state, record, step.nowMs)) {
    closeAttempt(state, attempt, Reach.answered);
    step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
    log(step, 'requestRepeated', { request: record.facts.requestId, reason: `status${status}` });
    record.excludedServers.add(attempt.serverId);
    return sendOrGiveUp(state, step, record);
  }
  if (record.relayed) {
    closeAttempt(state, attempt, Reach.answered);
    return giveUp(state, step, record, `resumeFailed${status}`);
  }
  step.effects.push({
    type: 'relay',
    exchangeId: record.exchangeId,
    attemptId: attempt.attemptId,
    part: 'whole',
    routeName: record.route.name,
  });
  finishRequest(state, step, found, `status${status}`);
}

/** Records that the run has started: its prompt has been read, and it counts as usage of its workspace. */
function recordRunStart(state: GatewayState, step: Step, found: RequestAttempt): void {
  const { record, attempt } = found;
  if (attempt.firstOutputAtMs === undefined) {
    attempt.firstOutputAtMs = step.nowMs;
    const view = serverOf(state, attempt);
    if (view !== undefined) removeUnreadPrompt(view, attempt);
  }
  const server = serverOf(state, attempt);
  if (server !== undefined) releaseSparePlace(server, attempt);
  attempt.reach = Reach.answered;
  countStarted(state, step, record);
}

function finishRequest(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  outcome: string,
): void {
  const { record, attempt } = found;
  const view = closeAttempt(state, attempt, Reach.answered);
  if (outcome === 'success') {
    recordSuccessfulEnd(state, step, record, attempt);
    if (view !== undefined) recordSuccess(view, step.nowMs);
    recordServedProbe(state, step, attempt);
    recordPlainAnswerTime(state, step, found);
    if (mayHaveBeenCut(attempt, step.nowMs)) recordUncertainEnd(state, step, record, attempt);
    else recordGoodRun(state, step, record);
  }
  state.requests.delete(record.exchangeId);
  log(step, 'requestFinished', {
    request: record.facts.requestId,
    route: record.route.name,
    workspace: record.workspace ?? '',
    server: attempt.serverId,
    outcome,
    attempts: record.attempts.length,
    heldMs: Math.round(step.nowMs - record.arrivedAtMs),
    ...takenUpField(record.facts),
  });
}

function recordPlainAnswerTime(
  state: GatewayState,
  { nowMs }: Step,
  { record, attempt }: RequestAttempt,
): void {
  const { route } = record;
  if (route.kind === RouteKind.stream) return;
  recordAnswerTime(state, { routeName: route.name, tookMs: nowMs - attempt.sentAtMs, nowMs });
}

/** Returns whether the end of an answer may be that of its server. */
function mayHaveBeenCut(attempt: Attempt, nowMs: number): boolean {
  return attempt.endsWithConnection === true && !isPastCrashPoint(attempt, nowMs);
}

/** A stream ended normally. */
export function onAttemptEnded(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptEnded'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found !== undefined) finishRequest(state, step, found, 'success');
}
