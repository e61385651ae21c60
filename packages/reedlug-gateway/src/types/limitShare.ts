/** A box's part of all limits, as one of the boxes among which they are divided. */

/** What a box, or all that a hub speaks for, tell of their parts. */
export interface LimitShareGossip {
  /** Listed boxes covered. */
  boxes: number;
  /** Revision up to which all of them have read the list of boxes. */
  listRevision: number;
  /** Time for which none of them has used a larger part than now, in ms; undefined when none ever did. */
  dividedForMs: number | undefined;
}

/** What was sent of a part before the box held it. */
export type PriorUse =
  /** Nothing: neither this box nor others had any of it. */
  | { kind: 'unused' }
  /** An earlier life may have sent its burst up to this time. */
  | { kind: 'earlierLife'; atMs: number }
  /** Others that divided among fewer boxes may have sent all of it up to this time. */
  | { kind: 'joined'; atMs: number };

/** A box's part. */
export interface LimitShare {
  /** Revision up to which this box has read the list of boxes; 0 before. */
  listRevision: number;
  /** Revision of its own entry there; undefined while it is not listed. */
  ownRevision: number | undefined;
  /** Boxes listed, this one included. */
  divisor: number;
  /** When that last grew while this box held a part; undefined before. */
  dividedSinceMs: number | undefined;
  /** Undefined while the box holds no part: then it sends only what others lend. */
  opening: PriorUse | undefined;
  /** True once the list says that it holds a part. */
  isRegistered: boolean;
  /** When it last asked the store to enter that. */
  registrationSentAtMs: number;
  /** When it last looked for boxes that are gone. */
  goneBoxesCheckedAtMs: number;
}

/** Returns the part of a box that knows nothing yet. */
export function createLimitShare(): LimitShare {
  return {
    listRevision: 0,
    ownRevision: undefined,
    divisor: 1,
    dividedSinceMs: undefined,
    opening: undefined,
    isRegistered: false,
    registrationSentAtMs: Number.NEGATIVE_INFINITY,
    goneBoxesCheckedAtMs: 0,
  };
}
