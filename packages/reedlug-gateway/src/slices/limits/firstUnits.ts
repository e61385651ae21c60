/** How long requests wait for units of a limit right after the start of a box. */
import type { GatewayState } from '../../state.js';
import type { RouteSpec } from '../../types/configuration.js';

/**
 * Time after the start of a box within which requests wait for units, in ms: gossip reaches members
 * of other groups through two hubs, each of which sends every 200 ms.
 */
const FIRST_UNITS_MS = 1000;
/** Share of a route's target for which they wait at most, and longest wait, in ms. */
const WAIT_SHARE = 0.25;
const MAX_WAIT_MS = 300;

/** Whether requests that find too few units wait for them instead of being refused. */
export function awaitsFirstUnits({ settings, startedAtMs }: GatewayState, nowMs: number): boolean {
  return settings.load.restartReserve && nowMs - startedAtMs < FIRST_UNITS_MS;
}

/** Returns how long a request of a route waits, in ms. */
export function firstUnitsWaitMs({ targetMs }: RouteSpec): number {
  return Math.min(MAX_WAIT_MS, targetMs * WAIT_SHARE);
}
