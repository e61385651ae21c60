/**
 * Further sends of a request after one that failed.
 *
 * A request that a server may have run is sent to another one only if it may be
 * repeated, and within the route's number of attempts, the deadline and the retry budget.
 */
import { mayHaveRun } from 'reedlug-coordination';
import { crashesToBlock } from '../../policy/crashVerdict.js';
import type { Choice } from '../../policy/chooseServer.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { CRASHES_SERVERS_REASON } from '../crashes/crashSuspects.js';
import { unexplainedCrashes } from '../crashes/suspectRivals.js';
import { suspectsOf } from '../crashes/suspectTable.js';
import { isTooLateToRepeat } from '../lifecycle/shutdown.js';
import { giveUp, isRepeatable } from './requestCompletion.js';
import { takeRepeat } from './retryBudgets.js';
import { sendAgain } from '../limits/waitingSends.js';
import type { RequestAttempt, RequestRecord } from '../../types/request.js';

/** Minimum time left for a further send, in ms: a short plain request takes about as long. */
const MIN_TIME_LEFT_MS = 30;
/** Maximum number of sends of one request, including refused ones: after that many the service counts as full. */
const MAX_SENDS = 3;

/** Sends a request whose attempt was lost to another server, or gives it up. */
export function retryAfterLoss(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  reason: string,
): void {
  found.record.excludedServers.add(found.attempt.serverId);
  retryOrGiveUp(state, step, found, reason);
}

/** Sends a request again whose server has restarted; the new incarnation may serve it too. */
export function retryAfterRestart(state: GatewayState, step: Step, found: RequestAttempt): void {
  found.record.excludedServers.delete(found.attempt.serverId);
  retryOrGiveUp(state, step, found, 'serverBorn');
}

function retryOrGiveUp(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  reason: string,
): void {
  const { record } = found;
  if (!isBelowCrashLimit(state, record)) return giveUp(state, step, record, CRASHES_SERVERS_REASON);
  if (!reserveRerun(state, step, record)) return giveUp(state, step, record, reason);
  retry(state, step, found, reason);
}

/**
 * Whether this box may send a request again after a loss. If a server has crashed under the
 * request before, the loss may be another crash: the caller may retry, and by then the boxes
 * know whether it was.
 */
function isBelowCrashLimit(state: GatewayState, record: RequestRecord): boolean {
  return suspectsOf(state, record).every(
    (suspect) =>
      suspect.blockedSinceMs === undefined &&
      unexplainedCrashes(state, suspect).length + 1 < crashesToBlock(suspect),
  );
}

/** Sends a request again after its attempt was lost, to the given choice if there is one. */
export function retry(
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
    lostVersion: attempt.version ?? '',
    lastEvent: record.lastEventId ?? -1,
  });
  sendAgain(state, step, record, choice);
}

/** Whether a request that may have run may be sent to another server now; charges the retry budget. */
export function reserveRerun(state: GatewayState, step: Step, record: RequestRecord): boolean {
  return mayRunAgain(record) && reserveRetry(state, step, record);
}

/** Whether the route of a request allows one more run than it may have had. */
export function mayRunAgain(record: RequestRecord): boolean {
  if (!isRepeatable(record)) return false;
  const runs = record.attempts.filter(({ reach }) => mayHaveRun(reach)).length;
  return runs < record.route.maxAttempts;
}

/** Sends a request that a server did not run to another one, or gives it up. */
export function retryNotRun(
  state: GatewayState,
  step: Step,
  found: RequestAttempt,
  reason: string,
): void {
  const { record, attempt } = found;
  record.excludedServers.add(attempt.serverId);
  const ranBefore = record.attempts.some((other) => mayHaveRun(other.reach));
  const allowed = ranBefore ? reserveRerun(state, step, record) : reserveRetry(state, step, record);
  if (!allowed) return giveUp(state, step, record, reason);
  log(step, 'requestSentElsewhere', {
    request: record.facts.requestId,
    reason,
    server: attempt.serverId,
  });
  sendAgain(state, step, record);
}

/** Whether a further send is within the limits of sends, time and retry budget; charges the budget. */
export function reserveRetry(state: GatewayState, step: Step, record: RequestRecord): boolean {
  if (record.attempts.length >= MAX_SENDS) return false;
  if (record.deadlineAtMs - step.nowMs < MIN_TIME_LEFT_MS) return false;
  if (isTooLateToRepeat(state, step.nowMs, record)) return false;
  return takeRepeat(state, record.service);
}
