/** A box's share of all limits, which are divided equally among the listed boxes. */

/** Limit shares of a box, or of all boxes that a hub represents, in a message. */
export interface LimitShareGossip {
  /** Number of listed boxes covered. */
  boxes: number;
  /** Revision up to which all of these boxes have read the list of boxes. */
  listRevision: number;
  /**
   * Time for which none of these boxes has used a larger share than now, in ms; undefined if none
   * of them holds a share.
   */
  dividedForMs: number | undefined;
}

/** Possible use of a share before the box held it. */
export type PriorUse =
  /** The share was not used: neither this box nor others held any of it. */
  | { kind: 'unused' }
  /** An earlier incarnation may have used its burst up to this time. */
  | { kind: 'earlierLife'; atMs: number }
  /**
   * Other boxes, which divided the limits among fewer boxes, may have used all of it up to this
   * time.
   */
  | { kind: 'joined'; atMs: number };

/**
 * Reserve of a box's share, which an incarnation may use after a restart:
 * - `unknown`: the row of the box has not been read yet;
 * - `requested`: a call to the store is in progress;
 * - `open`: the store has recorded that this incarnation uses it;
 * - `closed`: this incarnation must not use it.
 */
export type ReservePhase = 'unknown' | 'requested' | 'open' | 'closed';

/** State of a box with regard to the reserve of its share. */
export interface RestartReserve {
  phase: ReservePhase;
  /** Number of reads of the row, and time of the last one. */
  reads: number;
  readAtMs: number;
}

/** Returns the state of a box that has not read its row yet. */
export function createRestartReserve(): RestartReserve {
  return { phase: 'unknown', reads: 0, readAtMs: Number.NEGATIVE_INFINITY };
}

/** A box's share of all limits. */
export interface LimitShare {
  /** Revision up to which this box has read the list of boxes; 0 before the first read. */
  listRevision: number;
  /** True once this box has read the whole list, which may be empty. */
  hasReadList: boolean;
  /** Revision of its own entry in the list; undefined while it is not listed. */
  ownRevision: number | undefined;
  /** Number of listed boxes, including this one. */
  divisor: number;
  /** Time at which `divisor` last grew while this box held a share; undefined before. */
  dividedSinceMs: number | undefined;
  /**
   * Possible earlier use of the share; undefined while the box holds none and uses only units that
   * others lend.
   */
  opening: PriorUse | undefined;
  /** True once the list states that the box holds its share. */
  isRegistered: boolean;
  /**
   * True if the list had an entry of this box before this incarnation wrote one. An earlier incarnation
   * may then have held the share, also one that ended before the list stated it.
   */
  hadEarlierLife: boolean;
  /** Time at which the box last requested that entry from the store. */
  registrationSentAtMs: number;
  /** Time at which the box last checked for boxes that are gone. */
  goneBoxesCheckedAtMs: number;
}

/** Returns the share of a box that has not read the list of boxes yet. */
export function createLimitShare(): LimitShare {
  return {
    listRevision: 0,
    hasReadList: false,
    ownRevision: undefined,
    divisor: 1,
    dividedSinceMs: undefined,
    opening: undefined,
    isRegistered: false,
    hadEarlierLife: false,
    registrationSentAtMs: Number.NEGATIVE_INFINITY,
    goneBoxesCheckedAtMs: 0,
  };
}
