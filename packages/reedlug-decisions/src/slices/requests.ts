/** Records of requests: creation, phases and settlement. */
import { createAttemptLedger, Outcome, outcomeWhenGivenUp, Reach } from 'reedlug-coordination';
import {
  Reason,
  type RequestPhase,
  type RequestRecord,
  type RequestSpec,
} from '../types/request.js';
import type { RelayedAnswer } from '../types/peer.js';
import type { BoxState, Step } from '../state.js';
import { recordMoveAnswer } from '../plans/moveWatch.js';
import { workspaceView } from './limits.js';
import { queueOutcome } from './claimWrites.js';
import { leaveQueue } from './queues.js';

/** Maximum number of settled requests kept, whatever their age. */
const MAX_SETTLED_REQUESTS = 20_000;
/** Fixed cost of a request in addition to its tokens, in prompt tokens. */
const REQUEST_BASE_COST = 16;
/** Cost of a generated token, in prompt tokens. */
export const GENERATED_TOKEN_COST = 4;

/** Creates the record of an accepted request. */
export function createRecord(spec: RequestSpec, nowMs: number): RequestRecord {
  return {
    spec,
    arrivedAtMs: nowMs,
    phase: { kind: 'queued', sinceMs: nowMs, notBeforeMs: nowMs },
    attempts: [],
    ledger: createAttemptLedger(),
    deliveredCount: 0,
    claimHeld: false,
    claimVersion: 0,
    kvTicket: undefined,
    avoidedServers: new Set(),
    cachedTokens: 0,
    cost: REQUEST_BASE_COST + spec.promptTokens + spec.maxTokens * GENERATED_TOKEN_COST,
    waitedMs: undefined,
    firstTokenMs: undefined,
    needsRetryBudget: false,
    callerGoneAtMs: undefined,
    reconnectOffset: 0,
    handoverOffset: 0,
  };
}

/** Adds a record to the state and counts it for its workspace. */
export function addRecord(state: BoxState, record: RequestRecord): void {
  state.requests.set(record.spec.requestId, record);
  state.unsettled.add(record.spec.requestId);
  const view = workspaceView(state, record.spec.workspaceId);
  if (view !== undefined) view.inProgress += 1;
}

/** Returns the record of the request that an attempt belongs to. */
export function recordOfAttempt(state: BoxState, attemptId: string): RequestRecord | undefined {
  return state.requests.get(attemptId.slice(0, attemptId.lastIndexOf('.')));
}

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

/** True while the request has no outcome. */
export function isUnsettled(record: RequestRecord): boolean {
  return record.phase.kind !== 'settled';
}

/** Returns the phase of a request if it is of the given kind. */
export function phaseOf<K extends RequestPhase['kind']>(
  record: RequestRecord,
  kind: K,
): Extract<RequestPhase, { kind: K }> | undefined {
  const { phase } = record;
  return phase.kind === kind ? (phase as Extract<RequestPhase, { kind: K }>) : undefined;
}

/** True when an attempt of the request may have reached a server. */
export function mayHaveReached(record: RequestRecord): boolean {
  return record.attempts.some(
    (attempt) => attempt.reach === Reach.maybe || attempt.reach === Reach.answered,
  );
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
