/** Requests: arrival, the caller's leaving, the end of their time. */
import { hashShare } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { RouteSpec, WorkspaceSpec } from '../types/configuration.js';
import type { PendingRequest, RequestFacts, RequestRecord } from '../types/request.js';
import { log, type GatewayState, type Step } from '../state.js';
import { awaitStart, forgetAwaiting, knowsEnough, takeAwaiting } from './awaiting.js';
import { crashRefusal } from './crashRefusal.js';
import { findRoute } from './configuration.js';
import { cancelAll, giveUp, refuse } from './ending.js';
import { refuseIfLate } from './lateRefusals.js';
import { bookReturnMs, SERVERS_LIMITED } from './statements/returnTimes.js';
import { chargeSend, unitsOf } from './quotas.js';
import { countFirstSend } from './retryBudgets.js';
import { recordAbandonedAnswer } from './rolloutEvidence.js';
import { chooseFor, offer } from './sending.js';
import { isTooLateToAccept } from './shutdown.js';
import { refuseOverLimit, sendOrAwaitUnits } from './waitingSends.js';

/** When to come back to another box after this one's planned stop refused, in ms. */
const STOPPING_RETRY_MS = 100;
/** The engine's scale of urgency, from 0 to this. */
const MAX_URGENCY = 9;
/** Steps of urgency between two priorities of workspaces, so that a route's priority decides within. */
const WORKSPACE_PRIORITY_STEP = 3;

/** Takes a request whose body is whole. */
export function onRequestArrived(
  state: GatewayState,
  step: Step,
  event: EventOf<'requestArrived'>,
): void {
  if (!knowsEnough(state)) return awaitStart(state, step, event);
  takeRequest(state, step, { ...event, arrivedAtMs: step.nowMs });
}

/** Takes the requests that waited for configuration and servers. */
export function awaitingTick(state: GatewayState, step: Step): void {
  for (const request of takeAwaiting(state, step)) takeRequest(state, step, request);
}

function takeRequest(state: GatewayState, step: Step, request: PendingRequest): void {
  const { exchangeId, facts, arrivedAtMs } = request;
  const { active } = state;
  const refuseNow = (status: number, reason: string, retryAfterMs?: number): void => {
    refuse(step, { exchangeId, facts, status, reason, retryAfterMs });
  };
  if (active === undefined) return;
  const route = findRoute(active, facts.host, facts.path);
  if (route === undefined) return refuseNow(404, 'noRoute');
  if (isTooLateToAccept(state, step.nowMs, route.kind)) {
    return refuseNow(503, 'stopping', STOPPING_RETRY_MS);
  }
  const needsKey = active.configuration.workspaces.length > 0 && !route.isPublic;
  const workspace = facts.key === undefined ? undefined : active.workspaceByKey.get(facts.key);
  if (needsKey && workspace === undefined) return refuseNow(401, 'unknownKey');
  const record = createRecord({ exchangeId, facts, route, workspace, nowMs: arrivedAtMs });
  const crash = crashRefusal(state, step, record);
  if (crash !== undefined) return refuseNow(crash.status, crash.reason, crash.retryAfterMs);
  const choice = chooseFor(state, step, record);
  if (choice !== undefined && refuseIfLate(step, record, choice)) return;
  const limitedMs = choice === undefined ? bookReturnMs(state, record, step.nowMs) : undefined;
  if (limitedMs !== undefined) return refuseNow(503, SERVERS_LIMITED, limitedMs);
  state.requests.set(exchangeId, record);
  if (workspace !== undefined && !chargeSend(state, record, workspace, step.nowMs)) {
    if (!sendOrAwaitUnits(state, step, record, workspace)) refuseOverLimit(state, step, record);
    return;
  }
  countFirstSend(state, record.service);
  offer(state, step, record, choice);
}

function createRecord(params: {
  exchangeId: number;
  facts: RequestFacts;
  route: RouteSpec;
  workspace: WorkspaceSpec | undefined;
  nowMs: number;
}): RequestRecord {
  const { exchangeId, facts, route, workspace, nowMs } = params;
  const allowedMs = Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    exchangeId,
    facts,
    route,
    service: pickTarget(route, facts.requestId),
    workspace: workspace?.name,
    units: workspace === undefined ? 0 : unitsOf(workspace, facts),
    chargedAtMs: nowMs,
    chargedToShare: 0,
    urgency: urgencyOf(route, workspace),
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + allowedMs,
    attempts: [],
    excludedServers: new Set(),
    failedToConnect: false,
    relayed: false,
    lastEventId: undefined,
    counted: false,
  };
}

/** The service by the targets' weights; one request id always gets the same. */
function pickTarget(route: RouteSpec, requestId: string): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let point = hashShare(requestId) * total;
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

/** The caller closed its connection: whatever works for it stops. */
export function onCallerGone(state: GatewayState, step: Step, event: EventOf<'callerGone'>): void {
  const record = state.requests.get(event.exchangeId);
  if (record === undefined) return forgetAwaiting(state, event.exchangeId);
  recordAbandonedAnswer(state, step, record);
  cancelAll(state, step, record);
  state.requests.delete(event.exchangeId);
  log(step, 'callerGone', {
    request: record.facts.requestId,
    route: record.route.name,
    heldMs: Math.round(step.nowMs - record.arrivedAtMs),
    relayed: record.relayed,
  });
}

/** Ends requests whose time is up. */
export function requestsTick(state: GatewayState, step: Step): void {
  for (const record of state.requests.values()) {
    if (step.nowMs < record.deadlineAtMs) continue;
    recordAbandonedAnswer(state, step, record);
    giveUp(state, step, record, 'timeIsUp');
  }
}
