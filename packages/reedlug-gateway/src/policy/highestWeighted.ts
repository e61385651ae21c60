/**
 * Ranks servers for a key by weighted rendezvous hashing: a server holds a share of the keys in
 * proportion to its weight, and a change of one weight moves only keys of that server.
 */
import { rendezvousWeight } from 'reedlug-coordination';
import type { ServerView } from '../types/views.js';

/** Number of values of a rendezvous weight. */
const HASH_VALUES = 2 ** 32;

/**
 * Returns the servers that rank highest for a key, in order. Servers of weight 0 are left out. The
 * score of a server is -ln(u) / weight for a hash u between 0 and 1; the lowest wins.
 * With equal weights the order is that of `highestRanked`.
 *
 * Since 1 - u is at most -ln(u), most servers of a large fleet are ruled out by their hash and
 * the maximum weight alone; neither their weight nor a logarithm is computed for them.
 */
export function highestWeighted(
  candidates: readonly ServerView[],
  params: {
    keyHash: number;
    count: number;
    maxWeight: number;
    weightOf: (view: ServerView) => number;
  },
): ServerView[] {
  const { keyHash, count, maxWeight, weightOf } = params;
  const best: { view: ServerView; score: number }[] = [];
  let worstScore = Number.POSITIVE_INFINITY;
  // Hash below which no server of the maximum weight scores better than the worst of a full list.
  let lowestHash = 0;
  for (const view of candidates) {
    const hash = rendezvousWeight(keyHash, view.idHash);
    if (hash < lowestHash) continue;
    const weight = weightOf(view);
    if (!(weight > 0)) continue;
    // Half a step above the hash keeps u between 0 and 1, both excluded.
    const score = -Math.log((hash + 0.5) / HASH_VALUES) / weight;
    if (score >= worstScore) continue;
    const at = best.findIndex((other) => other.score > score);
    best.splice(at < 0 ? best.length : at, 0, { view, score });
    if (best.length > count) best.pop();
    if (best.length < count) continue;
    worstScore = best[count - 1]?.score ?? worstScore;
    lowestHash = (1 - worstScore * maxWeight) * HASH_VALUES - 1;
  }
  return best.map(({ view }) => view);
}
