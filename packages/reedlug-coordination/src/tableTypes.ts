/**
 * Interface of the transactional table that the coordination components use.
 *
 * A transaction is conditional on row versions and atomic. Each answer is one of
 * three: done, refused with the rows in conflict, or unknown (the transaction may
 * have taken effect).
 */

/** A row of the table. */
export interface TableRow {
  key: string;
  /** Greater than 0 and grows with each write of the row; a revision where the store has eras. */
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

/** The answer to a request. `rows` of `refused` are the current rows of the keys in conflict. */
export type TableAnswer =
  | { kind: 'done'; rows: readonly TableRow[] }
  | { kind: 'refused'; reason: 'conflict' | 'throttled'; rows: readonly TableRow[] }
  | { kind: 'unknown' };
