/** Bounds that the guarantees refer to, and their violations. */

/** A violated guarantee; `promise` is its name. */
export interface Violation {
  promise: string;
  detail: string;
}

/** Bounds that the guarantees refer to. */
export interface GuaranteeBounds {
  /** Maximum time from the acknowledgement of a configuration until every box applies it, in ms. */
  configurationMs: number;
  /**
   * Maximum time for which a server still receives requests after it announced that it is draining,
   * in ms.
   */
  drainMs: number;
  /**
   * Time after a fault by which a box has recovered, in ms; the bounds apply to it from then on.
   */
  recoveryMs: number;
  /**
   * A workspace with a limit: its key, and the maximum number of runs in any window of `windowMs`.
   */
  limited: { key: string; windowMs: number; runs: number };
}

/** Tolerance for delays on one busy machine, in ms. It extends each time bound. */
export const TOLERANCE_MS = 400;
