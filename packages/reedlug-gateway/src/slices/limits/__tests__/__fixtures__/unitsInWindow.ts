/** Length of the window of limits in ms, as the users count it. */
export const WINDOW_MS = 8000;

/** Returns the maximum number of units in any window that begins at a time or later. */
export function maxUnitsInWindow(
  admitted: readonly { atMs: number; units: number }[],
  fromMs = 0,
): number {
  const list = admitted.filter(({ atMs }) => atMs >= fromMs);
  let most = 0;
  let sum = 0;
  let first = 0;
  for (const { atMs, units } of list) {
    sum += units;
    while ((list[first]?.atMs ?? atMs) <= atMs - WINDOW_MS) {
      sum -= list[first]?.units ?? 0;
      first += 1;
    }
    most = Math.max(most, sum);
  }
  return most;
}
