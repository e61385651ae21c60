/**
 * Planned shutdown: the box is no longer ready, open requests finish, then the process ends.
 *
 * Each request that the box has read gets a final answer: the server's, a refusal as not run, or one that leaves the
 * outcome open. The box ends once all answers have left, or with the grace period.
 */
import { endsBeforeStop, finalAnswersAfterMs, STREAM_ACCEPT_MS } from '../../policy/stopTimes.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { runPart } from '../../stepFaults.js';
import { RouteKind, type RouteSpec } from '../../types/configuration.js';
import type { LogField } from '../../types/effect.js';
import type { PendingRequest, RequestRecord } from '../../types/request.js';
import { usualTimeMs } from '../requests/answerTimes.js';
import { giveUp, refuse } from '../requests/requestCompletion.js';

/** Time within which the platform's load balancer stops sending new connections, in ms: two health checks a second apart, and one in flight. */
const BALANCER_REACTION_MS = 3200;
/** Retry-After time of requests refused because this box is about to stop, in ms; another box serves them then. */
export const STOPPING_RETRY_MS = 100;
/** Reason of refusals and of final answers because of a stop. */
export const STOPPING_REASON = 'stopping';

/** Returns whether a shutdown leaves too little time for a request that would be sent now. */
export function isTooLateToSend(
  state: GatewayState,
  nowMs: number,
  { route, deadlineAtMs }: { route: RouteSpec; deadlineAtMs: number },
): boolean {
  if (state.stoppingSinceMs === undefined) return false;
  if (state.stopped) return true;
  return !endsBeforeStop({
    kind: route.kind,
    sinceMs: nowMs - state.stoppingSinceMs,
    graceMs: state.settings.bounds.graceMs,
    allowedMs: deadlineAtMs - nowMs,
    usualMs: usualTimeMs(state, route.name, nowMs),
  });
}

/**
 * Returns whether a shutdown leaves too little time to send a request once more. A stream goes on at another server
 * until the end, whenever it came.
 */
export function isTooLateToRepeat(
  state: GatewayState,
  nowMs: number,
  record: RequestRecord,
): boolean {
  return record.route.kind !== RouteKind.stream && isTooLateToSend(state, nowMs, record);
}

/** Returns whether a shutdown leaves too little time for a connection that a peer would use for streams. */
export function isTooLateToConnect(state: GatewayState, nowMs: number): boolean {
  return state.stoppingSinceMs !== undefined && nowMs - state.stoppingSinceMs > STREAM_ACCEPT_MS;
}

/** Returns what a refusal because of a shutdown is decided by, for the log. */
export function stopFields(
  state: GatewayState,
  nowMs: number,
  { route, deadlineAtMs }: { route: RouteSpec; deadlineAtMs: number },
): Readonly<Record<string, LogField>> {
  return {
    route: route.name,
    kind: route.kind,
    stoppingForMs: Math.round(nowMs - (state.stoppingSinceMs ?? nowMs)),
    allowedMs: Math.round(deadlineAtMs - nowMs),
    usualMs: Math.round(usualTimeMs(state, route.name, nowMs) ?? -1),
  };
}

/** Starts the shutdown; a second signal has no effect. */
export function onStopAsked(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs !== undefined) return;
  state.stoppingSinceMs = step.nowMs;
  log(step, 'stopping', { openRequests: state.requests.size });
}

/**
 * Ends the process once no request is open, here or through a tunnel, and the load balancer has reacted, or the grace
 * period is over. `openExchanges` is the number of requests that callers are sending or whose answers have not left.
 */
export function shutdownTick(state: GatewayState, step: Step, openExchanges: number): void {
  if (state.stoppingSinceMs === undefined || state.stopped) return;
  const sinceMs = step.nowMs - state.stoppingSinceMs;
  const timeIsUp = sinceMs >= finalAnswersAfterMs(state.settings.bounds.graceMs);
  const idle = isUnused(state, openExchanges) && sinceMs >= BALANCER_REACTION_MS;
  if (!timeIsUp && !idle) return;
  state.stopped = true;
  log(step, 'stopped', {
    openRequests: state.requests.size,
    openExchanges,
    openTunnels: state.openTunnels,
    afterMs: Math.round(sinceMs),
  });
  giveFinalAnswers(state, step);
  step.effects.push({ type: 'stopped' });
}

function isUnused(state: GatewayState, openExchanges: number): boolean {
  const { requests, openTunnels, pendingRequests, streamVersions } = state;
  const held = pendingRequests.length + streamVersions.lookups.length;
  return openExchanges === 0 && requests.size === 0 && held === 0 && openTunnels === 0;
}

/** Answers every request that is open: as not run if it was not sent, else with the outcome left open. */
function giveFinalAnswers(state: GatewayState, step: Step): void {
  const held = [
    ...state.pendingRequests,
    ...state.streamVersions.lookups.map((one) => one.request),
  ];
  state.pendingRequests = [];
  state.streamVersions.lookups = [];
  for (const request of held) refuseStopped(step, request);
  for (const record of [...state.requests.values()]) {
    runPart(step, () => giveFinalAnswer(state, step, record), record.exchangeId);
  }
}

/** Refuses a request that was not accepted before the final answers were given. */
export function refuseStopped(
  step: Step,
  { exchangeId, facts }: Pick<PendingRequest, 'exchangeId' | 'facts'>,
): void {
  const answer = { status: 503, reason: STOPPING_REASON, retryAfterMs: STOPPING_RETRY_MS };
  refuse(step, { exchangeId, facts, ...answer });
}

function giveFinalAnswer(state: GatewayState, step: Step, record: RequestRecord): void {
  log(step, 'requestOpenAtStop', {
    request: record.facts.requestId,
    ...stopFields(state, step.nowMs, record),
    attempts: record.attempts.length,
    server: record.attempts.at(-1)?.serverId ?? '',
    relayed: record.relayed,
    heldMs: Math.round(step.nowMs - record.arrivedAtMs),
  });
  giveUp(state, step, record, STOPPING_REASON, STOPPING_RETRY_MS);
}

/** Returns whether the load balancer may send requests to this box. */
export function isReady(state: GatewayState): boolean {
  return state.active !== undefined && state.serversKnown && state.stoppingSinceMs === undefined;
}
