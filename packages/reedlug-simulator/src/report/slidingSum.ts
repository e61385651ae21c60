/** Sums over sliding windows, for promises that hold in any span of a length. */

/** An amount at a time. */
export interface TimedAmount {
  atMs: number;
  amount: number;
}

/** The greatest sum over any span of the length. */
export function greatestSum(given: readonly TimedAmount[], lengthMs: number): number {
  const amounts = [...given].sort((a, b) => a.atMs - b.atMs);
  let first = 0;
  let sum = 0;
  let greatest = 0;
  for (const { atMs, amount } of amounts) {
    sum += amount;
    while ((amounts[first]?.atMs ?? atMs) <= atMs - lengthMs) {
      sum -= amounts[first]?.amount ?? 0;
      first += 1;
    }
    greatest = Math.max(greatest, sum);
  }
  return greatest;
}
