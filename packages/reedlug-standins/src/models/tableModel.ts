/** In-memory transactional table: conditional writes, reads and ordered scans. */
import type { TableAnswer, TableOp, TableRow } from 'reedlug-coordination';

/** State of a table. */
export interface TableModel {
  rows: Map<string, TableRow>;
  /** Sorted keys, which are rebuilt after a key was added. */
  sortedKeys: string[];
  sortedIsStale: boolean;
  operations: number;
  /** Returns the version of the next write of any row; undefined if each row counts its own. */
  nextVersion: (() => number) | undefined;
}

/** Returns an empty table. */
export function createTableModel(nextVersion?: () => number): TableModel {
  return { rows: new Map(), sortedKeys: [], sortedIsStale: false, operations: 0, nextVersion };
}

/** Applies an operation to a table. */
export function applyTableOp(table: TableModel, op: TableOp): TableAnswer {
  table.operations += 1;
  switch (op.kind) {
    case 'transact':
      return transact(table, op);
    case 'read':
      return { kind: 'done', rows: existingRows(table, op.keys) };
    case 'scan':
      return { kind: 'done', rows: scan(table, op) };
  }
}

function transact(table: TableModel, op: Extract<TableOp, { kind: 'transact' }>): TableAnswer {
  const conflicts = op.writes.filter(
    (write) => (table.rows.get(write.key)?.version ?? 0) !== write.expectVersion,
  );
  if (conflicts.length > 0) {
    const rows = existingRows(
      table,
      conflicts.map((write) => write.key),
    );
    return { kind: 'refused', reason: 'conflict', rows };
  }
  for (const write of op.writes) {
    if (write.value === undefined) continue;
    if (!table.rows.has(write.key)) table.sortedIsStale = true;
    const version = table.nextVersion?.() ?? write.expectVersion + 1;
    table.rows.set(write.key, { key: write.key, version, value: structuredClone(write.value) });
  }
  return {
    kind: 'done',
    rows: existingRows(
      table,
      op.writes.map((write) => write.key),
    ),
  };
}

function existingRows(table: TableModel, keys: readonly string[]): TableRow[] {
  return keys.flatMap((key) => {
    const row = table.rows.get(key);
    return row === undefined ? [] : [row];
  });
}

function scan(table: TableModel, op: Extract<TableOp, { kind: 'scan' }>): TableRow[] {
  if (table.sortedIsStale) {
    table.sortedKeys = [...table.rows.keys()].sort();
    table.sortedIsStale = false;
  }
  const rows: TableRow[] = [];
  for (const key of table.sortedKeys) {
    if (rows.length >= op.limit) break;
    const row = key.startsWith(op.prefix) && key > op.afterKey ? table.rows.get(key) : undefined;
    if (row !== undefined) rows.push(row);
  }
  return rows;
}
