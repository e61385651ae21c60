/** Keeps the recent changes of the store's rows, so that the store can be restored from a backup. */

/** Time for which changes are kept, in ms; longer than the age of any backup. */
const RETENTION_MS = 15_000;

/** A change of the store. */
export interface StoreChange {
  atMs: number;
  /** Reverts the change. */
  undo: () => void;
  /** Who wrote it: operators and servers rewrite what a restore loses. `key` identifies the row. */
  writer: StoreWriter;
  key: string;
  /** Makes the change again; undefined if its writer does not, or rewrites it in another way. */
  redo: (() => void) | undefined;
}

/** Who writes to the store. */
export const StoreWriter = { operator: 'operator', server: 'server', box: 'box' } as const;
export type StoreWriter = (typeof StoreWriter)[keyof typeof StoreWriter];

/** Changes in the order of their writes. */
export interface StoreHistory {
  recordChange: (change: StoreChange) => void;
  /** Reverts all changes after a time and returns them, newest first. */
  revertAfter: (afterMs: number) => StoreChange[];
}

/** Returns an empty history. */
export function createStoreHistory(): StoreHistory {
  let changes: StoreChange[] = [];
  return {
    recordChange(change) {
      changes.push(change);
      const [oldest] = changes;
      if (oldest === undefined || change.atMs - oldest.atMs < 2 * RETENTION_MS) return;
      changes = changes.filter(({ atMs }) => change.atMs - atMs < RETENTION_MS);
    },
    revertAfter(afterMs) {
      const lost = changes.filter(({ atMs }) => atMs > afterMs).reverse();
      changes = changes.filter(({ atMs }) => atMs <= afterMs);
      for (const { undo } of lost) undo();
      return lost;
    },
  };
}
