/** Planned shutdown: the box is no longer ready, open requests finish, then the process ends. */
import { RouteKind } from '../../types/configuration.js';
import { log, type GatewayState, type Step } from '../../state.js';

/** Time within which the platform's load balancer stops sending new connections, in ms: two health checks a second apart, and one in flight. */
const BALANCER_REACTION_MS = 3200;
/** Time reserved for the last bytes before the process is forced to end, in ms. */
const SHUTDOWN_MARGIN_MS = 400;

/** Time from the start of a shutdown for which streams are accepted, in ms: the 3 s that the users require, less a network delay. */
const STREAM_ACCEPT_MS = 2800;
/** Minimum time left for a plain request to be accepted, in ms: above the longest deadline of a plain request. */
const MIN_PLAIN_REQUEST_MS = 1200;

/** Returns whether a shutdown leaves too little time for a request that arrives now. */
export function isTooLateToAccept(state: GatewayState, nowMs: number, kind: RouteKind): boolean {
  if (state.stoppingSinceMs === undefined) return false;
  const sinceMs = nowMs - state.stoppingSinceMs;
  if (kind === RouteKind.stream) return sinceMs > STREAM_ACCEPT_MS;
  return sinceMs > state.settings.bounds.graceMs - SHUTDOWN_MARGIN_MS - MIN_PLAIN_REQUEST_MS;
}

/** Starts the shutdown; a second signal has no effect. */
export function onStopAsked(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs !== undefined) return;
  state.stoppingSinceMs = step.nowMs;
  log(step, 'stopping', { openRequests: state.requests.size });
}

/** Ends the process once no request is open, here or through a tunnel, and the load balancer has reacted, or the grace period is over. */
export function shutdownTick(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs === undefined || state.stopped) return;
  const sinceMs = step.nowMs - state.stoppingSinceMs;
  const timeIsUp = sinceMs >= state.settings.bounds.graceMs - SHUTDOWN_MARGIN_MS;
  const isUnused = state.requests.size === 0 && state.openTunnels === 0;
  const idle = isUnused && sinceMs >= BALANCER_REACTION_MS;
  if (!timeIsUp && !idle) return;
  state.stopped = true;
  log(step, 'stopped', { openRequests: state.requests.size, afterMs: Math.round(sinceMs) });
  step.effects.push({ type: 'stopped' });
}

/** Returns whether the load balancer may send requests to this box. */
export function isReady(state: GatewayState): boolean {
  return state.active !== undefined && state.serversKnown && state.stoppingSinceMs === undefined;
}
