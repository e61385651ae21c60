/** A planned stop: no longer ready, what is open ends, then the process. */
import { RouteKind } from '../types/configuration.js';
import { log, type GatewayState, type Step } from '../state.js';

/** Time in which the platform's balancer stops sending new connections, in ms: two checks, a second each, and one on the way. */
const BALANCER_REACTION_MS = 3200;
/** Kept before the forced end for the last bytes, in ms. */
const SHUTDOWN_MARGIN_MS = 400;

/** Time into a planned stop up to which streams are taken, in ms: the users' figure, 3 s, less one way. */
const STREAM_ACCEPT_MS = 2800;
/** What is left to a plain request at least when it is taken, in ms: over the longest plain deadline. */
const MIN_PLAIN_REQUEST_MS = 1200;

/** Whether a planned stop leaves too little time for a request that comes now. */
export function isTooLateToAccept(state: GatewayState, nowMs: number, kind: RouteKind): boolean {
  if (state.stoppingSinceMs === undefined) return false;
  const sinceMs = nowMs - state.stoppingSinceMs;
  if (kind === RouteKind.stream) return sinceMs > STREAM_ACCEPT_MS;
  return sinceMs > state.settings.bounds.graceMs - SHUTDOWN_MARGIN_MS - MIN_PLAIN_REQUEST_MS;
}

/** Begins the stop; a second signal changes nothing. */
export function onStopAsked(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs !== undefined) return;
  state.stoppingSinceMs = step.nowMs;
  log(step, 'stopping', { openRequests: state.requests.size });
}

/** Ends the process once nothing is open, or its time is up. */
export function shutdownTick(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs === undefined || state.stopped) return;
  const sinceMs = step.nowMs - state.stoppingSinceMs;
  const timeIsUp = sinceMs >= state.settings.bounds.graceMs - SHUTDOWN_MARGIN_MS;
  const idle = state.requests.size === 0 && sinceMs >= BALANCER_REACTION_MS;
  if (!timeIsUp && !idle) return;
  state.stopped = true;
  log(step, 'stopped', { openRequests: state.requests.size, afterMs: Math.round(sinceMs) });
  step.effects.push({ type: 'stopped' });
}

/** Whether the balancer may send callers here. */
export function isReady(state: GatewayState): boolean {
  return state.active !== undefined && state.serversKnown && state.stoppingSinceMs === undefined;
}
