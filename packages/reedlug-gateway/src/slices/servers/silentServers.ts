/** Detects attempts whose server has gone silent, and sends requests that may be repeated to another one. */
import { isOnHangingLink } from '../../policy/connectPlan.js';
import { lostAfterMs, recordActivity, silenceMs } from '../../policy/serverSilence.js';
import type { GatewayState, Step } from '../../state.js';
import { runPart } from '../../stepFaults.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import { RouteKind } from '../../types/configuration.js';
import { longestAnswerMs } from '../requests/answerTimes.js';
import { recordLoss } from '../crashes/lostServers.js';
import { reserveRetry, mayRunAgain, retry } from '../requests/retries.js';
import { recordAbandonedAnswer } from '../rollouts/rolloutEvidence.js';
import { closeAttempt, reachWhenLost, serverOf } from '../requests/requestCompletion.js';
import { chooseServerFor } from '../requests/sending.js';

/** Silence after which an attempt on a link of this box that hangs is lost, in ms. */
const HANGING_SILENCE_MS = 250;

/** An attempt is not lost before it has taken this many times as long as the longest of its route's recent answers. */
const SLOW_ROUTE_FACTOR = 1.5;

/** Moves requests with a lost attempt to another server where they may run again. */
export function silentServersTick(state: GatewayState, step: Step): void {
  for (const record of state.requests.values()) {
    runPart(step, () => checkSilence(state, step, record), record.exchangeId);
  }
}

function checkSilence(state: GatewayState, step: Step, record: RequestRecord): void {
  const attempt = record.attempts.at(-1);
  if (attempt?.open !== true) return;
  if (attempt.isHeld === true) recordHeld(state, step, attempt);
  else if (isLost(state, step, record, attempt)) moveToOtherServer(state, step, record, attempt);
}

/** A server that is not read is not silent. */
function recordHeld(state: GatewayState, step: Step, attempt: Attempt): void {
  attempt.lastActivityAtMs = step.nowMs;
  const view = serverOf(state, attempt);
  if (view !== undefined) recordActivity(view, step.nowMs);
}

/** Whether both the attempt and its server have been silent for too long. */
function isLost(state: GatewayState, step: Step, record: RequestRecord, attempt: Attempt): boolean {
  const expectedSilenceMs =
    attempt.firstOutputAtMs !== undefined ? (record.route.gapTargetMs ?? 0) : attempt.expectedMs;
  const isHanging = isOnHangingLink(state.serverLinks, attempt);
  const lostMs = isHanging
    ? HANGING_SILENCE_MS
    : Math.max(lostAfterMs(expectedSilenceMs), slowRouteMs(state, step, record));
  if (step.nowMs - attempt.lastActivityAtMs < lostMs) return false;
  const view = serverOf(state, attempt);
  return view === undefined || silenceMs(view, step.nowMs) >= lostMs;
}

/** Returns the silence that is usual on a route of plain requests that take long, in ms. */
function slowRouteMs(state: GatewayState, { nowMs }: Step, { route }: RequestRecord): number {
  if (route.kind === RouteKind.stream) return 0;
  return SLOW_ROUTE_FACTOR * (longestAnswerMs(state, route.name, nowMs) ?? 0);
}

/** Sends the request to another server if it may run there; otherwise it stays until its deadline. */
function moveToOtherServer(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  const reach = reachWhenLost(attempt);
  attempt.reach = reach;
  if (!mayRunAgain(record)) return;
  const excludedServers = new Set([...record.excludedServers, attempt.serverId]);
  const choice = chooseServerFor(state, step, record, excludedServers);
  if (choice === undefined || !reserveRetry(state, step, record)) return;
  record.excludedServers.add(attempt.serverId);
  recordAbandonedAnswer(state, step, record);
  const isHanging = isOnHangingLink(state.serverLinks, attempt);
  const view = closeAttempt(state, attempt, reach);
  // A link of this box that hangs says nothing of the server.
  if (!isHanging) recordLoss(state, step, { record, attempt, view });
  step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
  retry(state, step, { record, attempt }, 'serverSilent', choice);
}
