/**
 * Bounds one box's share of a workspace's limit.
 *
 * A box that is lost no longer knows how much of its share it has used, and its next incarnation
 * must not use the share a second time. So a share consists of a burst, which may be sent at
 * once, and a sustained rate, which is added for each ms of a span. Together they make up the
 * share over the window. The next incarnation starts with the burst counted as sent, so that
 * both incarnations together stay within burst and sustained rate over any span.
 */
import type { WindowBound } from './unitWindow.js';

/**
 * Fraction of a share that is granted as sustained rate. A larger one serves callers sooner after
 * a loss, a smaller one allows larger bursts. With one half, callers that use 0.55 of a limit
 * continue at once after the loss of all boxes, and an idle workspace may send half of its
 * window at once.
 */
const SUSTAINED_SHARE = 0.5;

/**
 * Returns the bound of a share of `units` per window; its burst and its sustained rate over the
 * window add up to `units`.
 */
export function limitShareBound(params: {
  units: number;
  lengthMs: number;
  sinceMs: number;
}): WindowBound {
  const { units, lengthMs, sinceMs } = params;
  return {
    burst: units * (1 - SUSTAINED_SHARE),
    perMs: (units * SUSTAINED_SHARE) / lengthMs,
    sinceMs,
  };
}
