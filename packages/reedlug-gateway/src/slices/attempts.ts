/**
 * Attempts: sends of a request, what servers say of them, and what follows.
 *
 * A request that a server may have run goes to another one only when it may be
 * repeated, within the route's number of attempts, its time and the budget.
 */
import { mayHaveRun, Reach } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { RouteKind } from '../types/configuration.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { log, type GatewayState, type Step } from '../state.js';
import { chooseServer, notePartsRead, type Choice } from '../policy/chooseServer.js';
import { noteFailure, noteSuccess } from '../policy/serverHealth.js';
import { noteHeard, noteSend } from '../policy/serverSilence.js';
import {
  closeAttempt,
  giveUp,
  isRepeatable,
  noteRead,
  noteUnread,
  reachWhenLost,
} from './ending.js';
import { takeRepeat } from './retryBudgets.js';
import { noteEnd, noteFirstEvent } from './engineModels.js';
import { removeServer } from './servers.js';
import { countBegun } from './usage.js';

/** Least time left for which a further send is worth its place, in ms: a short plain request's work. */
const MIN_SEND_MS = 30;
/** Sends of one request at most, refused ones too: beyond it the service is full. */
const MAX_SENDS = 3;

/** A request and one of its attempts. */
export interface Found {
  record: RequestRecord;
  attempt: Attempt;
}

function find(
  state: GatewayState,
  event: { exchangeId: number; attemptId: number },
): Found | undefined {
  const record = state.requests.get(event.exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === event.attemptId);
  if (record === undefined || attempt === undefined || !attempt.open) return undefined;
  return { record, attempt };
}

/** The best server for a request now; undefined when none may take it. */
export function chooseFor(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
): Choice | undefined {
  return chooseServer(state, {
    service: record.service,
    facts: record.facts,
    urgency: record.urgency,
    avoid: record.avoid,
    staysInZone: record.foundNoConnection,
    nowMs: step.nowMs,
  });
}

/** Sends a request to the best server, or gives it up. */
export function offer(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  choice = chooseFor(state, step, record),
): void {
  if (choice === undefined) return giveUp(state, step, record, 'noServer');
  send(state, step, record, choice);
}

function send(state: GatewayState, step: Step, record: RequestRecord, choice: Choice): void {
  const { view, prefillTokens, conditions, expectedMs } = choice;
  const attempt: Attempt = {
    attemptId: state.nextAttemptId,
    serverId: view.entry.id,
    sentAtMs: step.nowMs,
    reach: Reach.none,
    open: true,
    prefillTokens,
    urgency: record.urgency,
    conditions,
    expectedMs,
    heardAtMs: step.nowMs,
    begun: false,
  };
  state.nextAttemptId += 1;
  record.attempts.push(attempt);
  noteSend(view, step.nowMs);
  view.running += 1;
  noteUnread(view, attempt);
  if (record.attempts.length === 1) state.workTokens += prefillTokens;
  notePartsRead(view, record.facts, step.nowMs);
  const { exchangeId, route } = record;
  step.effects.push({
    type: 'send',
    exchangeId,
    attemptId: attempt.attemptId,
    streaming: route.kind === RouteKind.stream,
    order: {
      serverId: view.entry.id,
      address: view.entry.address,
      deadlineMs: Math.max(1, Math.floor(record.endsAtMs - step.nowMs)),
      urgency: route.kind === RouteKind.stream ? record.urgency : undefined,
      workspace: record.workspace,
      resumeAfterEventId: record.lastEventId,
      careful: !isRepeatable(record),
    },
  });
  log(step, 'requestSent', {
    request: record.facts.requestId,
    route: route.name,
    server: view.entry.id,
    attempt: record.attempts.length,
    costMs: Math.round(choice.costMs),
    expectedMs: Math.round(expectedMs),
    running: conditions.running,
    prefillTokens,
    configuration: state.active?.configuration.version ?? 0,
    servers: state.serversRevision,
  });
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
  found.record.foundNoConnection = true;
  tryAgain(state, step, found, event.reason);
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
      return tryAgain(state, step, found, `refused${event.status}`);
    case 'otherServer': {
      const view = closeAttempt(state, attempt, Reach.refused);
      if (view !== undefined) removeServer(state, step, view, 'addressReused');
      return tryAgain(state, step, found, 'otherServer');
    }
    case 'invalid': {
      const view = closeAttempt(state, attempt, Reach.maybe);
      if (view !== undefined) noteFailure(view, step.nowMs);
      step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
      return afterLoss(state, step, { record, attempt }, 'invalidAnswer');
    }
  }
}

function onSuccess(state: GatewayState, step: Step, found: Found): void {
  const { record, attempt } = found;
  if (!attempt.begun) noteFirstEvent(state, step, record, attempt);
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
function onFailure(state: GatewayState, step: Step, found: Found, status: number): void {
  const { record, attempt } = found;
  begin(state, step, found);
  const view = state.servers.get(attempt.serverId);
  if (view !== undefined && status >= 500) noteFailure(view, step.nowMs);
  if (status >= 500 && !record.relayed && mayRepeat(state, step, record)) {
    closeAttempt(state, attempt, Reach.answered);
    step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
    log(step, 'requestRepeated', { request: record.facts.requestId, reason: `status${status}` });
    record.avoid.add(attempt.serverId);
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
function begin(state: GatewayState, step: Step, found: Found): void {
  const { record, attempt } = found;
  if (!attempt.begun) {
    attempt.begun = true;
    const view = state.servers.get(attempt.serverId);
    if (view !== undefined) noteRead(view, attempt);
  }
  attempt.reach = Reach.answered;
  countBegun(state, step, record);
}

function finish(state: GatewayState, step: Step, found: Found, outcome: string): void {
  const { record, attempt } = found;
  const view = closeAttempt(state, attempt, Reach.answered);
  if (outcome === 'success') {
    noteEnd(state, step, record, attempt);
    if (view !== undefined) noteSuccess(view, step.nowMs);
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
  const { attempt } = found;
  const view = closeAttempt(state, attempt, reachWhenLost(attempt));
  if (view !== undefined) noteFailure(view, step.nowMs);
  afterLoss(state, step, found, event.reason);
}

function afterLoss(state: GatewayState, step: Step, found: Found, reason: string): void {
  const { record, attempt } = found;
  record.avoid.add(attempt.serverId);
  if (!mayRepeat(state, step, record)) return giveUp(state, step, record, reason);
  repeat(state, step, found, reason);
}

/** Sends a request to another server after its own was lost. */
export function repeat(state: GatewayState, step: Step, found: Found, reason: string): void {
  const { record, attempt } = found;
  log(step, record.relayed ? 'streamResumed' : 'requestRepeated', {
    request: record.facts.requestId,
    reason,
    lost: attempt.serverId,
    lastEvent: record.lastEventId ?? -1,
  });
  offer(state, step, record);
}

/** Whether a request that may have run may go to another server now; takes it from the budget. */
function mayRepeat(state: GatewayState, step: Step, record: RequestRecord): boolean {
  return mayRunAgain(record) && haveRoomForSend(state, step, record);
}

/** Whether its kind and its route allow one run more than it may have had. */
export function mayRunAgain(record: RequestRecord): boolean {
  if (!isRepeatable(record)) return false;
  const runs = record.attempts.filter(({ reach }) => mayHaveRun(reach)).length;
  return runs < record.route.maxAttempts;
}

/** Notes that something came of an attempt. */
function hear(state: GatewayState, step: Step, attempt: Attempt): void {
  attempt.heardAtMs = step.nowMs;
  const view = state.servers.get(attempt.serverId);
  if (view !== undefined) noteHeard(view, step.nowMs);
}

/** A send that did not run may be made again at another server. */
function tryAgain(state: GatewayState, step: Step, found: Found, reason: string): void {
  const { record, attempt } = found;
  record.avoid.add(attempt.serverId);
  const ranBefore = record.attempts.some((other) => mayHaveRun(other.reach));
  const allowed = ranBefore ? mayRepeat(state, step, record) : haveRoomForSend(state, step, record);
  if (!allowed) return giveUp(state, step, record, reason);
  log(step, 'requestSentElsewhere', {
    request: record.facts.requestId,
    reason,
    server: attempt.serverId,
  });
  offer(state, step, record);
}

/** Whether a further send is worth it and in the budget; takes it from there. */
export function haveRoomForSend(state: GatewayState, step: Step, record: RequestRecord): boolean {
  if (record.attempts.length >= MAX_SENDS) return false;
  if (record.endsAtMs - step.nowMs < MIN_SEND_MS) return false;
  return takeRepeat(state, record.service);
}
