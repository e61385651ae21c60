/**
 * Simulates callers: when they arrive, which box they reach, what they do after a
 * refusal or a lost connection, and how they rate the answer.
 */
import { isReady } from 'reedlug-gateway';
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { SceneClass } from '../scene/scene.js';
import {
  recordAnswered,
  recordRequest,
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
import { later, nowMs, nextNumber, type World } from '../world.js';
import { recordLimitRefusal } from '../report/limitRefusals.js';
import {
  hasRetriesLeft,
  isRepeatable,
  type CallerAttempt,
  type CallerRequest,
  type Refusal,
} from './callerAttempt.js';
import {
  generateRequest,
  generateSharedParts,
  type GeneratedRequest,
  workspaceName,
  workspaceShares,
  type SharedParts,
} from './generateRequest.js';

/** Interval of the load balancer's health checks, in ms, and failed checks after which it removes a box. */
const HEALTH_CHECK_INTERVAL_MS = 1000;
const MAX_MISSED_CHECKS = 2;
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

/** How the active faults change the load. */
export interface LoadChanges {
  /** Returns the factor on the rate of a class. */
  factorOf: (className: string) => number;
  /** Factor on the first workspace's share. */
  hotFactor: number;
  /** Share of callers that leave early. */
  leaveShare: number;
}

/** Starts the load balancer and the callers of every zone. */
export function startCallers(world: World, changes: LoadChanges): void {
  checkBoxes(world);
  const shared = generateSharedParts(world.scene, world.random);
  const firstAtMs = world.scene.leadS * 1000;
  for (const zone of world.scene.zones) {
    world.queue.at(firstAtMs, () => startClump(world, { zone, shared, changes }));
  }
}

function checkBoxes(world: World): void {
  for (const box of world.boxes.values()) {
    const isGood = box.isListening && isReady(box.state);
    box.missedChecks = isGood ? 0 : box.missedChecks + 1;
    if (isGood) box.isInRotation = true;
    else if (box.missedChecks >= MAX_MISSED_CHECKS) box.isInRotation = false;
  }
  later(world, HEALTH_CHECK_INTERVAL_MS, () => checkBoxes(world));
}

interface ZoneCallers {
  zone: string;
  shared: SharedParts;
  changes: LoadChanges;
}

/** Starts a clump of callers, and schedules the next one. */
function startClump(world: World, callers: ZoneCallers): void {
  const { scene, random } = world;
  const trafficS = nowMs(world) / 1000 - scene.leadS;
  if (trafficS >= scene.lengthS) return;
  const { perSecond, clump, swing, swingPeriodS } = scene.callers;
  const wave = 1 + swing * Math.sin((2 * Math.PI * trafficS) / swingPeriodS);
  const classes = weightedClasses(world, callers.changes);
  const factor = classes.total / classes.usual;
  const ratePerMs = (perSecond * wave * factor) / scene.zones.length / 1000;
  const size = clump <= 1 ? 1 : 1 + Math.floor(random.exponential(clump - 1) + 0.5);
  for (let index = 0; index < size; index += 1)
    startRequest(world, callers, pickClass(world, classes));
  later(world, random.exponential(clump / ratePerMs), () => startClump(world, callers));
}

interface WeightedClasses {
  weights: number[];
  total: number;
  usual: number;
}

function weightedClasses(world: World, changes: LoadChanges): WeightedClasses {
  const { classes } = world.scene;
  const weights = classes.map(({ name, weight }) => weight * changes.factorOf(name));
  const sum = (numbers: readonly number[]): number => numbers.reduce((a, b) => a + b, 0);
  return { weights, total: sum(weights), usual: sum(classes.map(({ weight }) => weight)) };
}

function pickClass(world: World, { weights, total }: WeightedClasses): SceneClass {
  return world.scene.classes[pickIndex(world, weights, total)] as SceneClass;
}

function pickIndex(world: World, weights: readonly number[], total: number): number {
  let point = world.random.unit() * total;
  for (const [index, weight] of weights.entries()) {
    point -= weight;
    if (point < 0) return index;
  }
  return weights.length - 1;
}

/** Generates a request and sends its first try. */
function startRequest(world: World, callers: ZoneCallers, spec: SceneClass): void {
  const { changes, zone, shared } = callers;
  const shares = workspaceShares(world.scene.workspaces);
  shares[0] = (shares[0] ?? 0) * changes.hotFactor;
  const total = shares.reduce((sum, share) => sum + share, 0);
  const workspace = workspaceName(pickIndex(world, shares, total));
  const number = nextNumber(world, 'requests');
  const generated = generateRequest(world.scene, world.random, { spec, shared, workspace, number });
  const request = createRequest(world, { ...generated, spec, zone, workspace });
  request.leavesEarly = changes.leaveShare > 0 && world.random.chance(changes.leaveShare);
  if (request.leavesEarly) {
    request.deadlineAtMs = nowMs(world) + world.random.unit() * spec.targetMs;
  }
  recordRequest(world, request);
  sendTry(world, request);
}

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

function pickBox(world: World, zone: string): VirtualBox | undefined {
  const boxes = [...world.boxes.values()];
  const ofZone = boxes.filter((box) => box.settings.box.zone === zone);
  const isInRotation = (box: VirtualBox): boolean => box.isInRotation;
  const candidates = ofZone.some(isInRotation)
    ? ofZone.filter(isInRotation)
    : boxes.filter(isInRotation);
  // With fewer candidates than half of the zone's boxes, the load balancer uses all boxes of the zone.
  const usable = candidates.length * 2 < ofZone.length ? ofZone : candidates;
  return usable.length === 0 ? undefined : world.random.pick(usable);
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
