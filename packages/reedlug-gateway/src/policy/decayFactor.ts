/** Figures that halve in a fixed time. */

/** What is left of a figure after a time, as a share; all of it before any time has passed. */
export function decayFactor(elapsedMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / halfLifeMs);
}
