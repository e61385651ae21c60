/** Sums over sliding windows, for guarantees that hold in any window of a given length. */

/** An amount at a time. */
export interface TimedAmount {
  atMs: number;
  amount: number;
}

/** Returns the window sum that is the greatest share of the amount allowed at the window's end, and that amount. */
export function greatestShare(
  given: readonly TimedAmount[],
  lengthMs: number,
  allowedAt: (endMs: number) => number,
): { most: number; allowed: number } {
  const amounts = [...given].sort((a, b) => a.atMs - b.atMs);
  let first = 0;
  let sum = 0;
  let greatest = { most: 0, allowed: allowedAt(0) };
  for (const { atMs, amount } of amounts) {
    sum += amount;
    while ((amounts[first]?.atMs ?? atMs) <= atMs - lengthMs) {
      sum -= amounts[first]?.amount ?? 0;
      first += 1;
    }
    const allowed = allowedAt(atMs);
    if (sum / allowed > greatest.most / greatest.allowed) greatest = { most: sum, allowed };
  }
  return greatest;
}

/** Returns the greatest sum over any window of the given length. */
export function greatestSum(given: readonly TimedAmount[], lengthMs: number): number {
  return greatestShare(given, lengthMs, () => 1).most;
}
