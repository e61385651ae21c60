/**
 * Decides whether a box closes new connections before it reads them.
 *
 * A box whose thread has no time to spare serves nobody in time: each new connection makes all others
 * wait longer, and callers are held in silence. A connection that is closed unread costs little, and
 * its caller meets another box.
 */
import type { OverloadState, ThreadLoad } from '../types/threadLoad.js';

/** Share of the time from which the thread has none to spare. */
export const BUSY_SHARE = 0.95;
/** Time without time to spare before new connections are closed, in ms: parsing a large configuration takes as long. */
const BUSY_BEFORE_CLOSING_MS = 600;
/** The same shortly after an overload: what is accepted in between has to be served then. */
const BUSY_BEFORE_CLOSING_AGAIN_MS = 150;
/** Time for which an overload counts as recent, in ms. */
const RECENT_OVERLOAD_MS = 5000;
/** Time from its start for which a box accepts all connections, in ms: all boxes may have started together. */
const START_MS = 5000;

/** Returns the time since which the thread has been without time to spare. */
export function busySince(
  { busySinceMs }: OverloadState,
  { busyShare }: ThreadLoad,
  nowMs: number,
): number | undefined {
  return busyShare < BUSY_SHARE ? undefined : (busySinceMs ?? nowMs);
}

/** Returns whether new connections are closed unread. */
export function closesConnections(
  { busySinceMs, lastEndedAtMs, hasBeenIdle }: OverloadState,
  { nowMs, ageMs }: { nowMs: number; ageMs: number },
): boolean {
  // Where the load can't be measured, the thread never seems to be idle.
  if (busySinceMs === undefined || !hasBeenIdle || ageMs < START_MS) return false;
  const isRecent = nowMs - lastEndedAtMs < RECENT_OVERLOAD_MS;
  const requiredMs = isRecent ? BUSY_BEFORE_CLOSING_AGAIN_MS : BUSY_BEFORE_CLOSING_MS;
  return nowMs - busySinceMs >= requiredMs;
}
