/** Changes of the store's rows of the last seconds, so that the store can come back as it was. */

/** Time for which changes are kept, in ms: longer than any copy is old. */
const RETENTION_MS = 15_000;

/** A change that was made. */
export interface StoreChange {
  atMs: number;
  /** Takes the change back. */
  undo: () => void;
  /** Who wrote it, if they write again what is lost; `key` names what they wrote. */
  writer: StoreWriter;
  key: string;
  /** Makes the change again, where its writer would. */
  redo: (() => void) | undefined;
}

/** Who writes to the store. */
export const StoreWriter = { operator: 'operator', server: 'server', box: 'box' } as const;
export type StoreWriter = (typeof StoreWriter)[keyof typeof StoreWriter];

/** Changes in the order in which they were made. */
export interface StoreHistory {
  recordChange: (change: StoreChange) => void;
  /** Takes back all changes after a time; gives them, the newest first. */
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
