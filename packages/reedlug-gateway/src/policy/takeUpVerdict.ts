/** Decides whether it is known at which software version a stream that is taken up began. */
import { VersionProof } from '../types/streamVersion.js';

/** What the table shows of the versions at which streams may have begun. */
export type TableEvidence =
  | { kind: 'pending' }
  /** The table could not be read, or has no row. */
  | { kind: 'nothing' }
  /** The row may lack versions that a restore of the store has lost. */
  | { kind: 'restored'; versions: ReadonlySet<string> }
  /**
   * The row lists all versions; `earlier` are those at which streams may have begun in lives of boxes that have ended,
   * undefined if that is not known, `pending` while the box still hears for the first time which boxes run.
   */
  | {
      kind: 'listed';
      versions: ReadonlySet<string>;
      earlier: ReadonlySet<string> | 'pending' | undefined;
    };

/** What a box knows of a stream that is taken up. */
export interface TakeUpEvidence {
  table: TableEvidence;
  /** Versions of the service that this box and those that answered have seen. */
  seenVersions: ReadonlySet<string>;
  /** Whether no more answers of boxes are awaited. */
  haveBoxesAnswered: boolean;
  /** Whether each box of the fleet has answered, one of which has run for longer than a stream lasts. */
  isWitnessed: boolean;
  isTimeUp: boolean;
}

/** The verdict: the only version that can have begun the stream, that none can be named, or to wait. */
export type TakeUpVerdict =
  | { kind: 'onlyVersion'; version: string; proof: VersionProof }
  | { kind: 'unknown' }
  | { kind: 'wait' };

/**
 * Returns the verdict on a stream of which no start is known. What a box sees now proves nothing of the time before
 * it started. So the version follows from the row, which lists a version before a stream begins there, or
 * from boxes that have run since before the stream can have begun. The stream began in a life of a box that has ended, as
 * otherwise that box would know it: versions that were listed only since then are left out.
 */
export function takeUpVerdict(evidence: TakeUpEvidence): TakeUpVerdict {
  const { table, seenVersions, haveBoxesAnswered, isTimeUp } = evidence;
  const isWaiting = !haveBoxesAnswered && !isTimeUp;
  switch (table.kind) {
    case 'listed': {
      const listed = onlyVersion(table.versions, VersionProof.listed);
      // A box that can not write the row may have begun streams at a version that it does not list.
      const isComplete = haveBoxesAnswered || isSubset(seenVersions, table.versions);
      if (listed !== undefined && isComplete) return listed;
      const { earlier } = table;
      if (isWaiting || (earlier === 'pending' && !isTimeUp)) return { kind: 'wait' };
      if (earlier === 'pending' || !haveBoxesAnswered) return { kind: 'unknown' };
      return onlyVersion(earlier, VersionProof.listedBeforeLifeEnds) ?? { kind: 'unknown' };
    }
    case 'restored': {
      if (isWaiting) return { kind: 'wait' };
      const versions = new Set([...table.versions, ...seenVersions]);
      const only = evidence.isWitnessed ? versions : undefined;
      return onlyVersion(only, VersionProof.listedBeforeRestore) ?? { kind: 'unknown' };
    }
    case 'pending':
    case 'nothing': {
      const seen = evidence.isWitnessed ? seenVersions : undefined;
      const only = onlyVersion(seen, VersionProof.boxes);
      if (only !== undefined) return only;
      const isOpen = isWaiting || (table.kind === 'pending' && !isTimeUp);
      return { kind: isOpen ? 'wait' : 'unknown' };
    }
  }
}

function isSubset(some: ReadonlySet<string>, all: ReadonlySet<string>): boolean {
  return [...some].every((version) => all.has(version));
}

function onlyVersion(
  versions: ReadonlySet<string> | undefined,
  proof: VersionProof,
): TakeUpVerdict | undefined {
  const [version] = versions ?? [];
  if (versions?.size !== 1 || version === undefined) return undefined;
  return { kind: 'onlyVersion', version, proof };
}
