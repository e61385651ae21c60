/** Decides when a server statement is sent to other boxes. */
import type { Announcement } from '../../types/serverStatement.js';

/** Delay after which a change is sent a second time, in ms; longer than a burst of several lost datagrams. */
const REPEAT_AFTER_MS = 1000;

/** Returns whether a change is due to be sent now: at once, and a second time after the delay. */
export function isAnnouncementDue(
  { changedAtMs, announcedAtMs }: Announcement,
  nowMs: number,
): boolean {
  if (announcedAtMs === undefined) return true;
  return announcedAtMs < changedAtMs + REPEAT_AFTER_MS && nowMs >= changedAtMs + REPEAT_AFTER_MS;
}

/** Returns the announcement of a change that another box sends, both times, so that this box need not. */
export function asAnnounced({ changedAtMs }: Announcement): {
  changedAtMs: number;
  announcedAtMs: number;
} {
  return { changedAtMs, announcedAtMs: changedAtMs + REPEAT_AFTER_MS };
}
