/** Test fixture of the store's table: answers that are lost, writes that are executed late, restores from a backup. */
import type { TableAnswer, TableOp, TableRow } from 'reedlug-coordination';
import type { StoreTableReply } from '../../adapter.js';

interface Contents {
  rows: Map<string, TableRow>;
  version: number;
}

/** A table whose time is controlled by the test. */
export interface FaultyStore {
  era: number;
  contents: Contents;
  /** Calls executed, by key. */
  calls: Map<string, number>;
  /** Executes a call at a time. */
  execute: (op: TableOp, nowMs: number) => StoreTableReply;
  /** Goes back to the contents of an earlier time, versions included, in a new era. */
  restoreTo: (atMs: number) => void;
}

/** Returns an empty store; times are those of the test, and the store's clock is ahead by some value. */
export function createFaultyStore(clockAheadMs = 5_000_000): FaultyStore {
  const history: { atMs: number; contents: Contents }[] = [];
  const store: FaultyStore = {
    era: 1,
    contents: { rows: new Map(), version: 0 },
    calls: new Map(),
    execute(op, nowMs) {
      const key = op.kind === 'transact' ? op.writes[0]?.key : 'keys' in op ? op.keys[0] : '';
      store.calls.set(key ?? '', (store.calls.get(key ?? '') ?? 0) + 1);
      const answer = op.kind === 'transact' ? write(op, nowMs) : read(op);
      return { answer, storeNowMs: nowMs + clockAheadMs, era: store.era };
    },
    restoreTo(atMs) {
      const backup = history.findLast((entry) => entry.atMs <= atMs);
      store.contents = copyOf(backup?.contents ?? { rows: new Map(), version: 0 });
      store.era += 1;
    },
  };
  const read = (op: TableOp): TableAnswer => {
    const keys = op.kind === 'read' ? op.keys : [];
    const rows = keys.map((key) => store.contents.rows.get(key)).filter((row) => row !== undefined);
    return { kind: 'done', rows };
  };
  const write = (op: Extract<TableOp, { kind: 'transact' }>, nowMs: number): TableAnswer => {
    const { contents } = store;
    const conflicts = op.writes.filter(
      ({ key, expectVersion }) => (contents.rows.get(key)?.version ?? 0) !== expectVersion,
    );
    if (conflicts.length > 0) {
      const rows = conflicts
        .map(({ key }) => contents.rows.get(key))
        .filter((row) => row !== undefined);
      return { kind: 'refused', reason: 'conflict', rows };
    }
    const rows = op.writes.map(({ key, value }) => {
      contents.version += 1;
      const row = { key, version: contents.version, value };
      contents.rows.set(key, row);
      return row;
    });
    history.push({ atMs: nowMs, contents: copyOf(contents) });
    return { kind: 'done', rows };
  };
  return store;
}

function copyOf({ rows, version }: Contents): Contents {
  return { rows: new Map(rows), version };
}
