/** Events of attempts (one attempt is one send of a request to a server): answers, losses, completion. */
import { Reach } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import { RouteKind } from '../../types/configuration.js';
import { CONNECTION_REFUSED_REASON } from '../../types/serverLink.js';
import { INTERNAL_FAULT_REASON, type Attempt, type RequestFacts } from '../../types/request.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { isServerAtFault } from '../../policy/connectPlan.js';
import { recordFailure, recordGone, recordSuccess } from '../../policy/serverHealth.js';
import { removeUnreadPrompt } from '../../policy/serverLoad.js';
import { recordActivity } from '../../policy/serverSilence.js';
import { closeAttempt, giveUp, reachWhenLost, serverOf } from './requestCompletion.js';
import { takenUpField } from './takenUpField.js';
import { isPastCrashPoint, recordGoodRun } from '../crashes/crashSuspects.js';
import { recordSuccessfulEnd, recordFirstEvent } from '../engines/engineModels.js';
import { recordLoss, recordRefusedConnection, recordUncertainEnd } from '../crashes/lostServers.js';
import { recordRejection, releaseSparePlace } from '../statements/brittleServices.js';
import { recordServedProbe } from '../statements/pauses.js';
import { applyAnswerStatements, applyRefusal } from '../statements/answerStatements.js';
import { retryAfterLoss, reserveRerun, retryNotRun, type RequestAttempt } from './retries.js';
import { AnswerEnd, recordAnswer, recordLostAnswer } from '../rollouts/rolloutEvidence.js';
import { removeServer } from '../servers/servers.js';
import { countStarted } from '../usage/usage.js';
import { chargeFurtherSend } from '../limits/quotas.js';
import { hasSeveralVersions, softwareVersionOf } from '../streamVersions/servedVersions.js';
import { recordBeginForRow } from '../streamVersions/intendedStarts.js';
import { announceStart } from '../streamVersions/startGossip.js';
import { recordOwnStart } from '../streamVersions/streamStarts.js';
import { sendOrGiveUp } from './sending.js';

/** Interval at which a long run counts as good again, in ms: it clears suspects of crashes meanwhile. */
const GOOD_RUN_INTERVAL_MS = 250;
/** Longest list of prompt parts in a log line, in characters: a prompt may name hundreds of them. */
const MAX_LOGGED_PARTS_CHARACTERS = 1024;

function findOpenAttempt(
  state: GatewayState,
  event: { exchangeId: number; attemptId: number },
): RequestAttempt | undefined {
  const record = state.requests.get(event.exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === event.attemptId);
  if (record === undefined || attempt === undefined || !attempt.open) return undefined;
  return { record, attempt };
}

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
      return onSuccess(state, step, found);
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

function onSuccess(state: GatewayState, step: Step, found: RequestAttempt): void {
  const { record, attempt } = found;
  if (attempt.firstOutputAtMs === undefined) {
    recordFirstEvent(state, step, record, attempt);
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
  });
  record.relayed = true;
  if (isStream) return;
  finishRequest(state, step, found, 'success');
}

/** Binds a stream to the version of its first event's server, and tells other boxes before the event is relayed. */
function recordVersionOfStream(
  state: GatewayState,
  step: Step,
  { record, attempt }: RequestAttempt,
): void {
  if (record.relayed) return;
  if (record.beganAtVersion === undefined) {
    record.beganAtVersion = softwareVersionOf(attempt);
    record.isBeginUncertain = !attempt.isAtKnownLife && hasSeveralVersions(state, record.service);
  }
  if (!record.route.resumable) return;
  const version = record.isBeginUncertain ? undefined : record.beganAtVersion;
  const start = recordOwnStart(state, step, record, version);
  if (start === undefined) return;
  announceStart(state, step, start);
  recordBeginForRow(state, start);
}

/** Logs the versions of two servers whose events are joined in one answer. */
function logContinuation(step: Step, { record, attempt }: RequestAttempt): void {
  const isEarlier = (other: Attempt): boolean =>
    other !== attempt && other.firstOutputAtMs !== undefined;
  const before = record.relayed ? record.attempts.filter(isEarlier).at(-1) : undefined;
  if (before === undefined) return;
  log(step, 'streamContinued', {
    request: record.facts.requestId,
    server: attempt.serverId,
    version: attempt.version ?? '',
    earlierServer: before.serverId,
    earlierVersion: before.version ?? '',
    lastEvent: record.lastEventId ?? -1,
  });
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

/** Returns whether the end of an answer may be that of its server. */
function mayHaveBeenCut(attempt: Attempt, nowMs: number): boolean {
  return attempt.endsWithConnection === true && !isPastCrashPoint(attempt, nowMs);
}

/** Records the last event of a stream that the caller has received. */
export function onEventsRelayed(
  state: GatewayState,
  step: Step,
  event: EventOf<'eventsRelayed'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  recordAttemptActivity(state, step, found.attempt);
  recordRunPastCrashPoint(state, step, found);
  if (event.lastEventId !== undefined) found.record.lastEventId = event.lastEventId;
}

/** Records a good run once a run is past the crash point, and again at intervals. */
function recordRunPastCrashPoint(
  state: GatewayState,
  step: Step,
  { record, attempt }: RequestAttempt,
): void {
  if (attempt.goodRunAtMs !== undefined && state.crashSuspects.size === 0) return;
  const sinceMs = step.nowMs - (attempt.goodRunAtMs ?? Number.NEGATIVE_INFINITY);
  if (sinceMs < GOOD_RUN_INTERVAL_MS || !isPastCrashPoint(attempt, step.nowMs)) return;
  attempt.goodRunAtMs = step.nowMs;
  recordGoodRun(state, step, record);
}

/** The server of a stream is not read for now, or is read again. */
export function onAttemptHeld(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptHeld'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  found.attempt.isHeld = event.isHeld;
  recordAttemptActivity(state, step, found.attempt);
  const { requestId } = found.record.facts;
  log(step, 'streamHeld', { request: requestId, isHeld: event.isHeld });
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

/** Records that data arrived for an attempt, and so from its server. */
function recordAttemptActivity(state: GatewayState, step: Step, attempt: Attempt): void {
  attempt.lastActivityAtMs = step.nowMs;
  const view = serverOf(state, attempt);
  if (view === undefined) return;
  view.receivedAtMs = step.nowMs;
  recordActivity(view, step.nowMs);
}
