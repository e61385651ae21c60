/**
 * Bounds one box's share of a workspace's limit.
 *
 * A box that is lost no longer knows how much of its share it has used, and its next incarnation
 * must not use the share a second time. So a share consists of a burst, which may be sent at
 * once, and a sustained rate, which is added for each ms of a span. Together they make up the
 * share over the window. The next incarnation starts with the burst counted as sent, so that
 * both incarnations together stay within burst and sustained rate over any span.
 *
 * With a reserve, the share has one more part, which is never used in normal operation. The next
 * incarnation may use it at once, so that callers are served while the burst of its predecessor
 * still counts.
 */
import type { WindowBound } from './unitWindow.js';

/** Fractions of a share; they add up to 1. */
interface ShareSplit {
  burst: number;
  sustained: number;
  reserve: number;
}

/**
 * Split without a reserve. A larger sustained rate serves callers sooner after a loss, a smaller
 * one allows larger bursts. With one half, callers that use about half of a limit continue at once
 * after the loss of all boxes, and an idle workspace may send half of its window at once.
 */
const SPLIT: ShareSplit = { burst: 0.5, sustained: 0.5, reserve: 0 };
/**
 * Split with a reserve. Burst and reserve together are no more than the burst of the other split,
 * and the sustained rate is the same, so an incarnation with a reserve may be followed by one
 * without.
 */
const SPLIT_WITH_RESERVE: ShareSplit = { burst: 0.4, sustained: 0.5, reserve: 0.1 };

function splitOf(hasReserve: boolean): ShareSplit {
  return hasReserve ? SPLIT_WITH_RESERVE : SPLIT;
}

/**
 * Returns the bound of a share of `units` per window; its burst, its sustained rate over the window
 * and its reserve add up to `units`.
 */
export function limitShareBound(params: {
  units: number;
  lengthMs: number;
  sinceMs: number;
  hasReserve: boolean;
}): WindowBound {
  const { units, lengthMs, sinceMs, hasReserve } = params;
  const { burst, sustained } = splitOf(hasReserve);
  return { burst: units * burst, perMs: (units * sustained) / lengthMs, sinceMs };
}

/**
 * Returns the units of a share that an incarnation may use while the burst of its predecessor still
 * counts.
 */
export function reservedUnits(units: number, hasReserve: boolean): number {
  return units * splitOf(hasReserve).reserve;
}
