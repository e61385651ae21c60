/**
 * Revisions of a store that may come back from a copy of some seconds before. It then begins a new
 * era, and gives versions out again that it had given out since the copy: a version says something
 * only beside its era. A revision holds both in one number, so that any later one is greater, and
 * no bare version is compared anywhere. Revisions of a store without eras are its versions.
 */
import type { TableAnswer, TableOp, TableRow } from './tableTypes.js';

type TableTransaction = Extract<TableOp, { kind: 'transact' }>;

/** Versions of one era; a store of a thousand writes a second uses them up in 34 years. */
const VERSIONS_PER_ERA = 2 ** 40;

/** The last era that counts: later ones would not be whole numbers any more. */
export const MAX_STORE_ERA = 2 ** 13 - 1;

/** The revision of a version that the store gave out, or told, in an era. */
export function storeRevision({ era, version }: { era: number; version: number }): number {
  return era * VERSIONS_PER_ERA + version;
}

/** The era of a revision. */
export function eraOf(revision: number): number {
  return Math.floor(revision / VERSIONS_PER_ERA);
}

/** The version that the store itself knows. */
export function versionOf(revision: number): number {
  return revision % VERSIONS_PER_ERA;
}

/** A revision for a log line: `ERA/VERSION`, or the version alone of a store without eras. */
export function describeRevision(revision: number): string {
  const era = eraOf(revision);
  return era === 0 ? String(revision) : `${era}/${versionOf(revision)}`;
}

/** A transaction with the versions that the store itself knows. */
export function withStoreVersions(op: TableTransaction): TableTransaction {
  const writes = op.writes.map((write) => ({
    ...write,
    expectVersion: versionOf(write.expectVersion),
  }));
  return { ...op, writes };
}

/**
 * The answer to an operation that the store carried out in an era, its rows with revisions. A write
 * that expected a revision of another era may have met another row under the same version.
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
