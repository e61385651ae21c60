/**
 * Attempts: what servers say of them, and what follows.
 *
 * A connection lost after the first byte is a retry for a repeatable request
 * and `unknown` for any other. Words of an older attempt are dropped.
 */
import {
  acceptEnd,
  acceptTokens,
  backoffMs,
  MemberSource,
  MemberState,
  Outcome,
  Reach,
} from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { Reason, RefusalReason, type Attempt, type RequestRecord } from '../types/request.js';
import { ServerKind } from '../types/settings.js';
import type { BoxState, ServerView, Step } from '../state.js';
import { nextRandom } from '../state.js';
import { noteCacheHit, noteOwnCached } from '../policy/cacheView.js';
import { rulesFor } from '../plans/rules.js';
import { shortlist } from '../policy/routing.js';
import { dispatchPool } from './dispatch.js';
import { enterQueue, queuesOf } from './queues.js';
import { giveUp, isUnsettled, mayHaveReached, recordOfAttempt, settle } from './requests.js';
import { noteServer, onReport, serverMember } from './servers.js';

/** Weight of the newest time between tokens in the smoothed one. */
const SPEED_SMOOTHING = 0.1;
/** HTTP statuses by which a plain service says that it did not run the request. */
const NOT_RUN_STATUSES: readonly number[] = [429, 503];
/** Retry time told with a request that failed at its servers, in ms. */
const FAILED_RETRY_MS = 500;

/** An attempt with its request. */
interface Found {
  record: RequestRecord;
  attempt: Attempt;
}

function find(state: BoxState, attemptId: string): Found | undefined {
  const record = recordOfAttempt(state, attemptId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === attemptId);
  return record === undefined || attempt === undefined ? undefined : { record, attempt };
}

/** Gives an attempt's place at its server back. */
export function closeAttempt(state: BoxState, record: RequestRecord, attempt: Attempt): void {
  if (!attempt.open) return;
  attempt.open = false;
  const view = state.servers.get(attempt.serverId);
  if (view === undefined) return;
  if (!state.mutations.has('leakPlace')) view.openAttempts.delete(attempt.attemptId);
  if (attempt.firstTokenAtMs === undefined) view.pendingPrefillTokens -= record.spec.promptTokens;
}

/** Closes an attempt and tells its server to stop. */
export function cancelAttempt(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  if (!attempt.open) return;
  closeAttempt(state, record, attempt);
  const { attemptId, serverId } = attempt;
  step.effects.push({ type: 'cancelAttempt', attemptId, serverId });
}

/** Cancels every open attempt of a request. */
export function cancelAll(state: BoxState, step: Step, record: RequestRecord): void {
  for (const attempt of record.attempts) cancelAttempt(state, step, record, attempt);
}

/** The open attempt of a request that was sent last. */
export function openAttempt(record: RequestRecord): Attempt | undefined {
  return record.attempts.findLast((attempt) => attempt.open);
}

/** Takes tokens from an engine. */
export function onAttemptProgress(
  state: BoxState,
  step: Step,
  event: EventOf<'attemptProgress'>,
): void {
  const found = find(state, event.attemptId);
  if (found === undefined || !isUnsettled(found.record)) return;
  const { record, attempt } = found;
  if (state.mutations.has('takeAnyTokens')) {
    const { requestId } = record.spec;
    const { offset, tokens } = event;
    step.effects.push({ type: 'deliverTokens', requestId, offset, tokens });
  }
  const result = acceptTokens(record.ledger, event);
  switch (result.kind) {
    case 'dropped':
      return;
    case 'gap':
      if (!attempt.open) return;
      cancelAttempt(state, step, record, attempt);
      retryOrGiveUp(state, step, record);
      return;
    case 'accepted':
      noteFirstToken(state, step, record, attempt);
      noteSpeed(state, attempt, result.tokens.length, step.nowMs);
      attempt.progressAtMs = step.nowMs;
      deliver(step, record);
      return;
  }
}

function noteFirstToken(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  attempt.reach = Reach.answered;
  if (attempt.firstTokenAtMs !== undefined) return;
  const view = state.servers.get(attempt.serverId);
  if (view !== undefined && attempt.open) view.pendingPrefillTokens -= record.spec.promptTokens;
  attempt.firstTokenAtMs = step.nowMs;
  record.firstTokenMs ??= step.nowMs - record.arrivedAtMs;
}

function noteSpeed(state: BoxState, attempt: Attempt, tokens: number, nowMs: number): void {
  const view = state.servers.get(attempt.serverId);
  if (view === undefined || attempt.firstTokenAtMs === nowMs) return;
  const perTokenMs = (nowMs - attempt.progressAtMs) / tokens;
  view.interTokenMs = smoothed(view.interTokenMs, perTokenMs);
  const queues = queuesOf(state, view.spec.pool);
  queues.interTokenMs = smoothed(queues.interTokenMs, perTokenMs);
}

/** Moves a figure towards its newest value; the first value stands as it is. */
function smoothed(before: number, newest: number): number {
  return before === 0 ? newest : before + SPEED_SMOOTHING * (newest - before);
}

/** Hands the caller every token that it does not have yet. */
export function deliver(step: Step, record: RequestRecord): void {
  const { ledger, spec } = record;
  record.deliveredCount = Math.max(record.deliveredCount, record.skipUntil);
  if (record.deliveredCount >= ledger.tokens.length) return;
  step.effects.push({
    type: 'deliverTokens',
    requestId: spec.requestId,
    offset: record.deliveredCount,
    tokens: ledger.tokens.slice(record.deliveredCount),
  });
  record.deliveredCount = ledger.tokens.length;
}

/** Takes an engine's end marker. */
export function onAttemptEnded(state: BoxState, step: Step, event: EventOf<'attemptEnded'>): void {
  const found = find(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  const view = state.servers.get(attempt.serverId);
  const wasOpen = attempt.open;
  closeAttempt(state, record, attempt);
  if (view !== undefined && event.report !== undefined) onReport(state, step, view, event.report);
  if (isUnsettled(record)) endOf(state, step, record, attempt, event, wasOpen);
  dispatchPool(state, step, record.spec.pool);
}

function endOf(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
  event: EventOf<'attemptEnded'>,
  wasOpen: boolean,
): void {
  const result = acceptEnd(record.ledger, event);
  if (result.kind === 'gap' && wasOpen) {
    retryOrGiveUp(state, step, record);
    return;
  }
  if (result.kind !== 'accepted') return;
  attempt.reach = Reach.answered;
  record.cachedTokens = event.cachedTokens;
  learnFromEnd(state, record, attempt, event.cachedTokens);
  cancelAll(state, step, record);
  settle(state, step, record, {
    outcome: Outcome.completed,
    reason: Reason.answered,
    attemptId: attempt.attemptId,
  });
}

function learnFromEnd(
  state: BoxState,
  record: RequestRecord,
  attempt: Attempt,
  cachedTokens: number,
): void {
  const view = state.servers.get(attempt.serverId);
  if (view === undefined) return;
  const { spec } = record;
  const hadSight = state.cacheSights.get(spec.affinityHash)?.serverId === attempt.serverId;
  noteCacheHit(state, { spec, view, cachedTokens, hadSight });
  const held = spec.promptTokens + record.ledger.tokens.length;
  const [first] = shortlist(state, spec, rulesFor(state, spec));
  const { affinityHash } = spec;
  noteOwnCached(state, { affinityHash, serverId: attempt.serverId, tokens: held }, first?.spec.id);
}

/** Takes the answer of a plain service; the first one is the caller's. */
export function onServiceAnswered(
  state: BoxState,
  step: Step,
  event: EventOf<'serviceAnswered'>,
): void {
  const found = find(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  closeAttempt(state, record, attempt);
  noteHeard(state, step, attempt);
  if (isUnsettled(record)) answerOf(state, step, record, attempt, event.status);
  dispatchPool(state, step, record.spec.pool);
}

function answerOf(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
  status: number,
): void {
  if (NOT_RUN_STATUSES.includes(status)) {
    attempt.reach = Reach.refused;
    record.avoid.add(attempt.serverId);
    if (openAttempt(record) === undefined) requeue(state, step, record, true);
    return;
  }
  attempt.reach = Reach.answered;
  cancelAll(state, step, record);
  settle(state, step, record, {
    outcome: Outcome.completed,
    reason: Reason.answered,
    attemptId: attempt.attemptId,
    status,
  });
}

function noteHeard(state: BoxState, step: Step, attempt: Attempt): void {
  const view = state.servers.get(attempt.serverId);
  if (view === undefined) return;
  const { incarnation } = attempt;
  const heard = { kind: 'heard', incarnation, zone: view.spec.zone } as const;
  noteServer(state, step, attempt.serverId, heard, false);
}

/** Takes a server's refusal before running; the request may go elsewhere at once. */
export function onAttemptRefused(
  state: BoxState,
  step: Step,
  event: EventOf<'attemptRefused'>,
): void {
  const found = find(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  const wasOpen = attempt.open;
  closeAttempt(state, record, attempt);
  attempt.reach = Reach.refused;
  record.avoid.add(attempt.serverId);
  noteRefusal(state, step, attempt, event.reason);
  if (!isUnsettled(record) || !wasOpen || record.phase.kind === 'handing') return;
  if (openAttempt(record) === undefined) requeue(state, step, record, true);
}

function noteRefusal(state: BoxState, step: Step, attempt: Attempt, reason: RefusalReason): void {
  const { serverId, incarnation } = attempt;
  switch (reason) {
    case RefusalReason.leaving: {
      const source = MemberSource.direct;
      const leaving = { kind: 'leaving', incarnation, leavesAtMs: undefined, source } as const;
      noteServer(state, step, serverId, leaving, true);
      return;
    }
    case RefusalReason.notConnected:
      noteServer(state, step, serverId, { kind: 'silent', incarnation }, true);
      return;
    case RefusalReason.full:
    case RefusalReason.wrongModel:
      return;
  }
}

/** Takes the loss of an attempt's connection. */
export function onAttemptLost(state: BoxState, step: Step, event: EventOf<'attemptLost'>): void {
  const found = find(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  const wasOpen = attempt.open;
  closeAttempt(state, record, attempt);
  if (!event.reached && attempt.reach === Reach.maybe) attempt.reach = Reach.none;
  const { serverId, incarnation } = attempt;
  noteServer(state, step, serverId, { kind: 'silent', incarnation }, true);
  if (!isUnsettled(record) || !wasOpen || record.phase.kind === 'handing') return;
  record.avoid.add(serverId);
  if (openAttempt(record) === undefined) retryOrGiveUp(state, step, record);
}

/** Closes a request's lost attempts at a server that is gone, as if each connection had been lost. */
export function loseAttemptsAt(state: BoxState, step: Step, view: ServerView): void {
  for (const attemptId of [...view.openAttempts]) {
    const found = find(state, attemptId);
    if (found === undefined) continue;
    cancelAttempt(state, step, found.record, found.attempt);
    if (!isUnsettled(found.record)) continue;
    if (openAttempt(found.record) === undefined) retryOrGiveUp(state, step, found.record);
  }
}

/** After a loss: a repeatable request goes on elsewhere, any other is given up as `unknown`. */
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
  requeue(state, step, record, causedByLeaving(state, record));
}

/** A retry that an announced reclaim has caused is not taken from the budget. */
function causedByLeaving(state: BoxState, record: RequestRecord): boolean {
  const last = record.attempts.at(-1);
  const member = last === undefined ? undefined : serverMember(state, last.serverId);
  return member?.leavingSinceMs !== undefined || member?.state === MemberState.dead;
}

/** Puts a request in progress back at the front of its queue; free of the budget when `owedNothing`. */
export function requeue(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  owedNothing: boolean,
): void {
  const { retryBaseMs, retryCapMs } = state.settings.policy;
  record.retryOwed = !owedNothing;
  const tries = Math.max(1, record.attempts.length);
  const random = nextRandom(state);
  const first = owedNothing && tries === 1;
  const delayMs = first ? 0 : backoffMs({ tries, baseMs: retryBaseMs, capMs: retryCapMs, random });
  const notBeforeMs = step.nowMs + delayMs;
  if (state.mutations.has('forgetRequeued')) {
    record.phase = { kind: 'running' };
    record.spec = { ...record.spec, deadlineAtMs: Number.POSITIVE_INFINITY };
    return;
  }
  enterQueue(state, record, { nowMs: step.nowMs, notBeforeMs, atFront: true });
  if (delayMs === 0) dispatchPool(state, step, record.spec.pool);
}

/** True for a request to an engine. */
export function isStream(record: RequestRecord): boolean {
  return record.spec.kind === ServerKind.engine;
}
