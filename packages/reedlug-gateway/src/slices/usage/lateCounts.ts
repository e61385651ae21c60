/**
 * Boxes whose counts of a usage window may still arrive.
 *
 * A window is decided once, so counts that arrive later are never reported. While a zone is
 * partitioned, its boxes keep counting, and their counts arrive as soon as the partition ends. The
 * report is due seconds after the window, so the decision can wait for them. Boxes that were silent
 * during the whole window are not waited for: they may be lost for good, and each window would be
 * decided late.
 */
import type { GatewayState } from '../../state.js';
import type { UsageWindow } from '../../types/views.js';

/**
 * Maximum difference of the agreed clock between boxes, in ms; the delay of a slow answer of the
 * store.
 */
export const CLOCK_SLACK_MS = 500;

/** Records that this box has received all counts that a box had at that time. */
export function recordUsageReceived(state: GatewayState, boxId: string, nowMs: number): void {
  // An entry is dropped together with its peer.
  if (state.peers.has(boxId)) state.usageReceivedAtMs.set(boxId, nowMs);
}

/**
 * Returns the listed boxes that may still send counts of a window: they were heard in it, but have
 * sent nothing since its end. `endMs` is the end of the window on this box's clock.
 */
export function boxesWithLateCounts(
  state: GatewayState,
  entry: UsageWindow,
  endMs: number,
): string[] {
  const startMs = endMs - state.settings.bounds.usageWindowMs;
  const late: string[] = [];
  for (const peer of state.peers.values()) {
    if (!peer.listed) continue;
    const receivedAtMs = state.usageReceivedAtMs.get(peer.boxId) ?? Number.NEGATIVE_INFINITY;
    if (receivedAtMs >= endMs + CLOCK_SLACK_MS) continue;
    if (receivedAtMs >= startMs || hasCounts(entry, peer.boxId)) late.push(peer.boxId);
  }
  return late;
}

/**
 * Returns whether a box has counts in the window, for example in the checkpoint of an earlier
 * holder of the lease.
 */
function hasCounts({ byBox }: UsageWindow, boxId: string): boolean {
  for (const boxKey of byBox.keys()) {
    if (boxKey.slice(0, boxKey.lastIndexOf('/')) === boxId) return true;
  }
  return false;
}
