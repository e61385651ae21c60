/** Row in which the lease holder keeps usage counts that must survive the loss of all boxes. */

/** Key of the checkpoint row. */
export const CHECKPOINT_KEY = 'usage-open';

/**
 * Usage counts of the windows that have no row yet. Each array has its counts in the order of
 * `workspaces`.
 */
export interface CheckpointRow {
  workspaces: readonly string[];
  windows: Readonly<Record<string, Readonly<Record<string, readonly number[]>>>>;
  /**
   * Era of the store at the time of writing, and the time by which it had begun, on the agreed
   * clock in ms; missing in rows of older boxes.
   */
  era?: { number: number; sinceWallMs: number };
}
