/** Tries of a caller's request: what it does after a refusal or a lost connection, and how it rates the answer. */
import type { VirtualBox } from '../boxes/virtualBox.js';
import {
  recordAnswered,
  recordBroken,
  recordEvent,
  recordFailed,
  recordRefused,
} from '../report/requestRecord.js';
import {
  recordStreamAttempt,
  recordStreamAttemptLost,
  recordStreamEvent,
} from '../report/streamChecks.js';
import { later, nowMs, type World } from '../world.js';
import { recordLimitRefusal } from '../report/limitRefusals.js';
import {
  hasRetriesLeft,
  isRepeatable,
  type CallerAttempt,
  type CallerRequest,
  type Refusal,
} from './callerAttempt.js';
import type { GeneratedRequest } from './generateRequest.js';
import { pickBox } from './loadBalancer.js';

/** How long a caller waits for a connection that no box answers, in ms. */
const CONNECT_TIMEOUT_MS = 1000;
/** Share of the remaining time up to which a caller waits for a Retry-After. */
const MAX_WAIT_SHARE = 1 / 3;
/** Delay before a caller's retry after a lost connection, in ms. */
const RETRY_DELAY_MS = 50;
/** A caller gives up a stream after the longest of three silences: this one in ms, or a multiple of a target. */
const MIN_SILENCE_TIMEOUT_MS = 2000;
const SILENCE_TARGET_FACTOR = 4;
const SILENCE_GAP_FACTOR = 8;

/** Status with which boxes answer a request that they block because it crashes servers. */
const BLOCKED_STATUS = 500;

/** Returns a request that has not been tried yet. */
export function createRequest(
  world: World,
  params: GeneratedRequest & Pick<CallerRequest, 'spec' | 'zone' | 'workspace'>,
): CallerRequest {
  const { spec } = params;
  const startedAtMs = nowMs(world);
  return {
    ...params,
    startedAtMs,
    deadlineAtMs: startedAtMs + spec.deadlineMs,
    lastEventId: undefined,
    began: undefined,
    isAttemptCounted: false,
    tries: 0,
    reconnects: 0,
    firstEventAtMs: undefined,
    lastEventAtMs: undefined,
    longestGapMs: 0,
    runsInTry: 0,
    arrivalsInTry: 0,
    retriedAfterRefusalAtMs: undefined,
    reachedBoxAtMs: undefined,
    beganAtFirstTry: false,
    isFirstTryOverLimit: false,
    leavesEarly: false,
    crashesServer: undefined,
  };
}

/** Sends a try to a box of the caller's zone, or of any zone when the load balancer uses none there. */
export function sendTry(world: World, request: CallerRequest): void {
  request.tries += 1;
  request.runsInTry = 0;
  request.arrivalsInTry = 0;
  request.reachedBoxAtMs = undefined;
  const leftMs = request.deadlineAtMs - nowMs(world);
  const { facts, lastEventId, began } = request;
  const requestId = `${facts.requestId.split('/')[0] ?? ''}/${request.tries}`;
  const resumedRequestId = began?.requestId;
  request.facts = { ...facts, requestId, deadlineMs: leftMs, lastEventId, resumedRequestId };
  const box = pickBox(world, request.zone);
  const { callerMs } = world.scene.network;
  if (box === undefined)
    return later(world, callerMs, () => handleLostConnection(world, request, 'noBox'));
  if (!box.isListening) {
    const waitMs = box.hasPower ? callerMs : CONNECT_TIMEOUT_MS;
    return later(world, waitMs, () => handleLostConnection(world, request, 'noConnection'));
  }
  later(world, callerMs, () => arriveAtBox(world, request, box));
}

function arriveAtBox(world: World, request: CallerRequest, box: VirtualBox): void {
  if (!box.isListening) return handleLostConnection(world, request, 'noConnection');
  const exchangeId = box.nextExchangeId;
  box.nextExchangeId += 1;
  request.reachedBoxAtMs = nowMs(world);
  const leave = (): void => leaveStream(world, request, { box, exchangeId });
  const attempt = createAttempt(world, request, leave);
  box.exchanges.set(exchangeId, attempt);
  recordStreamAttempt(world, request, box);
  watchTimeouts(world, request, { box, exchangeId, attempt });
  box.emit({ type: 'requestArrived', exchangeId, facts: request.facts });
}

/** Ends the try when the caller's deadline passes or a stream is silent for too long. */
function watchTimeouts(
  world: World,
  request: CallerRequest,
  at: { box: VirtualBox; exchangeId: number; attempt: CallerAttempt },
): void {
  const { box, exchangeId, attempt } = at;
  const { spec } = request;
  const silenceMs = Math.max(
    MIN_SILENCE_TIMEOUT_MS,
    SILENCE_TARGET_FACTOR * spec.targetMs,
    SILENCE_GAP_FACTOR * (spec.gapTargetMs ?? 0),
  );
  const sentAtMs = nowMs(world);
  const giveUpIfDue = (): void => {
    if (box.exchanges.get(exchangeId) !== attempt) return;
    const silentSinceMs = Math.max(sentAtMs, request.lastEventAtMs ?? 0);
    const isSilent = spec.kind === 'stream' && nowMs(world) - silentSinceMs >= silenceMs - 1;
    if (nowMs(world) < request.deadlineAtMs - 1 && !isSilent) return scheduleCheck();
    box.exchanges.delete(exchangeId);
    box.emit({ type: 'callerGone', exchangeId });
    recordFailed(world, request, isSilent ? 'callerLeftSilence' : 'deadline');
  };
  const scheduleCheck = (): void => {
    const silentSinceMs = Math.max(sentAtMs, request.lastEventAtMs ?? 0);
    const dueMs = spec.kind === 'stream' ? silentSinceMs + silenceMs : Number.POSITIVE_INFINITY;
    world.queue.at(Math.min(request.deadlineAtMs, dueMs), giveUpIfDue);
  };
  scheduleCheck();
}

/** Closes the connection of a stream and takes the stream up a moment later. */
function leaveStream(
  world: World,
  request: CallerRequest,
  { box, exchangeId }: { box: VirtualBox; exchangeId: number },
): void {
  if (!box.exchanges.delete(exchangeId)) return;
  box.emit({ type: 'callerGone', exchangeId });
  later(world, RETRY_DELAY_MS, () => sendTry(world, request));
}

function createAttempt(world: World, request: CallerRequest, leave: () => void): CallerAttempt {
  const { callerMs } = world.scene.network;
  return {
    request,
    isSent: false,
    onAnswer() {
      request.beganAtFirstTry ||= request.tries === 1;
      later(world, callerMs, () => recordAnswered(world, request));
    },
    onEvent(event, version) {
      request.beganAtFirstTry ||= request.tries === 1;
      later(world, callerMs, () => {
        recordStreamEvent(world, request, version);
        const atMs = nowMs(world);
        const beforeMs = request.lastEventAtMs;
        if (beforeMs !== undefined) {
          request.longestGapMs = Math.max(request.longestGapMs, atMs - beforeMs);
        }
        request.firstEventAtMs ??= atMs;
        request.lastEventAtMs = atMs;
        recordEvent(world, request, event);
        request.lastEventId = event;
        // Without such a fault no random number is drawn, so that other scenes keep theirs.
        const mayLeave = world.breakShare > 0 && request.spec.resumable && event < request.events;
        if (mayLeave && world.random.chance(world.breakShare)) leave();
      });
    },
    onEnded: () => later(world, callerMs, () => recordAnswered(world, request)),
    onRefused: (refusal) => later(world, callerMs, () => handleRefusal(world, request, refusal)),
    onConnectionLost: () =>
      later(world, callerMs, () => handleLostConnection(world, request, 'connection')),
  };
}

/** Retries after a refusal if the request has not run or is repeatable, at the requested Retry-After. */
function handleRefusal(world: World, request: CallerRequest, refusal: Refusal): void {
  const { status, reason, retryAfterMs } = refusal;
  recordStreamAttemptLost(world, request, status === 429);
  const claimsNotRun = status === 429 || status === 503;
  request.isFirstTryOverLimit ||= request.tries === 1 && status === 429;
  if (status === BLOCKED_STATUS && request.crashesServer === undefined) {
    recordBroken(world, 'innocentKeptOut', request);
  }
  if (claimsNotRun && request.runsInTry > 0) recordBroken(world, 'refusalAfterRun', request);
  if (!claimsNotRun && !isRepeatable(request)) {
    return recordFailed(world, request, `${status} ${reason}`);
  }
  const leftMs = request.deadlineAtMs - nowMs(world);
  const waitMs = retryAfterMs ?? RETRY_DELAY_MS;
  const mayWait = hasRetriesLeft(request) && waitMs <= leftMs * MAX_WAIT_SHARE;
  if (reason === 'overLimit' && status === 429) recordLimitRefusal(world, request, !mayWait);
  if (!mayWait || status === 401 || status === 404) {
    const label = `${status} ${reason}`;
    if (claimsNotRun) return recordRefused(world, request, label);
    return recordFailed(world, request, label);
  }
  later(world, waitMs, () => {
    request.retriedAfterRefusalAtMs = nowMs(world);
    sendTry(world, request);
  });
}

/** Retries after a short delay if the request never reached a box or is repeatable; otherwise it has failed. */
function handleLostConnection(world: World, request: CallerRequest, reason: string): void {
  recordStreamAttemptLost(world, request, false);
  const reachedNoBox = request.reachedBoxAtMs === undefined;
  if (reachedNoBox && request.reconnects < request.spec.reconnects) request.reconnects += 1;
  const mayRetry = reachedNoBox || isRepeatable(request);
  const leftMs = request.deadlineAtMs - nowMs(world);
  if (!mayRetry || !hasRetriesLeft(request) || leftMs <= RETRY_DELAY_MS) {
    return recordFailed(world, request, reason);
  }
  later(world, RETRY_DELAY_MS, () => sendTry(world, request));
}
