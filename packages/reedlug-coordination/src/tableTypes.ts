/**
 * The shape of a transactional table as the coordination parts use it.
 *
 * A write is conditional on row versions and all or nothing. Every answer is
 * one of three: done, refused with the rows that stood in the way, or unknown
 * (the write may have taken effect).
 */
export interface TableRow {
  key: string;
  /** Grows with each write of the row, over at least 0; a revision where the store has eras. */
  version: number;
  value: unknown;
}

/** One conditional write. `expectVersion` 0 means that the row must not exist. */
export interface TableWrite {
  key: string;
  expectVersion: number;
  /** `undefined` only checks the version and writes nothing. */
  value: unknown;
}

/** A request to the table. */
export type TableOp =
  | { kind: 'transact'; writes: readonly TableWrite[] }
  | { kind: 'read'; keys: readonly string[] }
  | { kind: 'scan'; prefix: string; afterKey: string; limit: number };

/** The three-way answer. `rows` of `refused` are the current rows of the keys in conflict. */
export type TableAnswer =
  | { kind: 'done'; rows: readonly TableRow[] }
  | { kind: 'refused'; reason: 'conflict' | 'throttled'; rows: readonly TableRow[] }
  | { kind: 'unknown' };
