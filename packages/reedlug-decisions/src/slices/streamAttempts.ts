/** Attempts at engines: their tokens and end markers. Those of an older attempt are dropped. */
import { acceptEnd, acceptTokens, Outcome, Reach } from 'reedlug-coordination';
import { rulesFor } from '../plans/rules.js';
import { recordCacheHit, recordOwnPrefixLocation } from '../policy/cacheView.js';
import { modelVersionOf, shortlist } from '../policy/routing.js';
import type { BoxState, Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import type { EventOf } from '../types/event.js';
import { Reason, type Attempt, type RequestRecord } from '../types/request.js';
import { dispatchPool } from './dispatch.js';
import { findAttempt, closeAttempt, cancelAttempt, cancelAll } from './openAttempts.js';
import { queuesOf } from './queues.js';
import { settle } from './requests.js';
import { isUnsettled } from './requestRecords.js';
import { retryOrGiveUp } from './retries.js';
import { onReport } from './servers.js';

/** Weight of the newest time between tokens in the smoothed time. */
const TOKEN_INTERVAL_SMOOTHING = 0.1;

/** Accepts tokens from an engine and delivers them to the caller. */
export function onAttemptProgress(
  state: BoxState,
  step: Step,
  event: EventOf<'attemptProgress'>,
): void {
  const found = findAttempt(state, event.attemptId);
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
      recordFirstToken(state, step, record, attempt);
      recordTokenInterval(state, attempt, result.tokens.length, step.nowMs);
      attempt.progressAtMs = step.nowMs;
      deliverNewTokens(step, record);
      return;
  }
}

function recordFirstToken(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  attempt.reach = Reach.answered;
  if (attempt.firstTokenAtMs !== undefined) return;
  const view = state.servers.get(attempt.serverId);
  if (view !== undefined) bindToVersion(record, view);
  if (view !== undefined && attempt.open) view.pendingPrefillTokens -= record.spec.promptTokens;
  attempt.firstTokenAtMs = step.nowMs;
  record.firstTokenMs ??= step.nowMs - record.arrivedAtMs;
}

/**
 * Binds an answer that has begun to the model version of its engine, for resumptions here and at a box
 * that takes the request over: tokens of two versions do not fit together.
 */
function bindToVersion(record: RequestRecord, view: ServerView): void {
  if (record.spec.version !== '') return;
  record.spec = { ...record.spec, version: modelVersionOf(view) };
}

function recordTokenInterval(
  state: BoxState,
  attempt: Attempt,
  tokens: number,
  nowMs: number,
): void {
  const view = state.servers.get(attempt.serverId);
  if (view === undefined || attempt.firstTokenAtMs === nowMs) return;
  const perTokenMs = (nowMs - attempt.progressAtMs) / tokens;
  view.interTokenMs = smoothed(view.interTokenMs, perTokenMs);
  const queues = queuesOf(state, view.spec.pool);
  queues.interTokenMs = smoothed(queues.interTokenMs, perTokenMs);
}

/** Returns the exponentially smoothed value; the first value is taken as it is. */
function smoothed(before: number, newest: number): number {
  return before === 0 ? newest : before + TOKEN_INTERVAL_SMOOTHING * (newest - before);
}

/** Delivers every token that the caller does not have yet. */
export function deliverNewTokens(step: Step, record: RequestRecord): void {
  const { ledger, spec } = record;
  record.deliveredCount = Math.max(record.deliveredCount, record.reconnectOffset);
  if (record.deliveredCount >= ledger.tokens.length) return;
  step.effects.push({
    type: 'deliverTokens',
    requestId: spec.requestId,
    offset: record.deliveredCount,
    tokens: ledger.tokens.slice(record.deliveredCount),
  });
  record.deliveredCount = ledger.tokens.length;
}

/** Handles the end marker of an engine. */
export function onAttemptEnded(state: BoxState, step: Step, event: EventOf<'attemptEnded'>): void {
  const found = findAttempt(state, event.attemptId);
  if (found === undefined) return;
  const { record, attempt } = found;
  const view = state.servers.get(attempt.serverId);
  const wasOpen = attempt.open;
  closeAttempt(state, record, attempt);
  if (view !== undefined && event.report !== undefined) onReport(state, step, view, event.report);
  if (isUnsettled(record)) applyEnd(state, step, record, attempt, event, wasOpen);
  dispatchPool(state, step, record.spec.pool);
}

function applyEnd(
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
  recordCacheState(state, record, attempt, event.cachedTokens);
  cancelAll(state, step, record);
  settle(state, step, record, {
    outcome: Outcome.completed,
    reason: Reason.answered,
    attemptId: attempt.attemptId,
  });
}

function recordCacheState(
  state: BoxState,
  record: RequestRecord,
  attempt: Attempt,
  cachedTokens: number,
): void {
  const view = state.servers.get(attempt.serverId);
  if (view === undefined) return;
  const { spec } = record;
  const hadLocation = state.prefixLocations.get(spec.affinityHash)?.serverId === attempt.serverId;
  recordCacheHit(state, { spec, view, cachedTokens, hadLocation });
  const held = spec.promptTokens + record.ledger.tokens.length;
  const [first] = shortlist(state, spec, rulesFor(state, spec));
  const { affinityHash } = spec;
  recordOwnPrefixLocation(
    state,
    { affinityHash, serverId: attempt.serverId, tokens: held },
    first?.spec.id,
  );
}
