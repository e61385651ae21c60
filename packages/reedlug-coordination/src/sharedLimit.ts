/**
 * One limit for all boxes, split by recent demand.
 *
 * Each box computes its share from the demand that its peers last reported.
 * Shares computed from the same figures sum to the limit. An unreachable box is
 * counted with its last demand until it is known to be gone, so that the sum
 * stays within the limit during a network partition; see `docs/design/limits.md`.
 */

/** Recent demand of one box. */
export interface DemandEntry {
  boxId: string;
  /** Requested rate in requests per second, smoothed. */
  demandPerSecond: number;
}

/** Fraction of the limit that is split evenly, so that a box without demand yet has a share. */
export const EVEN_SHARE = 0.2;

/** Returns the share of `total` for `boxId`; 0 if the box is not among the entries. */
export function shareOfLimit(
  total: number,
  boxId: string,
  entries: readonly DemandEntry[],
): number {
  const own = entries.find((entry) => entry.boxId === boxId);
  if (own === undefined) return 0;
  const demandSum = entries.reduce((sum, entry) => sum + entry.demandPerSecond, 0);
  const even = total / entries.length;
  if (demandSum === 0) return even;
  const byDemand = (total * own.demandPerSecond) / demandSum;
  return even * EVEN_SHARE + byDemand * (1 - EVEN_SHARE);
}
