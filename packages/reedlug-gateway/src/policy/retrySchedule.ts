/**
 * Schedule of the times that refused callers are told, one after the other.
 *
 * Callers that are refused together would otherwise return together. Each gets a time that no
 * caller of the same or higher urgency was given; more urgent callers are placed before less urgent
 * ones.
 */

/** Latest time given so far, by urgency. */
export type AssignedTimes = Map<number, number>;

/** Returns the next time for a caller, in ms; does not assign it. */
export function nextRetryAtMs(
  assigned: AssignedTimes,
  params: { urgency: number; earliestAtMs: number; intervalMs: number },
): number {
  const { urgency, earliestAtMs, intervalMs } = params;
  const earlier = [...assigned].filter(([other]) => other <= urgency).map(([, atMs]) => atMs);
  const lastAtMs = Math.max(Number.NEGATIVE_INFINITY, ...earlier);
  return Math.max(earliestAtMs, lastAtMs + intervalMs);
}
