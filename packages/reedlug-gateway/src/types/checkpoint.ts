/** The row in which the holder of the lease keeps what must outlive a loss of all boxes. */

/** Key of the row. */
export const CHECKPOINT_KEY = 'usage-open';

/** Counts of the windows that are not entered yet, in the order of the workspaces' names. */
export interface CheckpointRow {
  workspaces: readonly string[];
  windows: Readonly<Record<string, Readonly<Record<string, readonly number[]>>>>;
  /** The store's era when it was written, and by when that was known to be, by the agreed clock in ms; missing in rows of an earlier version. */
  era?: { number: number; sinceWallMs: number };
}
