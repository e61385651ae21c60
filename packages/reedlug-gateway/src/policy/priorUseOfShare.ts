/**
 * Possible earlier use of a share of the limits that a box acquires, for which the box charges itself.
 *
 * Answers a box that joins, alone or with all others. That no other box holds a share shows that the share
 * is unused only if this box is new: after a loss of all boxes none of them knows what its earlier
 * incarnation used.
 */
import type { PriorUse } from '../types/limitShare.js';

/** Returns the possible earlier use of a share. */
export function priorUseOfShare(params: {
  /** Time up to which other boxes may have divided by fewer boxes; undefined if none holds a share. */
  dividedAtMs: number | undefined;
  /** Time up to which an earlier incarnation of the box may have run; undefined if there was none. */
  earlierLifeEndedAtMs: number | undefined;
  /** Time for which use counts, in ms. */
  windowMs: number;
}): PriorUse {
  const { dividedAtMs, earlierLifeEndedAtMs, windowMs } = params;
  if (earlierLifeEndedAtMs === undefined) {
    return dividedAtMs === undefined ? { kind: 'unused' } : { kind: 'joined', atMs: dividedAtMs };
  }
  // Use by others that had left the window when the earlier incarnation ended is over for this one too.
  if (dividedAtMs === undefined || dividedAtMs < earlierLifeEndedAtMs - windowMs) {
    return { kind: 'earlierLife', atMs: earlierLifeEndedAtMs };
  }
  return { kind: 'joined', atMs: Math.max(dividedAtMs, earlierLifeEndedAtMs) };
}
