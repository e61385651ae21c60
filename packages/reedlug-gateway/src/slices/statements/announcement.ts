/** When a statement is told to other boxes. */
import type { Announcement } from '../../types/serverStatement.js';

/** Pause after which a change is told once more, in ms: longer than a loss of several datagrams in a row. */
const REPEAT_AFTER_MS = 1000;

/** Whether others are to be told of a change now. */
export function isAnnouncementDue(
  { changedAtMs, announcedAtMs }: Announcement,
  nowMs: number,
): boolean {
  if (announcedAtMs === undefined) return true;
  return announcedAtMs < changedAtMs + REPEAT_AFTER_MS && nowMs >= changedAtMs + REPEAT_AFTER_MS;
}

/** The announcement of a change that others tell, and tell again. */
export function asAnnounced({ changedAtMs }: Announcement): {
  changedAtMs: number;
  announcedAtMs: number;
} {
  return { changedAtMs, announcedAtMs: changedAtMs + REPEAT_AFTER_MS };
}
