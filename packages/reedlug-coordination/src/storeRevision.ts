/**
 * Revisions of a store that may be restored from a backup some seconds old.
 *
 * A restored store begins a new era and assigns versions again that it had already assigned since
 * the backup, so a version has a meaning only together with its era. A revision combines both in
 * one number, so that a later one is always greater; versions without their era are never compared.
 * The revisions of a store without eras equal its versions.
 */
import type { TableAnswer, TableOp, TableRow } from './tableTypes.js';

type TableTransaction = Extract<TableOp, { kind: 'transact' }>;

/** Number of versions in one era; at a thousand writes a second they last for 34 years. */
const VERSIONS_PER_ERA = 2 ** 40;

/** Highest valid version; a higher one would look like a version of another era. */
export const MAX_STORE_VERSION = VERSIONS_PER_ERA - 1;

/** Highest valid era; revisions of later ones would exceed the safe integers. */
export const MAX_STORE_ERA = 2 ** 13 - 1;

/** Returns the revision of a version that the store assigned or reported in an era. */
export function storeRevision({ era, version }: { era: number; version: number }): number {
  return era * VERSIONS_PER_ERA + version;
}

/** Returns the era of a revision. */
export function eraOf(revision: number): number {
  return Math.floor(revision / VERSIONS_PER_ERA);
}

/** Returns the version of a revision, as the store itself uses it. */
export function versionOf(revision: number): number {
  return revision % VERSIONS_PER_ERA;
}

/** Formats a revision for a log line: `ERA/VERSION`, or the version alone for a store without eras. */
export function describeRevision(revision: number): string {
  const era = eraOf(revision);
  return era === 0 ? String(revision) : `${era}/${versionOf(revision)}`;
}

/** Returns a transaction whose expected revisions are replaced by the store's own versions. */
export function withStoreVersions(op: TableTransaction): TableTransaction {
  const writes = op.writes.map((write) => ({
    ...write,
    expectVersion: versionOf(write.expectVersion),
  }));
  return { ...op, writes };
}

/**
 * Returns the answer to an operation that the store carried out in an era, with revisions in its
 * rows. The answer is `unknown` when a write expected a revision of another era, since it may have
 * replaced a different row that had the same version.
 */
export function answerWithRevisions(op: TableOp, answer: TableAnswer, era: number): TableAnswer {
  if (answer.kind === 'unknown') return answer;
  const isUncertain =
    answer.kind === 'done' &&
    op.kind === 'transact' &&
    op.writes.some(({ expectVersion }) => expectVersion > 0 && eraOf(expectVersion) !== era);
  if (isUncertain) return { kind: 'unknown' };
  const rows = answer.rows.map((row): TableRow => {
    return { ...row, version: storeRevision({ era, version: row.version }) };
  });
  return { ...answer, rows };
}
