/**
 * The record of the calls that boxes make under the duty lease, which lets one box at a time order
 * engines and report usage: the holder of each fence, and the report of each window. A fence is a
 * number that rises with each lease; the platform refuses calls with lower ones.
 */

/** A call that the platform accepted. */
interface DutyCall {
  atMs: number;
  holder: string;
}

/** The record of the duty lease and the calls under it. */
export interface DutyRecord {
  calls: DutyCall[];
  /** Highest fence by subject, and the holder by subject and fence. */
  highestFences: Map<string, number>;
  holderByFence: Map<string, string>;
  /** The first report of each window, as JSON. */
  reports: Map<number, string>;
  /** World time at which a box last held the lease; undefined before the first holder. */
  lastHeldAtMs: number | undefined;
  /** World time until which an injected fault explains that no box holds the lease. */
  outageUntilMs: number;
  /** Whether the current span without a holder is recorded, so that it is reported only once. */
  isUnheldRecorded: boolean;
}

/** Returns an empty record. */
export function createDutyRecord(): DutyRecord {
  return {
    calls: [],
    highestFences: new Map(),
    holderByFence: new Map(),
    reports: new Map(),
    lastHeldAtMs: undefined,
    outageUntilMs: 0,
    isUnheldRecorded: false,
  };
}
