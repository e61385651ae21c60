/**
 * Claims of keyed requests that may not be repeated, and their outcomes.
 *
 * A claim is a row in the table by which one box becomes the holder of an idempotency
 * key. While a group of claims is in flight, new claims are collected for the next
 * group. The table thus receives few writes under load, and a single claim does not wait.
 */
import {
  claimRowKey,
  Outcome,
  startClaimGroup,
  stepClaimGroup,
  type ClaimGroup,
  type ClaimValue,
  type ClaimVerdict,
  type PendingClaim,
  type TableAnswer,
  type TableOp,
  type TableWrite,
} from 'reedlug-coordination';
import { Reason, type RequestRecord } from '../types/request.js';
import type { BoxState, Step } from '../state.js';
import { nextId } from '../state.js';
import { admit } from './admission.js';
import { startFollowing } from './following.js';
import { log } from './log.js';
import { giveUp, isUnsettled, phaseOf, settle } from './requests.js';

/** Retry time in the answer to the caller if the table did not answer, in ms. */
const UNAVAILABLE_RETRY_MS = 2000;
/** Delay before outcomes are written again after a failure, in ms. */
const OUTCOME_RETRY_MS = 1000;
/** Maximum number of outcomes written in one operation. */
const OUTCOME_GROUP_SIZE = 25;

/** Requests a claim. An `expectVersion` above 0 takes over a row whose outcome is `notRun`. */
export function requestClaim(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  expectVersion: number,
): void {
  record.phase = { kind: 'claiming', sinceMs: step.nowMs };
  state.pendingClaims.push({
    key: claimKey(record),
    expectVersion,
    value: claimValue(state, record, undefined, nextId(state, 'claim')),
  });
  sendClaims(state, step);
}

function claimKey(record: RequestRecord): string {
  return claimRowKey(record.spec.workspaceId, record.spec.idempotencyKey ?? '');
}

function claimValue(
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

function sendClaims(state: BoxState, step: Step): void {
  if (state.claimGroupInFlight || state.pendingClaims.length === 0) return;
  const claims = nextClaimGroup(state);
  const { group, op } = startClaimGroup(claims);
  state.claimGroupInFlight = true;
  sendClaimGroup(state, step, group, op);
}

/** Removes the next group from the pending claims; a group has at most one claim per key. */
function nextClaimGroup(state: BoxState): PendingClaim[] {
  const group: PendingClaim[] = [];
  const remaining: PendingClaim[] = [];
  const keys = new Set<string>();
  for (const pending of state.pendingClaims) {
    const fits = group.length < state.settings.control.claimGroupSize && !keys.has(pending.key);
    (fits ? group : remaining).push(pending);
    if (fits) keys.add(pending.key);
  }
  state.pendingClaims = remaining;
  return group;
}

function sendClaimGroup(state: BoxState, step: Step, group: ClaimGroup, op: TableOp): void {
  const opId = nextId(state, 'op');
  state.tableOps.set(opId, { kind: 'claims', group });
  step.effects.push({ type: 'requestTable', opId, op });
}

/** Handles the table's answer for a group of claims. */
export function onClaimsAnswered(
  state: BoxState,
  step: Step,
  group: ClaimGroup,
  answer: TableAnswer,
): void {
  const { verdicts, next } = stepClaimGroup(group, answer);
  for (const verdict of verdicts) onVerdict(state, step, verdict, group);
  if (next !== undefined) {
    sendClaimGroup(state, step, next.group, next.op);
    return;
  }
  state.claimGroupInFlight = false;
  sendClaims(state, step);
}

function onVerdict(state: BoxState, step: Step, verdict: ClaimVerdict, group: ClaimGroup): void {
  const record = state.requests.get(verdict.requestId);
  if (record === undefined) return;
  const pending = group.claims.find((item) => item.value.requestId === verdict.requestId);
  if (verdict.kind === 'held') record.claimVersion = (pending?.expectVersion ?? 0) + 1;
  if (record.phase.kind !== 'claiming') {
    // The request was settled as `notRun` while the table did not answer; the row must say so too.
    if (verdict.kind === 'held') releaseLateClaim(state, step, record);
    return;
  }
  switch (verdict.kind) {
    case 'held':
      record.claimHeld = true;
      admit(state, step, record);
      return;
    case 'taken':
      onClaimTaken(state, step, record, verdict);
      return;
    case 'digestDiffers':
      giveUp(state, step, record, Reason.keyReused);
      return;
    case 'unavailable':
      continueWithoutTable(state, step, record);
      return;
  }
}

function releaseLateClaim(state: BoxState, step: Step, record: RequestRecord): void {
  if (record.claimHeld) return;
  record.claimHeld = true;
  if (!isUnsettled(record)) queueOutcome(state, step, record);
}

/** Handles a key that another request holds: takes over one that did not run, else follows it. */
function onClaimTaken(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  verdict: Extract<ClaimVerdict, { kind: 'taken' }>,
): void {
  const { by } = verdict;
  if (by.outcome === Outcome.notRun) {
    requestClaim(state, step, record, verdict.version);
    return;
  }
  startFollowing(state, step, record, {
    sourceRequestId: by.requestId,
    holderId: by.holderId,
    storedOutcome: by.outcome,
    storedStatus: by.status,
  });
}

/** Without an answer of the table, runs a request only if its service deduplicates requests itself. */
function continueWithoutTable(state: BoxState, step: Step, record: RequestRecord): void {
  const { pool } = record.spec;
  const service = state.config.items.get(`service/${pool}`)?.value as
    { deduplicates: boolean } | undefined;
  const deduplicates = service?.deduplicates ?? state.settings.deduplicatingServices.includes(pool);
  if (deduplicates) admit(state, step, record);
  else giveUp(state, step, record, Reason.claimUnavailable, UNAVAILABLE_RETRY_MS);
}

/** Gives up a claim that the table has not answered in time. */
export function claimingTick(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  sinceMs: number,
): void {
  const waitedMs = step.nowMs - sinceMs;
  const late = step.nowMs >= record.spec.deadlineAtMs;
  if (waitedMs < state.settings.control.claimTimeoutMs && !late) return;
  continueWithoutTable(state, step, record);
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

/** Settles a request that follows a key by the outcome that is stored in the table. */
export function settleFromRow(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  outcome: Outcome,
  status: number | undefined,
): void {
  settle(state, step, record, { outcome, reason: Reason.answered, status });
}
