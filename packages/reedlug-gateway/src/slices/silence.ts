/** Requests whose server has gone silent: what may be repeated is sent to another one. */
import { lostAfterMs, silenceMs } from '../policy/serverSilence.js';
import type { GatewayState, Step } from '../state.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { noteLoss } from './lostServers.js';
import { haveRoomForSend, mayRunAgain, repeat } from './repeats.js';
import { recordAbandonedAnswer } from './rolloutEvidence.js';
import { closeAttempt, reachWhenLost, serverOf } from './ending.js';
import { chooseFor } from './sending.js';

/** Looks for attempts that are lost. */
export function silenceTick(state: GatewayState, step: Step): void {
  for (const record of state.requests.values()) {
    const attempt = record.attempts.at(-1);
    if (attempt?.open === true && isLost(state, step, record, attempt)) {
      moveOn(state, step, record, attempt);
    }
  }
}

/** Whether neither the attempt nor its server has been heard for long. */
function isLost(state: GatewayState, step: Step, record: RequestRecord, attempt: Attempt): boolean {
  const usualMs =
    attempt.firstOutputAtMs !== undefined ? (record.route.gapTargetMs ?? 0) : attempt.expectedMs;
  const lostMs = lostAfterMs(usualMs);
  if (step.nowMs - attempt.lastActivityAtMs < lostMs) return false;
  const view = serverOf(state, attempt);
  return view === undefined || silenceMs(view, step.nowMs) >= lostMs;
}

/** Leaves the server if the request may go on elsewhere; otherwise it stays until its time is up. */
function moveOn(state: GatewayState, step: Step, record: RequestRecord, attempt: Attempt): void {
  const reach = reachWhenLost(attempt);
  attempt.reach = reach;
  if (!mayRunAgain(record)) return;
  const avoid = new Set([...record.excludedServers, attempt.serverId]);
  const choice = chooseFor(state, step, record, avoid);
  if (choice === undefined || !haveRoomForSend(state, step, record)) return;
  record.excludedServers.add(attempt.serverId);
  recordAbandonedAnswer(state, step, record);
  const view = closeAttempt(state, attempt, reach);
  noteLoss(state, step, { record, attempt, view });
  step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
  repeat(state, step, { record, attempt }, 'serverSilent', choice);
}
