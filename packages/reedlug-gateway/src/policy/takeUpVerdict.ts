/** Decides whether it is known at which software version a stream that is taken up began. */
import type { TableLookup } from '../types/streamVersion.js';

/** What a box knows of a stream that is taken up. */
export interface TakeUpEvidence {
  /** Versions at which a stream of the service may have begun, as all that answered have seen them. */
  versions: ReadonlySet<string>;
  /** Whether no more answers of boxes are awaited. */
  haveBoxesAnswered: boolean;
  /** Whether each box of the fleet has answered. */
  isEachBoxHeard: boolean;
  table: TableLookup;
  isTimeUp: boolean;
}

/** The verdict: the only version that can have begun the stream, that none can be named, or to wait. */
export type TakeUpVerdict =
  { kind: 'onlyVersion'; version: string } | { kind: 'unknown' } | { kind: 'wait' };

/**
 * Returns the verdict on a stream of which no start is known. That only one version can have begun it
 * takes a witness for what other boxes have seen: the table, which lists all versions that serve side by
 * side, or the answer of each box.
 */
export function takeUpVerdict(evidence: TakeUpEvidence): TakeUpVerdict {
  const { versions, haveBoxesAnswered, isEachBoxHeard, table, isTimeUp } = evidence;
  const [version] = versions;
  const isWitnessed = table === 'read' || isEachBoxHeard;
  if (isWitnessed && versions.size === 1 && version !== undefined) {
    return { kind: 'onlyVersion', version };
  }
  const hasAllAnswers = haveBoxesAnswered && table !== 'pending';
  return hasAllAnswers || isTimeUp ? { kind: 'unknown' } : { kind: 'wait' };
}
