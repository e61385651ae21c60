/** The users' window of limits, and what a workspace may send in it over all boxes. */
import type { GatewayState } from '../state.js';
import type { LimitInForce, QuotaView } from '../types/views.js';

/** Kept beyond the users' window, in ms: a request arrives at its server a little after it was charged. */
const WINDOW_MARGIN_MS = 200;
/** Part of what the users allow that is used: the rest is for sends that a slow way brings together. */
const USED_SHARE = 0.98;

/** Length of the windows in which boxes charge their parts, in ms. */
export function chargeWindowMs(state: GatewayState): number {
  return state.settings.bounds.limitWindowMs + WINDOW_MARGIN_MS;
}

/** What spans of a window that ends now may hold over all boxes, if they begin at a time or later. */
export interface WindowAllowance {
  units: number;
  sinceMs: number;
}

/**
 * The bounds of a window that ends now: one for the whole of it, and one from each change
 * of the limit on. A limit that changed within it counts for its part of the window, so
 * that boxes that learn of it one after another stay between the two. What is sent after a
 * limit was lowered must fit the lower one by itself: as a part of the window alone, more
 * than that would go through in the window after it.
 */
export function windowBounds(
  state: GatewayState,
  { limits }: QuotaView,
  nowMs: number,
): WindowAllowance[] {
  const windowStartMs = nowMs - state.settings.bounds.limitWindowMs;
  while (limits.length > 1 && (limits[1] as LimitInForce).fromMs <= windowStartMs) limits.shift();
  return limits.map(({ fromMs }, index) => {
    const sinceMs = index === 0 ? Number.NEGATIVE_INFINITY : fromMs;
    return { units: unitsAllowed(state, limits.slice(index), nowMs), sinceMs };
  });
}

/** Units of a window under limits one after another, the first from the window's begin on. */
function unitsAllowed(state: GatewayState, limits: readonly LimitInForce[], nowMs: number): number {
  const { limitWindowMs, limitOverShare, limitSlackUnits } = state.settings.bounds;
  const windowStartMs = nowMs - limitWindowMs;
  let units = 0;
  let burst = 0;
  limits.forEach((limit, index) => {
    const fromMs = Math.max(windowStartMs, index === 0 ? windowStartMs : limit.fromMs);
    const untilMs = limits[index + 1]?.fromMs ?? nowMs;
    units += (limit.ratePerSecond * Math.max(0, untilMs - fromMs)) / 1000;
    burst = Math.max(burst, limit.burst);
  });
  return ((units + burst) * (1 + limitOverShare) + limitSlackUnits) * USED_SHARE;
}
