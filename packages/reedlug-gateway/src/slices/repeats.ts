/**
 * Further sends of a request.
 *
 * A request that a server may have run goes to another one only when it may be
 * repeated, within the route's number of attempts, its time and the budget.
 */
import { mayHaveRun } from 'reedlug-coordination';
import { CRASHES_TO_KEEP_OUT } from '../policy/crashVerdict.js';
import type { Choice } from '../policy/chooseServer.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { CRASHES_SERVERS_REASON, suspectOf } from './crashSuspects.js';
import { giveUp, isRepeatable } from './ending.js';
import { takeRepeat } from './retryBudgets.js';
import { sendAgain } from './waitingSends.js';

/** Least time left for which a further send is worth its place, in ms: a short plain request's work. */
const MIN_SEND_MS = 30;
/** Sends of one request at most, refused ones too: beyond it the service is full. */
const MAX_SENDS = 3;

/** A request and one of its attempts. */
export interface RequestAttempt {
  record: RequestRecord;
  attempt: Attempt;
}

/** After a loss the request goes on elsewhere where it may, or ends. */
export function afterLoss(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  reason: string,
): void {
  found.record.excludedServers.add(found.attempt.serverId);
  goOn(state, step, found, reason);
}

/** After the end of a server's life the request may go on at its next one, too. */
export function afterLife(state: GatewayState, step: Step, found: RequestAttempt): void {
  found.record.excludedServers.delete(found.attempt.serverId);
  goOn(state, step, found, 'serverBorn');
}

function goOn(state: GatewayState, step: Step, found: RequestAttempt, reason: string): void {
  const { record } = found;
  if (!mayBeTriedAgain(state, record)) return giveUp(state, step, record, CRASHES_SERVERS_REASON);
  if (!mayRepeat(state, step, record)) return giveUp(state, step, record, reason);
  repeat(state, step, found, reason);
}

/**
 * Whether a lost send is followed by another one of this box. Of a request under which a
 * server crashed before, the loss may be the next crash: its caller may come again, and
 * is then sent by a box that knows.
 */
function mayBeTriedAgain(state: GatewayState, record: RequestRecord): boolean {
  const crashes = suspectOf(state, record)?.crashes.length ?? 0;
  return crashes + 1 < CRASHES_TO_KEEP_OUT;
}

/** Sends a request to another server after its own was lost, to the one chosen where that is done. */
export function repeat(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  reason: string,
  choice?: Choice,
): void {
  const { record, attempt } = found;
  log(step, record.relayed ? 'streamResumed' : 'requestRepeated', {
    request: record.facts.requestId,
    reason,
    lost: attempt.serverId,
    lastEvent: record.lastEventId ?? -1,
  });
  sendAgain(state, step, record, choice);
}

/** Whether a request that may have run may go to another server now; takes it from the budget. */
export function mayRepeat(state: GatewayState, step: Step, record: RequestRecord): boolean {
  return mayRunAgain(record) && haveRoomForSend(state, step, record);
}

/** Whether its kind and its route allow one run more than it may have had. */
export function mayRunAgain(record: RequestRecord): boolean {
  if (!isRepeatable(record)) return false;
  const runs = record.attempts.filter(({ reach }) => mayHaveRun(reach)).length;
  return runs < record.route.maxAttempts;
}

/** A send that did not run may be made again at another server. */
export function tryAgain(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  reason: string,
): void {
  const { record, attempt } = found;
  record.excludedServers.add(attempt.serverId);
  const ranBefore = record.attempts.some((other) => mayHaveRun(other.reach));
  const allowed = ranBefore ? mayRepeat(state, step, record) : haveRoomForSend(state, step, record);
  if (!allowed) return giveUp(state, step, record, reason);
  log(step, 'requestSentElsewhere', {
    request: record.facts.requestId,
    reason,
    server: attempt.serverId,
  });
  sendAgain(state, step, record);
}

/** Whether a further send is worth it and in the budget; takes it from there. */
export function haveRoomForSend(state: GatewayState, step: Step, record: RequestRecord): boolean {
  if (record.attempts.length >= MAX_SENDS) return false;
  if (record.deadlineAtMs - step.nowMs < MIN_SEND_MS) return false;
  return takeRepeat(state, record.service);
}
