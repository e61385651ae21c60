/** Arrival of requests, disconnects of their callers, and deadlines. */
import { hashFraction } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import type { LogField } from '../../types/effect.js';
import { RouteKind, type RouteSpec, type WorkspaceSpec } from '../../types/configuration.js';
import type { PendingRequest, RequestFacts, RequestRecord } from '../../types/request.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { runPart } from '../../stepFaults.js';
import {
  addPendingRequest,
  removePendingRequest,
  arrivedRequest,
  isReadyForRequests,
  takeReadyRequests,
} from './pendingRequests.js';
import { crashRefusal } from '../crashes/crashRefusal.js';
import { findRoute } from '../store/configuration.js';
import { cancelAll, giveUp, refuse } from './requestCompletion.js';
import { recordAnswerTime } from './answerTimes.js';
import { refuseIfLate } from './lateRefusals.js';
import { reserveRetryAfterMs, SERVERS_LIMITED } from '../statements/retryAfterTimes.js';
import { unitsOf } from '../limits/quotas.js';
import { chargeFirstSend } from '../limits/unitReservations.js';
import { countFirstSend } from './retryBudgets.js';
import { recordAbandonedAnswer } from '../rollouts/rolloutEvidence.js';
import { chooseServerFor, sendOrGiveUp } from './sending.js';
import {
  isTooLateToSend,
  refuseStopped,
  stopFields,
  STOPPING_REASON,
  STOPPING_RETRY_MS,
} from '../lifecycle/shutdown.js';
import { holdForFirstUnits } from '../limits/restartReserve.js';
import { hasServersOfVersion } from '../streamVersions/resumeRule.js';
import {
  decideTakeUp,
  lookupsTick,
  removeLookup,
  takeResolvedRequests,
  type TakeUpDecision,
} from '../streamVersions/takeUps.js';
import { refuseOverLimit, requestAndAwaitUnits } from '../limits/waitingSends.js';

/** Retry-After time of streams whose version is unknown, in ms: a box that knows the stream may answer again by then. */
const VERSION_RETRY_MS = 1000;
/** The same for streams whose version is served nowhere, in ms: it comes back only with a roll-out that is reversed. */
const NO_VERSION_RETRY_MS = 5000;
/** Largest value on the engines' urgency scale; 0 is the most urgent. */
const MAX_URGENCY = 9;
/** Urgency steps per workspace priority: a route's priority only orders requests within its workspace's steps. */
const WORKSPACE_PRIORITY_STEP = 3;

/** Handles a request whose body has been received completely. */
export function onRequestArrived(
  state: GatewayState,
  step: Step,
  event: EventOf<'requestArrived'>,
): void {
  if (state.stopped) return refuseStopped(step, event);
  if (!isReadyForRequests(state)) return addPendingRequest(state, step, event);
  acceptRequest(state, step, arrivedRequest(step, event));
}

/** Accepts the requests that waited for configuration and servers. */
export function pendingRequestsTick(state: GatewayState, step: Step): void {
  acceptEach(state, step, takeReadyRequests(state, step));
}

function acceptEach(state: GatewayState, step: Step, requests: readonly PendingRequest[]): void {
  for (const request of requests) {
    runPart(step, () => acceptRequest(state, step, request), request.exchangeId);
  }
}

/** Whether this box still has the request of an exchange: one in progress, or one that waits to be accepted. */
export function hasRequest(state: GatewayState, exchangeId: number): boolean {
  if (state.requests.has(exchangeId)) return true;
  const waiting = [
    ...state.pendingRequests,
    ...state.streamVersions.lookups.map(({ request }) => request),
  ];
  return waiting.some((request) => request.exchangeId === exchangeId);
}

function acceptRequest(state: GatewayState, step: Step, request: PendingRequest): void {
  const { exchangeId, facts, arrivedAtMs } = request;
  const { active } = state;
  const refuseNow = (
    status: number,
    reason: string,
    retryAfterMs?: number,
    details: Readonly<Record<string, LogField>> = {},
  ): void => {
    refuse(step, { exchangeId, facts, status, reason, retryAfterMs, details });
  };
  if (active === undefined) return;
  const route = findRoute(active, facts.host, facts.path);
  if (route === undefined) return refuseNow(404, 'noRoute');
  const due = { route, deadlineAtMs: arrivedAtMs + allowedMsOf(facts, route) };
  if (isTooLateToSend(state, step.nowMs, due)) {
    const details = stopFields(state, step.nowMs, due);
    return refuseNow(503, STOPPING_REASON, STOPPING_RETRY_MS, details);
  }
  const needsKey = active.configuration.workspaces.length > 0 && !route.isPublic;
  const workspace = facts.key === undefined ? undefined : active.workspaceByKey.get(facts.key);
  if (needsKey && workspace === undefined) return refuseNow(401, 'unknownKey');
  const { reservedAtMs } = request;
  const record = createRecord({
    ...{ exchangeId, facts, route, workspace, reservedAtMs, nowMs: arrivedAtMs },
    readLateMs: request.readLateMs ?? 0,
  });
  const takeUp = decideTakeUp(state, step, request, record);
  if (takeUp.kind === 'held') return;
  // A request that waits for its first units comes here with each tick.
  if (request.awaitsUnits === undefined) logTakeUp(step, facts, takeUp);
  const versionFault = applyTakeUp(state, record, takeUp);
  if (versionFault !== undefined) {
    const isGone = versionFault === 'noServerOfVersion';
    return refuseNow(503, versionFault, isGone ? NO_VERSION_RETRY_MS : VERSION_RETRY_MS);
  }
  const refusal = crashRefusal(state, step, record);
  if (refusal !== undefined) return refuseNow(refusal.status, refusal.reason, refusal.retryAfterMs);
  const choice = chooseServerFor(state, step, record);
  if (choice !== undefined && refuseIfLate(state, step, record, choice)) return;
  const retryAfterMs =
    choice === undefined ? reserveRetryAfterMs(state, record, step.nowMs) : undefined;
  if (retryAfterMs !== undefined) return refuseNow(503, SERVERS_LIMITED, retryAfterMs);
  state.requests.set(exchangeId, record);
  if (workspace !== undefined && !chargeFirstSend(state, step, record, workspace)) {
    if (requestAndAwaitUnits(state, step, record, workspace)) return;
    if (holdForFirstUnits(state, step, request, record)) return;
    return refuseOverLimit(state, step, record);
  }
  countFirstSend(state, record.service);
  sendOrGiveUp(state, step, record, choice);
}

/** Accepts or refuses the streams that are taken up whose version is known by now, or will not be. */
export function resumedStreamsTick(state: GatewayState, step: Step): void {
  lookupsTick(state, step);
  acceptEach(state, step, takeResolvedRequests(state));
}

/**
 * Binds a request to the service and the version at which its stream began; returns the reason if the
 * stream can't go on.
 */
function applyTakeUp(
  state: GatewayState,
  record: RequestRecord,
  takeUp: Exclude<TakeUpDecision, { kind: 'held' }>,
): string | undefined {
  if (takeUp.kind === 'new') return undefined;
  if (takeUp.kind === 'unknown') return 'streamVersionUnknown';
  const { service, version } = takeUp;
  if (!record.route.targets.some((target) => target.service === service))
    return 'streamServiceMoved';
  record.service = service;
  record.beganAtVersion = version;
  return hasServersOfVersion(state, record) ? undefined : 'noServerOfVersion';
}

/** Logs the version at which a stream goes on that is taken up, and what shows it. */
function logTakeUp(step: Step, facts: RequestFacts, takeUp: TakeUpDecision): void {
  if (takeUp.kind !== 'goOn') return;
  const { version, source, ageMs, isStartKnown } = takeUp;
  log(step, 'streamTakenUp', {
    request: facts.requestId,
    resumes: facts.resumedRequestId ?? '',
    lastEvent: facts.lastEventId ?? -1,
    version,
    source,
    isStartKnown,
    ageMs: Math.round(ageMs),
  });
}

function createRecord(params: {
  exchangeId: number;
  facts: RequestFacts;
  route: RouteSpec;
  workspace: WorkspaceSpec | undefined;
  reservedAtMs: number | undefined;
  readLateMs: number;
  nowMs: number;
}): RequestRecord {
  const { exchangeId, facts, route, workspace, reservedAtMs, readLateMs, nowMs } = params;
  return {
    exchangeId,
    facts,
    route,
    service: pickService(route, facts.requestId),
    workspace: workspace?.name,
    units: workspace === undefined ? 0 : unitsOf(workspace, facts),
    chargedAtMs: nowMs,
    chargedToShare: 0,
    urgency: urgencyOf(route, workspace),
    arrivedAtMs: nowMs,
    readLateMs,
    deadlineAtMs: nowMs + allowedMsOf(facts, route),
    attempts: [],
    excludedServers: new Set(),
    failedToConnect: false,
    relayed: false,
    lastEventId: undefined,
    beganAtVersion: undefined,
    isBeginUncertain: false,
    counted: false,
    reservedAtMs,
  };
}

/** Returns the time that a request may take, in ms. */
function allowedMsOf(facts: RequestFacts, route: RouteSpec): number {
  return Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
}

/** Picks the service by the targets' weights, always the same one for a request id. */
function pickService(route: RouteSpec, requestId: string): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let point = hashFraction(requestId) * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.at(-1)?.service ?? '';
}

function urgencyOf(route: RouteSpec, workspace: WorkspaceSpec | undefined): number {
  const base = (workspace?.priority ?? 0) * WORKSPACE_PRIORITY_STEP;
  return Math.min(MAX_URGENCY, base + Math.min(route.priority, WORKSPACE_PRIORITY_STEP - 1));
}

/** Cancels a request whose caller has closed its connection. */
export function onCallerGone(state: GatewayState, step: Step, event: EventOf<'callerGone'>): void {
  const record = state.requests.get(event.exchangeId);
  if (record === undefined) {
    removeLookup(state, event.exchangeId);
    return removePendingRequest(state, event.exchangeId);
  }
  recordAbandonedAnswer(state, step, record);
  cancelAll(state, step, record);
  state.requests.delete(event.exchangeId);
  log(step, 'callerGone', {
    request: record.facts.requestId,
    route: record.route.name,
    heldMs: Math.round(step.nowMs - record.arrivedAtMs),
    readLateMs: Math.round(record.readLateMs),
    lateMs: Math.round(event.lateMs ?? 0),
    relayed: record.relayed,
  });
}

/** Gives up requests whose deadline has passed. */
export function requestsTick(state: GatewayState, step: Step): void {
  for (const record of state.requests.values()) {
    if (step.nowMs < record.deadlineAtMs) continue;
    runPart(step, () => giveUpLate(state, step, record), record.exchangeId);
  }
}

/** Records that a further send was awaited until the deadline: the route may be slow, rather than several servers silent. */
function recordLongWait(state: GatewayState, { nowMs }: Step, record: RequestRecord): void {
  const { route, attempts } = record;
  const last = attempts.at(-1);
  if (route.kind === RouteKind.stream || attempts.length < 2 || last?.open !== true) return;
  recordAnswerTime(state, { routeName: route.name, tookMs: nowMs - last.sentAtMs, nowMs });
}

function giveUpLate(state: GatewayState, step: Step, record: RequestRecord): void {
  recordAbandonedAnswer(state, step, record);
  recordLongWait(state, step, record);
  giveUp(state, step, record, 'timeIsUp');
}
