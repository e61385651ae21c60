/** A planned stop: no longer ready, what is open ends, then the process. */
import { RouteKind } from '../types/configuration.js';
import { log, type GatewayState, type Step } from '../state.js';

/** Time in which the platform's balancer stops sending new connections, in ms: two checks, a second each, and one on the way. */
const BALANCER_MS = 3200;
/** Kept before the forced end for the last bytes, in ms. */
const END_MARGIN_MS = 400;

/** Time into a planned stop up to which streams are taken, in ms: the users' figure, 3 s, less one way. */
const STREAMS_TAKEN_MS = 2800;
/** What is left to a plain request at least when it is taken, in ms: over the longest plain deadline. */
const PLAIN_NEEDS_MS = 1200;

/** Whether a planned stop leaves too little time for a request that comes now. */
export function isTooLateToTake(state: GatewayState, nowMs: number, kind: RouteKind): boolean {
  if (state.stoppingSinceMs === undefined) return false;
  const sinceMs = nowMs - state.stoppingSinceMs;
  if (kind === RouteKind.stream) return sinceMs > STREAMS_TAKEN_MS;
  return sinceMs > state.settings.bounds.graceMs - END_MARGIN_MS - PLAIN_NEEDS_MS;
}

/** Begins the stop; a second signal changes nothing. */
export function onStopAsked(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs !== undefined) return;
  state.stoppingSinceMs = step.nowMs;
  log(step, 'stopping', { openRequests: state.requests.size });
}

/** Ends the process once nothing is open, or its time is up. */
export function stopTick(state: GatewayState, step: Step): void {
  if (state.stoppingSinceMs === undefined || state.stopped) return;
  const sinceMs = step.nowMs - state.stoppingSinceMs;
  const timeIsUp = sinceMs >= state.settings.bounds.graceMs - END_MARGIN_MS;
  const idle = state.requests.size === 0 && sinceMs >= BALANCER_MS;
  if (!timeIsUp && !idle) return;
  state.stopped = true;
  log(step, 'stopped', { openRequests: state.requests.size, afterMs: Math.round(sinceMs) });
  step.effects.push({ type: 'stopped' });
}

/** Whether the balancer may send callers here. */
export function isReady(state: GatewayState): boolean {
  return state.active !== undefined && state.serversKnown && state.stoppingSinceMs === undefined;
}
