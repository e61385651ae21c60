/**
 * Shares out the places of a brittle server among the boxes.
 *
 * A brittle server crashes if it has to reject too many requests in a second, and its work then fells
 * the next one. Boxes know of each other's sends only some tenths of a second later, so each box has
 * places of its own, which sum to those of the server whatever the boxes know. Beyond them a box may
 * use places that seem free; what the server rejects then is bounded by parts of the rejections that
 * it bears, which sum as well.
 */

/** Share of the rejections that a server bears which boxes risk. */
const RISKED_SHARE = 0.8;
/** Window in which rejections count, in ms. */
export const REJECTION_WINDOW_MS = 1000;

/** Returns this box's part of a number of units: whole parts, which sum to the number over all boxes. */
export function partOf(units: number, { rank, boxes }: { rank: number; boxes: number }): number {
  const whole = Math.max(0, Math.floor(units));
  return Math.floor(whole / boxes) + (rank < whole % boxes ? 1 : 0);
}

/** Returns how many rejections a second this box may risk at a server. */
export function riskedRejections(
  rejectionsPerSecond: number,
  sharing: { rank: number; boxes: number },
): number {
  return partOf(rejectionsPerSecond * RISKED_SHARE, sharing);
}

/** A server's places as a box sees them. */
export interface PlaceView {
  /** Places of the server, and those of this box. */
  places: number;
  ownPlaces: number;
  /** Requests of this box in progress there. */
  ownRunning: number;
  /** Rejections that this box may risk, those of the last second, and sends that may add to them. */
  riskedRejections: number;
  recentRejections: number;
  openSpareSends: number;
  /** Whether the server rejected a request of any box in the last second. */
  hasRejected: boolean;
}

/** Returns whether a send uses a place of this box's own. */
export function hasOwnPlace(view: PlaceView): boolean {
  const { ownRunning, ownPlaces, recentRejections, hasRejected } = view;
  const risked = view.riskedRejections;
  // After a rejection the places are fewer than thought; boxes that may risk none wait.
  if (recentRejections > risked || (hasRejected && risked === 0)) return false;
  return ownRunning < ownPlaces;
}

/** Returns whether a send beyond this box's own places is worth the risk, given the work of all boxes. */
export function hasSparePlace(view: PlaceView, running: number): boolean {
  const { places, recentRejections, openSpareSends, hasRejected } = view;
  if (hasRejected || running >= places) return false;
  return recentRejections + openSpareSends < view.riskedRejections;
}
