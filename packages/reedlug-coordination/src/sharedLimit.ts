/**
 * One limit for all boxes, split by recent demand.
 *
 * Each box computes its share from the demand that its peers last told. Shares
 * computed from the same figures sum to the whole. A box that is out of reach
 * keeps its place at its last demand until it is known to be gone, so the sum
 * stays within the whole under a cut; see `docs/design/limits.md`.
 */
export interface DemandEntry {
  boxId: string;
  /** Requests a second asked for, smoothed. */
  demandPerSecond: number;
}

/** Part of the whole that is split evenly, so that a box with no demand yet can start. */
export const EVEN_SHARE = 0.2;

/** The share of `total` for `boxId`; 0 when the box is not among the entries. */
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
