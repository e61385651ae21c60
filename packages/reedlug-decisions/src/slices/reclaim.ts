/**
 * Announced reclaims of backend servers.
 *
 * Each stream at a leaving server finishes in time, or moves with its KV cache,
 * or goes on elsewhere from its prompt and the tokens already sent, by what
 * fits before the deadline. Cached prefixes of conversations that are not
 * running are moved after the streams, the largest first.
 */
import { MemberState, Reach } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { Attempt, RequestPhase, RequestRecord } from '../types/request.js';
import { ServerKind } from '../types/settings.js';
import type { BoxState, ServerView, Step } from '../state.js';
import { recordPrefixLocation } from '../policy/cacheView.js';
import { firstRanked } from '../policy/routing.js';
import { cancelAttempt, closeAttempt, isStream, openAttempt } from './openAttempts.js';
import { requeue, retryOrGiveUp } from './retries.js';
import { log } from './log.js';
import { phaseOf, recordOfAttempt } from './requests.js';
import { serverMember, serverAcceptsRequests } from './servers.js';

/** Kept free before a server goes, for the last words of its streams, in ms. */
const FINISH_MARGIN_MS = 250;
/** Fixed part of one KV move, in ms. */
const MOVE_SETUP_MS = 20;
/** A move that has not answered after this long is taken as failed, in ms. */
const MOVE_TIMEOUT_MS = 2000;
/** Cached prefixes smaller than this are not worth a move, in tokens. */
const MIN_MOVED_TOKENS = 256;
/** Cached prefixes moved at most off one server by one box. */
const MAX_MOVED_PREFIXES = 64;

/** How a stream gets through the reclaim of its server. */
type EvacuationMethod = 'finish' | 'move' | 'resume';

/** Moves a leaving server's work; safe to call again when the time left gets shorter. */
export function evacuate(state: BoxState, step: Step, view: ServerView): void {
  const streams = streamsAt(state, view);
  if (streams.length > 0) {
    log(step, 'serverEvacuated', { server: view.spec.id, streams: streams.length });
  }
  for (const { record, attempt } of streams) evacuateStream(state, step, view, record, attempt);
  moveIdlePrefixes(state, step, view);
}

interface RunningStream {
  record: RequestRecord;
  attempt: Attempt;
}

/** Running streams at a server, those with the most tokens at stake first. */
function streamsAt(state: BoxState, view: ServerView): RunningStream[] {
  const streams: RunningStream[] = [];
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

/** The cheapest way that fits: finishing costs nothing, a move little, a resume the prompt. */
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

/** Servers of the same pool that stay. */
function moveTargets(state: BoxState, view: ServerView): ServerView[] {
  const pool = state.serversByPool.get(view.spec.pool) ?? [];
  return pool.filter((other) => other !== view && serverAcceptsRequests(state, other));
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

/** Takes the answer to an export: the source has stopped and its cache waits under a ticket. */
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

/** Without a move a repeatable stream resumes elsewhere; any other stays where it may still run. */
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

/** Ends a move that takes too long. */
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

/** Moves cached prefixes of idle conversations to where their next request will look first. */
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

/** Notes where a moved prefix now is. */
export function onCacheMoved(state: BoxState, event: EventOf<'cacheMoved'>): void {
  const member = serverMember(state, event.serverId);
  if (member?.state === MemberState.dead) return;
  recordPrefixLocation(state, event.affinityHash, event.serverId, event.tokens);
}
