/** Speed of a server as other decisions use it. */
import type { GatewayState } from '../../state.js';
import type { LogField } from '../../types/effect.js';
import type { ServerView } from '../../types/views.js';

/**
 * Age from which speeds are no longer used, in ms: more than twice the interval at 12,000 servers.
 * The box was suspended then, and servers may have changed meanwhile.
 */
const MAX_AGE_MS = 15_000;

/**
 * Returns the speed of a server: 1 for the mean of its service, 2 for a server twice as fast.
 * It is exactly 1 while `learnServerSpeeds` is off, or while the service's servers do not
 * differ beyond noise.
 */
export function speedOf(state: GatewayState, view: ServerView, nowMs: number): number {
  const { settings, serverSpeeds } = state;
  if (!settings.load.learnServerSpeeds) return 1;
  const speeds = serverSpeeds.services.get(view.entry.service);
  if (speeds?.inUse !== true || nowMs - speeds.computedAtMs > MAX_AGE_MS) return 1;
  const known = speeds.byServer.get(view.entry.id);
  return known?.bornAtMs === view.entry.bornAtMs ? (known?.speed ?? 1) : 1;
}

/** Returns the log fields of a send: the speed behind its expected time, and the estimate's age. */
export function speedLogFields(
  state: GatewayState,
  view: ServerView,
  nowMs: number,
): Readonly<Record<string, LogField>> {
  if (!state.settings.load.learnServerSpeeds) return {};
  const { computedAtMs = nowMs } = state.serverSpeeds.services.get(view.entry.service) ?? {};
  const speed = speedOf(state, view, nowMs).toFixed(2);
  return { speed, speedAgeMs: Math.round(nowMs - computedAtMs) };
}

/** Returns the mean speed of a service's servers that accept requests; 1 if there are none. */
export function meanSpeedOf(state: GatewayState, service: string, nowMs: number): number {
  if (state.serverSpeeds.services.get(service)?.inUse !== true) return 1;
  let speeds = 0;
  let servers = 0;
  for (const view of state.servers.values()) {
    if (view.entry.service !== service || view.leaving) continue;
    speeds += speedOf(state, view, nowMs);
    servers += 1;
  }
  return servers === 0 ? 1 : speeds / servers;
}
