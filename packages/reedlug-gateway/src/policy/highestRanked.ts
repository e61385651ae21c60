/** Ranks servers for a key by rendezvous hashing, which gives the same result at all boxes. */
import { rendezvousWeight } from 'reedlug-coordination';
import type { ServerView } from '../types/views.js';

/**
 * Returns the servers that rank highest for a key, in order. A single pass avoids sorting many
 * servers to take a few.
 */
export function highestRanked(
  candidates: readonly ServerView[],
  keyHash: number,
  count: number,
): ServerView[] {
  const best: { view: ServerView; weight: number }[] = [];
  // Lowest weight of a full list; -1 while it is not full.
  let lowestWeight = -1;
  for (const view of candidates) {
    const weight = rendezvousWeight(keyHash, view.idHash);
    if (weight <= lowestWeight) continue;
    const at = best.findIndex((other) => other.weight < weight);
    best.splice(at < 0 ? best.length : at, 0, { view, weight });
    if (best.length > count) best.pop();
    if (best.length === count) lowestWeight = best[count - 1]?.weight ?? lowestWeight;
  }
  return best.map(({ view }) => view);
}
