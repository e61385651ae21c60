/**
 * Claims of keyed requests that may not be repeated.
 *
 * A claim is a row in the table by which one box becomes the holder of an idempotency
 * key. While a group of claims is in flight, new claims are collected for the next
 * group. The table thus receives few writes under load, and a single claim does not wait.
 */
import {
  Outcome,
  startClaimGroup,
  stepClaimGroup,
  type ClaimGroup,
  type ClaimVerdict,
  type PendingClaim,
  type TableAnswer,
  type TableOp,
} from 'reedlug-coordination';
import { Reason, type RequestRecord } from '../types/request.js';
import type { BoxState, Step } from '../state.js';
import { nextId } from '../state.js';
import { admit } from './dispatch.js';
import { giveUp } from './requests.js';
import { isUnsettled } from './requestRecords.js';
import { claimKey, claimValue, queueOutcome } from './claimOutcomes.js';
import { startFollowing } from './following.js';

/** Retry time in the answer to the caller if the table did not answer, in ms. */
const UNAVAILABLE_RETRY_MS = 2000;

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
