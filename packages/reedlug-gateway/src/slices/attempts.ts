/** Attempts: what servers say of sends, and what follows. */
import { Reach } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { RouteKind } from '../types/configuration.js';
import type { Attempt } from '../types/request.js';
import { log, type GatewayState, type Step } from '../state.js';
import { noteFailure, noteSuccess } from '../policy/serverHealth.js';
import { noteRead } from '../policy/serverLoad.js';
import { noteHeard } from '../policy/serverSilence.js';
import { closeAttempt, giveUp, reachWhenLost, serverOf } from './ending.js';
import { isPastCrashPoint, recordGoodRun } from './crashSuspects.js';
import { noteEnd, noteFirstEvent } from './engineModels.js';
import { noteLoss } from './lostServers.js';
import { noteServed } from './statements/rests.js';
import { takeAnswerStatements, takeRefusal } from './statements/answerStatements.js';
import { afterLoss, mayRepeat, tryAgain, type RequestAttempt } from './repeats.js';
import { AnswerEnd, recordAnswer, recordLostAnswer } from './rolloutEvidence.js';
import { removeServer } from './servers.js';
import { countBegun } from './usage.js';
import { chargeFurtherSend } from './quotas.js';
import { offer } from './sending.js';

function find(
  state: GatewayState,
  event: { exchangeId: number; attemptId: number },
): RequestAttempt | undefined {
  const record = state.requests.get(event.exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === event.attemptId);
  if (record === undefined || attempt === undefined || !attempt.open) return undefined;
  return { record, attempt };
}

/** No connection was had: the request has not run there. */
export function onAttemptNotSent(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptNotSent'>,
): void {
  const found = find(state, event);
  if (found === undefined) return;
  const view = closeAttempt(state, found.attempt, Reach.none);
  if (view !== undefined) noteFailure(view, step.nowMs);
  found.record.failedToConnect = true;
  tryAgain(state, step, found, event.reason);
}

/** The head of an answer came: it may say something of its server. */
export function onAnswerBegun(
  state: GatewayState,
  step: Step,
  event: EventOf<'answerBegun'>,
): void {
  const found = find(state, event);
  if (found === undefined) return;
  takeAnswerStatements(state, step, { ...found, said: event.statements });
}

/** A plain answer, or the head and first event of a stream. */
export function onAttemptAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptAnswered'>,
): void {
  const found = find(state, event);
  if (found === undefined) return;
  const { record, attempt } = found;
  hear(state, step, attempt);
  switch (event.verdict) {
    case 'success':
      return onSuccess(state, step, found);
    case 'failure':
      return onFailure(state, step, found, event.status);
    case 'notRun':
      closeAttempt(state, attempt, Reach.refused);
      takeRefusal(state, step, attempt);
      return tryAgain(state, step, found, `refused${event.status}`);
    case 'otherServer': {
      const view = closeAttempt(state, attempt, Reach.refused);
      if (view !== undefined) removeServer(state, step, view, 'addressReused');
      return tryAgain(state, step, found, 'otherServer');
    }
    case 'invalid': {
      const view = closeAttempt(state, attempt, Reach.maybe);
      if (view !== undefined) noteFailure(view, step.nowMs);
      recordAnswer(state, step, { record, attempt, end: AnswerEnd.failed });
      step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
      return afterLoss(state, step, { record, attempt }, 'invalidAnswer');
    }
  }
}

function onSuccess(state: GatewayState, step: Step, found: RequestAttempt): void {
  const { record, attempt } = found;
  if (attempt.firstOutputAtMs === undefined) {
    noteFirstEvent(state, step, record, attempt);
    recordAnswer(state, step, { record, attempt, end: AnswerEnd.good });
  }
  begin(state, step, found);
  const { exchangeId } = record;
  const { attemptId } = attempt;
  const isStream = record.route.kind === RouteKind.stream;
  step.effects.push({
    type: 'relay',
    exchangeId,
    attemptId,
    part: isStream ? 'streamHead' : 'whole',
  });
  record.relayed = true;
  if (isStream) return;
  finish(state, step, found, 'success');
}

/** A server's own failure goes to the caller as it is, unless the request may be repeated. */
function onFailure(state: GatewayState, step: Step, found: RequestAttempt, status: number): void {
  const { record, attempt } = found;
  begin(state, step, found);
  const view = serverOf(state, attempt);
  if (view !== undefined && status >= 500) noteFailure(view, step.nowMs);
  if (status >= 500) recordAnswer(state, step, { record, attempt, end: AnswerEnd.failed });
  // An answer that is there goes to the caller where the limit holds no other run.
  const mayGoOn = status >= 500 && !record.relayed && mayRepeat(state, step, record);
  if (mayGoOn && chargeFurtherSend(state, record, step.nowMs)) {
    closeAttempt(state, attempt, Reach.answered);
    step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
    log(step, 'requestRepeated', { request: record.facts.requestId, reason: `status${status}` });
    record.excludedServers.add(attempt.serverId);
    return offer(state, step, record);
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
  });
  finish(state, step, found, `status${status}`);
}

/** The run has begun: its prompt is read, and it counts for its workspace. */
function begin(state: GatewayState, step: Step, found: RequestAttempt): void {
  const { record, attempt } = found;
  if (attempt.firstOutputAtMs === undefined) {
    attempt.firstOutputAtMs = step.nowMs;
    const view = serverOf(state, attempt);
    if (view !== undefined) noteRead(view, attempt);
  }
  attempt.reach = Reach.answered;
  countBegun(state, step, record);
}

function finish(state: GatewayState, step: Step, found: RequestAttempt, outcome: string): void {
  const { record, attempt } = found;
  const view = closeAttempt(state, attempt, Reach.answered);
  if (outcome === 'success') {
    noteEnd(state, step, record, attempt);
    if (view !== undefined) noteSuccess(view, step.nowMs);
    noteServed(state, step, attempt);
    recordGoodRun(state, step, record);
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
  });
}

/** Notes how far the caller has a stream. */
export function onEventsRelayed(
  state: GatewayState,
  step: Step,
  event: EventOf<'eventsRelayed'>,
): void {
  const found = find(state, event);
  if (found === undefined) return;
  hear(state, step, found.attempt);
  if (isPastCrashPoint(found.attempt, step.nowMs)) recordGoodRun(state, step, found.record);
  if (event.lastEventId !== undefined) found.record.lastEventId = event.lastEventId;
}

/** A stream came to its end. */
export function onAttemptEnded(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptEnded'>,
): void {
  const found = find(state, event);
  if (found !== undefined) finish(state, step, found, 'success');
}

/** The connection ended after bytes were sent: the request may have run. */
export function onAttemptLost(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptLost'>,
): void {
  const found = find(state, event);
  if (found === undefined) return;
  const { record, attempt } = found;
  const view = closeAttempt(state, attempt, reachWhenLost(attempt));
  noteLoss(state, step, { record, attempt, view });
  recordLostAnswer(state, step, found);
  logLost(step, found, event.reason);
  afterLoss(state, step, found, event.reason);
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
    sinceSentMs: Math.round(step.nowMs - attempt.sentAtMs),
  });
}

/** Notes that something came of an attempt. */
function hear(state: GatewayState, step: Step, attempt: Attempt): void {
  attempt.lastActivityAtMs = step.nowMs;
  const view = serverOf(state, attempt);
  if (view !== undefined) noteHeard(view, step.nowMs);
}
