/** Retries after an attempt without an answer, or the final outcome of the request. */
import { backoffMs, MemberState } from 'reedlug-coordination';
import { versionMatches } from '../policy/routing.js';
import { nextRandom, type BoxState, type Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { Reason, type RequestRecord } from '../types/request.js';
import { dispatchPool } from './dispatch.js';
import { enterQueue } from './queues.js';
import { giveUp } from './requests.js';
import { mayHaveReached, isUnsettled } from './requestRecords.js';
import { serverMember } from './serverMembers.js';
import { findAttempt, cancelAttempt, openAttempt } from './openAttempts.js';

/** Retry time in the answer to a request that failed at its servers, in ms. */
const FAILED_RETRY_MS = 500;

/** Retries a request that may be repeated or that reached no server; gives up any other. */
export function retryOrGiveUp(state: BoxState, step: Step, record: RequestRecord): void {
  const mayRepeat = record.spec.repeatable || !mayHaveReached(record);
  if (!mayRepeat && !state.mutations.has('retryNonRepeatable')) {
    giveUp(state, step, record, Reason.connectionLost);
    return;
  }
  if (step.nowMs >= record.spec.deadlineAtMs) {
    giveUp(state, step, record, Reason.deadline, FAILED_RETRY_MS);
    return;
  }
  if (!hasEngineForRest(state, record)) {
    giveUp(state, step, record, Reason.connectionLost);
    return;
  }
  requeue(state, step, record, causedByServerStop(state, record));
}

/** True unless an answer has begun and no engine of its model version is left to go on with it. */
function hasEngineForRest(state: BoxState, { spec, ledger }: RequestRecord): boolean {
  if (ledger.tokens.length === 0) return true;
  const pool = state.serversByPool.get(spec.pool) ?? [];
  return pool.some(
    (view) =>
      versionMatches(view, spec.version) &&
      serverMember(state, view.spec.id)?.state !== MemberState.dead,
  );
}

/** True if the server of the last attempt is draining or dead; such a retry is free of the budget. */
function causedByServerStop(state: BoxState, record: RequestRecord): boolean {
  const last = record.attempts.at(-1);
  const member = last === undefined ? undefined : serverMember(state, last.serverId);
  return member?.leavingSinceMs !== undefined || member?.state === MemberState.dead;
}

/** Puts a request back at the front of its queue; `skipsBudget` exempts it from the retry budget. */
export function requeue(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  skipsBudget: boolean,
): void {
  const { retryBaseMs, retryCapMs } = state.settings.policy;
  record.needsRetryBudget = !skipsBudget;
  const tries = Math.max(1, record.attempts.length);
  const random = nextRandom(state);
  const retriesAtOnce = skipsBudget && tries === 1;
  const delayMs = retriesAtOnce
    ? 0
    : backoffMs({ tries, baseMs: retryBaseMs, capMs: retryCapMs, random });
  const notBeforeMs = step.nowMs + delayMs;
  if (state.mutations.has('forgetRequeued')) {
    record.phase = { kind: 'running' };
    record.spec = { ...record.spec, deadlineAtMs: Number.POSITIVE_INFINITY };
    return;
  }
  enterQueue(state, record, { nowMs: step.nowMs, notBeforeMs, atFront: true });
  if (delayMs === 0) dispatchPool(state, step, record.spec.pool);
}

/** Fails the open attempts at a dead server as if each connection had been lost. */
export function failAttemptsAt(state: BoxState, step: Step, view: ServerView): void {
  for (const attemptId of [...view.openAttempts]) {
    const found = findAttempt(state, attemptId);
    if (found === undefined) continue;
    cancelAttempt(state, step, found.record, found.attempt);
    if (!isUnsettled(found.record)) continue;
    if (openAttempt(found.record) === undefined) retryOrGiveUp(state, step, found.record);
  }
}
