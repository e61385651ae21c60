/**
 * One box's part of a workspace's limit.
 *
 * A box that is lost takes with it what it knew of its part, and its next life must not
 * send it a second time. So a part has a burst, which may be sent at one moment, and a
 * flow, which may be sent on top for each ms of a span. Together they make the part over
 * the window. A next life begins with the burst counted as sent at its start: whatever the
 * earlier one did, both together stay within burst and flow over any span.
 */
import type { WindowBound } from './unitWindow.js';

/**
 * Share of a part that flows. More of it serves callers sooner after a loss, less lets
 * more be sent at one moment. With the half, callers that use 0.55 of a limit go on at once
 * after the loss of all boxes, and an idle workspace may send half of its window at a moment.
 */
const SUSTAINED_SHARE = 0.5;

/** A part of so many units of the window; its burst and its flow over the window make the whole. */
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
