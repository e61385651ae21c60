/** Settlement of requests, and the removal of their records. */
import { Outcome, outcomeWhenGivenUp } from 'reedlug-coordination';
import { Reason, type RequestRecord, type RequestSpec } from '../types/request.js';
import type { RelayedAnswer } from '../types/peer.js';
import type { BoxState, Step } from '../state.js';
import { recordMoveAnswer } from '../plans/moveWatch.js';
import { workspaceView } from './limits.js';
import { queueOutcome } from './claimOutcomes.js';
import { leaveQueue } from './queues.js';
import { phaseOf } from './requestRecords.js';

/** Maximum number of settled requests kept, whatever their age. */
const MAX_SETTLED_REQUESTS = 20_000;

/** Settles a request without an answer; its outcome depends on what its attempts may have done. */
export function giveUp(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  reason: Reason,
  retryAfterMs?: number,
): void {
  const outcome = outcomeWhenGivenUp({
    reaches: record.attempts.map((attempt) => attempt.reach),
    repeatable: record.spec.repeatable,
  });
  const reported = state.mutations.has('callLossNotRun') ? Outcome.notRun : outcome;
  settle(state, step, record, { outcome: reported, reason, retryAfterMs });
}

/** The result with which a request is settled. */
export interface Settlement {
  outcome: Outcome;
  reason: Reason;
  retryAfterMs?: number | undefined;
  attemptId?: string | undefined;
  status?: number | undefined;
  answer?: RelayedAnswer | undefined;
}

/** Sets the only outcome of a request and reports it to the caller. */
export function settle(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  settlement: Settlement,
): void {
  const { spec, ledger } = record;
  const { outcome, reason, status } = settlement;
  const sourceRequestId = phaseOf(record, 'following')?.sourceRequestId;
  leaveQueue(state, record);
  record.phase = { kind: 'settled', outcome, reason, status, atMs: step.nowMs };
  state.unsettled.delete(spec.requestId);
  state.settledOrder.push(spec.requestId);
  recordMoveAnswer(state, record, outcome);
  const view = workspaceView(state, spec.workspaceId);
  if (view !== undefined) view.inProgress -= 1;
  if (record.claimHeld) queueOutcome(state, step, record);
  step.effects.push({
    type: 'finishRequest',
    requestId: spec.requestId,
    outcome,
    reason,
    retryAfterMs: settlement.retryAfterMs,
    attemptId: settlement.attemptId,
    status,
    promptTokens: spec.promptTokens,
    completionTokens: ledger.tokens.length,
    cachedTokens: record.cachedTokens,
    times: {
      waitedMs: record.waitedMs,
      firstTokenMs: record.firstTokenMs,
      wholeMs: step.nowMs - record.arrivedAtMs,
    },
    sourceRequestId,
    answer: settlement.answer,
  });
  const last = step.effects.at(-1);
  if (state.mutations.has('settleTwice') && last !== undefined) step.effects.push(last);
}

/** Refuses a request before it is accepted; no record is kept. */
export function refuse(
  step: Step,
  spec: RequestSpec,
  reason: Reason,
  retryAfterMs: number | undefined,
): void {
  step.effects.push({
    type: 'finishRequest',
    requestId: spec.requestId,
    outcome: Outcome.notRun,
    reason,
    retryAfterMs,
    attemptId: undefined,
    status: undefined,
    promptTokens: spec.promptTokens,
    completionTokens: 0,
    cachedTokens: 0,
    times: { waitedMs: undefined, firstTokenMs: undefined, wholeMs: 0 },
    sourceRequestId: undefined,
    answer: undefined,
  });
}

/** Deletes the records of settled requests past their retention, oldest first. */
export function forgetSettled(state: BoxState, step: Step): void {
  const { retentionMs } = state.settings.control;
  let forgotten = 0;
  for (const requestId of state.settledOrder) {
    const record = state.requests.get(requestId);
    const settledAtMs = record === undefined ? 0 : (phaseOf(record, 'settled')?.atMs ?? 0);
    const overLimit = state.settledOrder.length - forgotten > MAX_SETTLED_REQUESTS;
    if (!overLimit && step.nowMs - settledAtMs < retentionMs) break;
    state.requests.delete(requestId);
    step.effects.push({ type: 'forgetRequest', requestId });
    forgotten += 1;
  }
  if (forgotten > 0) state.settledOrder.splice(0, forgotten);
}
