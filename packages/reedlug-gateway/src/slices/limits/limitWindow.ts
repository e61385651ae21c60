/** The sliding window of limits that the users define, and what a workspace may send in it over all boxes. */
import type { GatewayState } from '../../state.js';
import type { LimitInForce, QuotaView } from '../../types/views.js';

/** Margin added to the users' window, in ms. A request arrives at its server shortly after it was charged. */
const WINDOW_MARGIN_MS = 200;
/** Share of the allowed units that is used. The remainder covers sends that network delays bring closer together. */
const USED_SHARE = 0.98;

/** Returns the length of the windows in which boxes charge their shares, in ms. */
export function chargeWindowMs(state: GatewayState): number {
  return state.settings.bounds.limitWindowMs + WINDOW_MARGIN_MS;
}

/** Units that spans of a window ending now may hold over all boxes, if they begin at `sinceMs` or later. */
export interface WindowAllowance {
  units: number;
  sinceMs: number;
}

/**
 * Returns the bounds of a window that ends now: one for the whole window, and one from each change of the
 * limit on. A limit that changed within the window counts for its fraction of it, so that boxes that
 * learn of the change at different times stay between the two limits. What is sent after a limit was
 * lowered must also fit the lower limit by itself. With the bound of the whole window alone, the next
 * window would hold more than the lower limit.
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

/** Returns the units allowed in a window under successive limits, of which the first holds from the start of the window. */
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
