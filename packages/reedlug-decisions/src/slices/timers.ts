/** Timers of requests: deadlines, stalled streams, second attempts and disconnected callers. */
import { takeRetry } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { Reason, type Attempt, type RequestRecord } from '../types/request.js';
import { RequestClass } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import { chooseServer } from '../policy/routing.js';
import { shortestRunMs } from './admission.js';
import { cancelAll, cancelAttempt, isStream, openAttempt } from './openAttempts.js';
import { retryOrGiveUp } from './retries.js';
import { dispatchPool, sendAttempt } from './dispatch.js';
import { followTick } from './following.js';
import { giveUp } from './requests.js';
import { isUnsettled } from './requestRecords.js';
import { handoverTick } from './handover.js';
import { movingTick } from './reclaim.js';
import { claimingTick } from './claimWrites.js';

/** Retry time in the answer to a request whose deadline has passed, in ms. */
const DEADLINE_RETRY_MS = 500;

/** Checks the timers of every unsettled request, then dispatches from the queues. */
export function requestsTick(state: BoxState, step: Step): void {
  for (const requestId of [...state.unsettled]) {
    const record = state.requests.get(requestId);
    if (record !== undefined) requestTick(state, step, record);
  }
  for (const pool of state.pools.keys()) dispatchPool(state, step, pool);
}

function requestTick(state: BoxState, step: Step, record: RequestRecord): void {
  if (giveUpIfCallerGone(state, step, record)) return;
  switch (record.phase.kind) {
    case 'claiming':
      claimingTick(state, step, record, record.phase.sinceMs);
      return;
    case 'queued':
      queuedTick(state, step, record);
      return;
    case 'running':
      runningTick(state, step, record);
      return;
    case 'moving':
      movingTick(state, step, record, record.phase);
      return;
    case 'following':
      followTick(state, step, record, record.phase);
      return;
    case 'handing':
      handoverTick(state, step, record, record.phase);
      return;
    case 'settled':
      return;
  }
}

/** Gives up a request whose caller has not reconnected; one that holds a claim continues. */
function giveUpIfCallerGone(state: BoxState, step: Step, record: RequestRecord): boolean {
  const { callerGoneAtMs } = record;
  if (callerGoneAtMs === undefined || record.claimHeld) return false;
  if (step.nowMs - callerGoneAtMs < state.settings.control.reconnectGraceMs) return false;
  cancelAll(state, step, record);
  giveUp(state, step, record, Reason.callerGone);
  return true;
}

/** Gives up a queued request as soon as it can no longer be answered by its deadline. */
function queuedTick(state: BoxState, step: Step, record: RequestRecord): void {
  const latestStartMs = record.spec.deadlineAtMs - shortestRunMs(state, record.spec);
  if (step.nowMs < latestStartMs) return;
  giveUp(state, step, record, Reason.deadline, DEADLINE_RETRY_MS);
}

function runningTick(state: BoxState, step: Step, record: RequestRecord): void {
  if (step.nowMs >= record.spec.deadlineAtMs) {
    cancelAll(state, step, record);
    giveUp(state, step, record, Reason.deadline, DEADLINE_RETRY_MS);
    return;
  }
  const attempt = openAttempt(record);
  if (attempt === undefined) return;
  if (isStream(record)) stallTick(state, step, record, attempt);
  else secondTryTick(state, step, record, attempt);
}

/** Retries or gives up a stream that has made no progress for too long. */
function stallTick(state: BoxState, step: Step, record: RequestRecord, attempt: Attempt): void {
  const { control } = state.settings;
  const limitMs =
    attempt.firstTokenAtMs === undefined ? control.firstTokenTimeoutMs : control.stallMs;
  if (step.nowMs - attempt.progressAtMs < limitMs) return;
  cancelAttempt(state, step, record, attempt);
  record.avoidedServers.add(attempt.serverId);
  retryOrGiveUp(state, step, record);
}

/** Sends an urgent repeatable request without an answer to a second server as well. */
function secondTryTick(state: BoxState, step: Step, record: RequestRecord, attempt: Attempt): void {
  const { spec } = record;
  if (!spec.repeatable || spec.requestClass !== RequestClass.urgent) return;
  if (record.attempts.length !== 1) return;
  if (step.nowMs - attempt.sentAtMs < state.settings.policy.secondTryAfterMs) return;
  record.avoidedServers.add(attempt.serverId);
  const view = chooseServer(state, record, step.nowMs);
  if (view === undefined || view.spec.id === attempt.serverId) return;
  if (takeRetry(state.retryBudget)) sendAttempt(state, step, record, view);
}

/** Records that the caller of a request has disconnected. */
export function onCallerGone(state: BoxState, step: Step, event: EventOf<'callerGone'>): void {
  const record = state.requests.get(event.requestId);
  if (record === undefined || !isUnsettled(record)) return;
  record.callerGoneAtMs = step.nowMs;
}
