/**
 * Outcome of a request, and the rules by which it is reported to the caller.
 *
 * `notRun` is a guarantee: no byte of the request reached a server, or the server
 * refused it before running it. `unknown` is reported when neither that nor
 * completion can be proved.
 */
export const Outcome = {
  completed: 'completed',
  notRun: 'notRun',
  failed: 'failed',
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** How far an attempt is known to have got on its server. */
export const Reach = {
  /** Nothing was sent yet. */
  none: 'none',
  /** Bytes may have been sent; no answer was received. */
  maybe: 'maybe',
  /** The server answered that it refused the attempt before running it. */
  refused: 'refused',
  /** The server stopped the run and transferred its state; the run continues on another server. */
  moved: 'moved',
  /** The server has answered. */
  answered: 'answered',
} as const;
export type Reach = (typeof Reach)[keyof typeof Reach];

/**
 * Returns whether an attempt counts as a run, or a possible run, of its request.
 * A moved run is counted on the server where it continues.
 */
export function mayHaveRun(reach: Reach): boolean {
  switch (reach) {
    case Reach.none:
    case Reach.refused:
    case Reach.moved:
      return false;
    case Reach.maybe:
    case Reach.answered:
      return true;
  }
}

/**
 * Returns the outcome of a request that is given up, from the reach of its attempts.
 * A request that was moved has run, so it is never `notRun`.
 */
export function outcomeWhenGivenUp(params: {
  reaches: readonly Reach[];
  repeatable: boolean;
}): Outcome {
  const ran = params.reaches.some((reach) => mayHaveRun(reach) || reach === Reach.moved);
  if (!ran) return Outcome.notRun;
  return params.repeatable ? Outcome.failed : Outcome.unknown;
}
