/** Dispatch: sends queued requests to servers while they have spare capacity. */
import { Reach, startAttempt, takeFair, takeRetry, type FairQueue } from 'reedlug-coordination';
import type { Attempt, RequestRecord } from '../types/request.js';
import { ServerKind } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import type { PoolQueues, ServerView } from '../types/views.js';
import { chooseServer } from '../policy/routing.js';
import { recordFirstTry } from 'reedlug-coordination';
import { queuesOf, enterQueue } from './queues.js';
import { serverMember } from './serverMembers.js';

/** Puts an accepted request into its queue and dispatches from the queue. */
export function admit(state: BoxState, step: Step, record: RequestRecord): void {
  const { nowMs } = step;
  enterQueue(state, record, { nowMs, notBeforeMs: nowMs, atFront: false });
  dispatchPool(state, step, record.spec.pool);
}

/** Sends requests of a pool until its queues are empty or no server has spare capacity. */
export function dispatchPool(state: BoxState, step: Step, pool: string): void {
  const queues = queuesOf(state, pool);
  while (queues.urgent.size + queues.patient.size > 0) {
    if (!dispatchNext(state, step, queues)) return;
  }
}

/** Dispatches urgent requests first, but a waiting patient one after a number of urgent ones. */
function dispatchNext(state: BoxState, step: Step, queues: PoolQueues): boolean {
  const isPatientTurn =
    queues.patient.size > 0 && queues.urgentStreak >= state.settings.policy.patientFloorEvery;
  if (isPatientTurn && dispatchFrom(state, step, queues.patient)) {
    queues.urgentStreak = 0;
    return true;
  }
  if (dispatchFrom(state, step, queues.urgent)) {
    queues.urgentStreak += 1;
    return true;
  }
  if (!dispatchFrom(state, step, queues.patient)) return false;
  queues.urgentStreak = 0;
  return true;
}

function dispatchFrom(state: BoxState, step: Step, queue: FairQueue): boolean {
  let chosen: ServerView | undefined;
  const entry = takeFair(queue, (candidate) => {
    const record = state.requests.get(candidate.id);
    if (record === undefined || !mayDispatch(state, record, step.nowMs)) return false;
    chosen = chooseServer(state, record, step.nowMs);
    return chosen !== undefined;
  });
  const record = entry === undefined ? undefined : state.requests.get(entry.id);
  if (record === undefined || chosen === undefined) return false;
  queuesOf(state, record.spec.pool).dispatchedCost += record.cost;
  sendAttempt(state, step, record, chosen);
  return true;
}

/** True unless a retry still has to wait for its back-off or for the retry budget. */
function mayDispatch(state: BoxState, record: RequestRecord, nowMs: number): boolean {
  if (record.phase.kind !== 'queued' || nowMs < record.phase.notBeforeMs) return false;
  if (!record.needsRetryBudget) return true;
  if (!takeRetry(state.retryBudget)) return false;
  record.needsRetryBudget = false;
  return true;
}

/** Opens an attempt at a server and sends it. */
export function sendAttempt(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  view: ServerView,
): void {
  const { spec } = record;
  const attempt = newAttempt(state, record, view, step.nowMs);
  if (record.attempts.length === 0) {
    recordFirstTry(state.retryBudget);
    record.waitedMs = step.nowMs - record.arrivedAtMs;
  }
  record.attempts.push(attempt);
  record.phase = { kind: 'running' };
  view.openAttempts.add(attempt.attemptId);
  view.pendingPrefillTokens += spec.promptTokens;
  const resumeOffset = startAttempt(record.ledger, attempt.attemptId);
  const { kvTicket } = record;
  record.kvTicket = undefined;
  const timeoutMs = timeoutOf(state, record);
  step.effects.push({
    type: 'sendAttempt',
    attemptId: attempt.attemptId,
    requestId: spec.requestId,
    serverId: view.spec.id,
    resumeOffset,
    kvTicket,
    timeoutMs,
  });
}

function newAttempt(
  state: BoxState,
  record: RequestRecord,
  view: ServerView,
  nowMs: number,
): Attempt {
  return {
    attemptId: `${record.spec.requestId}.${record.attempts.length + 1}`,
    serverId: view.spec.id,
    incarnation: serverMember(state, view.spec.id)?.incarnation ?? 0,
    sentAtMs: nowMs,
    progressAtMs: nowMs,
    firstTokenAtMs: undefined,
    reach: Reach.maybe,
    open: true,
  };
}

function timeoutOf(state: BoxState, record: RequestRecord): number {
  const { control } = state.settings;
  const leftMs = Math.max(0, record.spec.deadlineAtMs - state.nowMs);
  if (record.spec.kind === ServerKind.service) return Math.min(leftMs, control.serviceTimeoutMs);
  return leftMs;
}
