/** Exponential decay. */

/** Returns the share of a value that is left after a time; 1 for negative times. */
export function decayFactor(elapsedMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / halfLifeMs);
}
