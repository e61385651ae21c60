/**
 * Evacuation of backend servers that are draining, such as after a reclaim notice.
 *
 * Depending on the time left, a stream finishes at the server, moves to another one
 * with its KV cache, or resumes at another one from its prompt and the tokens already
 * sent. Cached prefixes of idle conversations are moved after the streams, the largest
 * first.
 */
import { MemberState, Reach } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { Attempt, RequestPhase, RequestRecord } from '../types/request.js';
import { ServerKind } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { recordPrefixLocation } from '../policy/cacheView.js';
import { firstRanked, modelVersionOf } from '../policy/routing.js';
import {
  cancelAttempt,
  closeAttempt,
  isStream,
  openAttempt,
  type FoundAttempt,
} from './openAttempts.js';
import { requeue, retryOrGiveUp } from './retries.js';
import { log } from './log.js';
import { phaseOf, recordOfAttempt } from './requestRecords.js';
import { serverMember, serverAcceptsRequests } from './serverMembers.js';

/** Time reserved before a server stops for the last messages of its streams, in ms. */
const FINISH_MARGIN_MS = 250;
/** Fixed duration of a KV cache move without the transfer, in ms. */
const MOVE_SETUP_MS = 20;
/** Time without an answer after which a move counts as failed, in ms. */
const MOVE_TIMEOUT_MS = 2000;
/** Minimum size of a cached prefix that is moved, in tokens. */
const MIN_MOVED_TOKENS = 256;
/** Maximum number of cached prefixes that one box moves off one server. */
const MAX_MOVED_PREFIXES = 64;

/** How a stream continues when its server stops. */
type EvacuationMethod = 'finish' | 'move' | 'resume';

/** Evacuates a draining server; may be called again when its stop moves closer. */
export function evacuate(state: BoxState, step: Step, view: ServerView): void {
  const streams = streamsAt(state, view);
  if (streams.length > 0) {
    log(step, 'serverEvacuated', { server: view.spec.id, streams: streams.length });
  }
  for (const { record, attempt } of streams) evacuateStream(state, step, view, record, attempt);
  moveIdlePrefixes(state, step, view);
}

/** Returns the running streams at a server, those with the most tokens at stake first. */
function streamsAt(state: BoxState, view: ServerView): FoundAttempt[] {
  const streams: FoundAttempt[] = [];
  for (const attemptId of view.openAttempts) {
    const record = recordOfAttempt(state, attemptId);
    const attempt = record?.attempts.find((item) => item.attemptId === attemptId);
    if (record === undefined || attempt === undefined) continue;
    if (isStream(record) && record.phase.kind === 'running') streams.push({ record, attempt });
  }
  return streams.sort((a, b) => tokensAtStake(b.record) - tokensAtStake(a.record));
}

function tokensAtStake(record: RequestRecord): number {
  return record.spec.promptTokens + record.ledger.tokens.length;
}

function evacuateStream(
  state: BoxState,
  step: Step,
  view: ServerView,
  record: RequestRecord,
  attempt: Attempt,
): void {
  switch (evacuationMethod(state, step, view, record, attempt)) {
    case 'finish':
      return;
    case 'move':
      startMove(state, step, view, record, attempt);
      return;
    case 'resume':
      cancelAttempt(state, step, record, attempt);
      requeue(state, step, record, true);
      return;
  }
}

/**
 * Returns the cheapest method that fits the time left: finishing costs nothing, a move
 * little, and a resume recomputes the prompt.
 */
function evacuationMethod(
  state: BoxState,
  step: Step,
  view: ServerView,
  record: RequestRecord,
  attempt: Attempt,
): EvacuationMethod {
  const leavesAtMs = serverMember(state, view.spec.id)?.leavesAtMs;
  if (leavesAtMs === undefined) return 'finish';
  const leftMs = leavesAtMs - step.nowMs - FINISH_MARGIN_MS;
  if (remainingMs(state, view, record, attempt) <= leftMs) return 'finish';
  if (moveFits(state, step, view, record, attempt, leftMs)) return 'move';
  return record.spec.repeatable ? 'resume' : 'finish';
}

function remainingMs(
  state: BoxState,
  view: ServerView,
  record: RequestRecord,
  attempt: Attempt,
): number {
  const { policy } = state.settings;
  const perTokenMs = view.interTokenMs > 0 ? view.interTokenMs : policy.interTokenMs;
  const tokensLeft = Math.max(0, record.spec.maxTokens - record.ledger.tokens.length);
  const prefillMs =
    attempt.firstTokenAtMs === undefined ? record.spec.promptTokens / policy.prefillTokensPerMs : 0;
  return prefillMs + tokensLeft * perTokenMs;
}

function moveFits(
  state: BoxState,
  step: Step,
  view: ServerView,
  record: RequestRecord,
  attempt: Attempt,
  leftMs: number,
): boolean {
  const { policy } = state.settings;
  if (!policy.kvMove || attempt.firstTokenAtMs === undefined) return false;
  if (!hasMoveTarget(state, view)) return false;
  const queuedMs = Math.max(0, view.exportBusyUntilMs - step.nowMs);
  return queuedMs + moveMs(state, tokensAtStake(record)) <= leftMs;
}

function moveMs(state: BoxState, tokens: number): number {
  return MOVE_SETUP_MS + tokens / state.settings.policy.kvTokensPerMs;
}

function hasMoveTarget(state: BoxState, view: ServerView): boolean {
  return moveTargets(state, view).length > 0;
}

/** Returns the other servers of the same pool and model version that accept requests. */
function moveTargets(state: BoxState, view: ServerView): ServerView[] {
  const pool = state.serversByPool.get(view.spec.pool) ?? [];
  const version = modelVersionOf(view);
  return pool.filter(
    (other) =>
      other !== view && modelVersionOf(other) === version && serverAcceptsRequests(state, other),
  );
}

function startMove(
  state: BoxState,
  step: Step,
  view: ServerView,
  record: RequestRecord,
  attempt: Attempt,
): void {
  const startMs = Math.max(step.nowMs, view.exportBusyUntilMs);
  view.exportBusyUntilMs = startMs + moveMs(state, tokensAtStake(record));
  const { attemptId } = attempt;
  record.phase = { kind: 'moving', attemptId, sinceMs: step.nowMs };
  step.effects.push({ type: 'exportKv', attemptId, serverId: view.spec.id });
}

/** Handles the answer to an export: on success the source has stopped and keeps the cache under a ticket. */
export function onKvExported(state: BoxState, step: Step, event: EventOf<'kvExported'>): void {
  const record = recordOfAttempt(state, event.attemptId);
  const phase = record === undefined ? undefined : phaseOf(record, 'moving');
  const attempt = record?.attempts.find((item) => item.attemptId === event.attemptId);
  if (record === undefined || attempt === undefined || phase?.attemptId !== event.attemptId) return;
  switch (event.answer.kind) {
    case 'done':
      closeAttempt(state, record, attempt);
      attempt.reach = Reach.moved;
      record.kvTicket = event.answer.ticket;
      requeue(state, step, record, true);
      return;
    case 'refused':
    case 'unknown':
      continueWithoutMove(state, step, record, attempt);
      return;
  }
}

/** Continues a stream whose move failed: a repeatable one resumes elsewhere, any other stays in place. */
function continueWithoutMove(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  record.phase = { kind: 'running' };
  if (!attempt.open) {
    retryOrGiveUp(state, step, record);
    return;
  }
  if (!record.spec.repeatable) return;
  cancelAttempt(state, step, record, attempt);
  requeue(state, step, record, true);
}

/** Ends a move that has timed out. */
export function movingTick(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  phase: Extract<RequestPhase, { kind: 'moving' }>,
): void {
  if (step.nowMs - phase.sinceMs < MOVE_TIMEOUT_MS) return;
  const attempt = openAttempt(record);
  if (attempt === undefined) retryOrGiveUp(state, step, record);
  else continueWithoutMove(state, step, record, attempt);
}

/** Moves cached prefixes of idle conversations to the servers that rank first for them. */
function moveIdlePrefixes(state: BoxState, step: Step, view: ServerView): void {
  if (!state.settings.policy.kvMove || view.spec.kind !== ServerKind.engine) return;
  const leavesAtMs = serverMember(state, view.spec.id)?.leavesAtMs;
  if (leavesAtMs === undefined) return;
  const targets = moveTargets(state, view);
  if (targets.length === 0) return;
  for (const [affinityHash, tokens] of idlePrefixes(state, view)) {
    const startMs = Math.max(step.nowMs, view.exportBusyUntilMs);
    const endMs = startMs + moveMs(state, tokens);
    if (endMs > leavesAtMs - FINISH_MARGIN_MS) return;
    const target = firstRanked(affinityHash, targets);
    if (target === undefined) return;
    view.exportBusyUntilMs = endMs;
    state.prefixLocations.delete(affinityHash);
    step.effects.push({
      type: 'moveCache',
      affinityHash,
      tokens,
      serverId: view.spec.id,
      targetServerId: target.spec.id,
    });
  }
}

function idlePrefixes(state: BoxState, view: ServerView): [number, number][] {
  const prefixes: [number, number][] = [];
  for (const [affinityHash, location] of state.prefixLocations) {
    if (location.serverId !== view.spec.id || location.tokens < MIN_MOVED_TOKENS) continue;
    prefixes.push([affinityHash, location.tokens]);
  }
  return prefixes.sort((a, b) => b[1] - a[1]).slice(0, MAX_MOVED_PREFIXES);
}

/** Records the new location of a moved prefix. */
export function onCacheMoved(state: BoxState, event: EventOf<'cacheMoved'>): void {
  const member = serverMember(state, event.serverId);
  if (member?.state === MemberState.dead) return;
  recordPrefixLocation(state, event.affinityHash, event.serverId, event.tokens);
}
