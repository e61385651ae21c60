/**
 * Counts of requests that started before the clock of the fleet is agreed.
 *
 * A box that has just started knows the agreed offset from a peer, or after a loss of all boxes from the store, up
 * to a second later. Its own wall clock may be off by seconds, and would put its counts into other windows.
 */
import type { GatewayState } from '../../state.js';
import type { UnplacedCount } from '../../types/views.js';

/** Span within which starts are counted together, in ms; small compared with a window. */
const SPAN_MS = 100;
/** Maximum number of counts kept, for a box that never agrees on a clock. */
const MAX_UNPLACED = 600;

/** Whether this box knows the agreed clock. */
export function hasAgreedClock({ storeEpochMs, agreedClockOffsetMs }: GatewayState): boolean {
  return storeEpochMs !== undefined && agreedClockOffsetMs !== undefined;
}

/** Counts a start whose window is not known yet; returns false if too many are kept. */
export function countUnplaced(
  { unplacedUsage }: GatewayState,
  { workspace, nowMs }: { workspace: string; nowMs: number },
): boolean {
  const known = unplacedUsage.find(
    (other) => other.workspace === workspace && nowMs - other.atMs < SPAN_MS,
  );
  if (known !== undefined) {
    known.count += 1;
    return true;
  }
  if (unplacedUsage.length >= MAX_UNPLACED) return false;
  unplacedUsage.push({ atMs: nowMs, workspace, count: 1 });
  return true;
}

/** Removes and returns the counts whose windows are known by now. */
export function takeUnplaced(state: GatewayState): UnplacedCount[] {
  if (state.unplacedUsage.length === 0 || !hasAgreedClock(state)) return [];
  return state.unplacedUsage.splice(0);
}
