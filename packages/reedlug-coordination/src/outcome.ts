/**
 * Outcome of a request and the rules by which it may be told.
 *
 * `notRun` is a promise: no byte of the request reached a server, or the server
 * refused it before running it. `unknown` is the honest answer when neither
 * that nor completion can be shown.
 */
export const Outcome = {
  completed: 'completed',
  notRun: 'notRun',
  failed: 'failed',
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** What is known about whether an attempt had an effect on its server. */
export const Reach = {
  /** Nothing was sent yet. */
  none: 'none',
  /** Bytes may have left; nothing has come back. */
  maybe: 'maybe',
  /** The server said that it refused before running. */
  refused: 'refused',
  /** The server stopped the run and handed its state over; the run goes on elsewhere. */
  moved: 'moved',
  /** The server has answered. */
  answered: 'answered',
} as const;
export type Reach = (typeof Reach)[keyof typeof Reach];

/** Says whether an attempt counts as a run (or a possible run) of its request. */
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

/** The outcome of a request that is given up on, from the reach of its attempts. */
export function outcomeWhenGivenUp(params: {
  reaches: readonly Reach[];
  repeatable: boolean;
}): Outcome {
  const ran = params.reaches.some((reach) => mayHaveRun(reach) || reach === Reach.moved);
  if (!ran) return Outcome.notRun;
  return params.repeatable ? Outcome.failed : Outcome.unknown;
}
