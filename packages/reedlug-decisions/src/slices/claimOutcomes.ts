/** Outcomes of claimed requests, written to the rows of their claims. */
import {
  claimRowKey,
  Outcome,
  type ClaimValue,
  type TableAnswer,
  type TableWrite,
} from 'reedlug-coordination';
import type { RequestRecord } from '../types/request.js';
import type { BoxState, Step } from '../state.js';
import { nextId } from '../state.js';
import { log } from './log.js';
import { phaseOf } from './requestRecords.js';

/** Delay before outcomes are written again after a failure, in ms. */
const OUTCOME_RETRY_MS = 1000;
/** Maximum number of outcomes written in one operation. */
const OUTCOME_GROUP_SIZE = 25;

/** Returns the key of the row of a request's claim. */
export function claimKey(record: RequestRecord): string {
  return claimRowKey(record.spec.workspaceId, record.spec.idempotencyKey ?? '');
}

/** Returns the row of a request's claim. */
export function claimValue(
  state: BoxState,
  record: RequestRecord,
  outcome: Outcome | undefined,
  operationId: string,
): ClaimValue {
  return {
    digest: record.spec.digest,
    holderId: state.settings.boxId,
    incarnation: state.settings.incarnation,
    operationId,
    requestId: record.spec.requestId,
    outcome,
    status: phaseOf(record, 'settled')?.status,
  };
}

/** Queues the outcome of a claimed request to be written to the table. */
export function queueOutcome(state: BoxState, step: Step, record: RequestRecord): void {
  state.pendingOutcomes.push(record.spec.requestId);
  sendOutcomes(state, step);
}

/** Writes pending outcomes, one group at a time. */
export function sendOutcomes(state: BoxState, step: Step): void {
  if (state.outcomesInFlight || state.pendingOutcomes.length === 0) return;
  if (step.nowMs < state.outcomesNotBeforeMs) return;
  const requestIds = state.pendingOutcomes.splice(0, OUTCOME_GROUP_SIZE);
  const writes = requestIds.flatMap((requestId) => outcomeWrite(state, requestId));
  if (writes.length === 0) return;
  state.outcomesInFlight = true;
  const opId = nextId(state, 'op');
  state.tableOps.set(opId, { kind: 'claimOutcomes', requestIds });
  step.effects.push({ type: 'requestTable', opId, op: { kind: 'transact', writes } });
}

function outcomeWrite(state: BoxState, requestId: string): TableWrite[] {
  const record = state.requests.get(requestId);
  const settled = record === undefined ? undefined : phaseOf(record, 'settled');
  if (record === undefined || settled === undefined) return [];
  const value = claimValue(state, record, settled.outcome, nextId(state, 'outcome'));
  return [{ key: claimKey(record), expectVersion: record.claimVersion, value }];
}

/**
 * Handles the table's answer for outcomes. Rows in conflict have already been changed,
 * possibly by this write if an earlier answer was lost, and are left as they are. The
 * other outcomes are written again, after a delay if the table is throttled or did not
 * answer.
 */
export function onOutcomesAnswered(
  state: BoxState,
  step: Step,
  requestIds: readonly string[],
  answer: TableAnswer,
): void {
  state.outcomesInFlight = false;
  if (answer.kind !== 'done') {
    const retried = outcomesToRetry(state, requestIds, answer);
    state.pendingOutcomes.unshift(...retried);
    const backsOff = answer.kind === 'unknown' || answer.reason === 'throttled';
    if (backsOff) state.outcomesNotBeforeMs = step.nowMs + OUTCOME_RETRY_MS;
    log(step, 'outcomesDelayed', { count: retried.length, answer: answer.kind });
  }
  sendOutcomes(state, step);
}

function outcomesToRetry(
  state: BoxState,
  requestIds: readonly string[],
  answer: Exclude<TableAnswer, { kind: 'done' }>,
): string[] {
  if (answer.kind === 'unknown') return [...requestIds];
  const conflicting = new Set(answer.rows.map((row) => row.key));
  return requestIds.filter((requestId) => {
    const record = state.requests.get(requestId);
    return record !== undefined && !conflicting.has(claimKey(record));
  });
}
