/**
 * Which requests a box serves that is behind.
 *
 * In the order in which they came, each would be served when its caller has waited longest, and under more load than
 * the box can serve nobody would be served in time (adaptive LIFO). So the newest are served first, as many as there is
 * time for. None waits longer than a part of the time that its caller states, so that the rest is enough to be served
 * elsewhere. Where none is stated, the bound is short while the queue has been standing for a while (CoDel): what came at
 * once while the box stood still can still be served, and what would wait in a standing queue is refused at once.
 */

/** Share of the time that a caller states for which its request is held at most, and the bounds on that, in ms. */
const MAX_HELD_SHARE = 0.25;
const SHORTEST_HELD_MS = 100;
const LONGEST_HELD_MS = 1000;
/** Longest time for which a request is held whose caller states none, in ms: by default, and in a standing queue. */
export const DEFAULT_HELD_MS = 500;
export const STANDING_HELD_MS = 100;
/** Time after a refusal for which the queue counts as standing, in ms: refusing empties it, though more is coming. */
const STANDING_AFTER_REFUSAL_MS = 1000;
/** Turns of the event loop that read bytes, and the end of the connection behind them. */
export const READ_TURNS = 2;

/** When a held request was read, and how long its caller waits from then on, as far as it states that. */
export interface HeldRequest {
  readAtMs: number;
  readAtTurn: number;
  deadlineMs: number | undefined;
}

/** Returns the requests that may be served at the end of a turn, the newest first; `held` is in the order of reading. */
export function servableHeld<T extends HeldRequest>(held: Iterable<T>, turn: number): T[] {
  return [...held].filter(({ readAtTurn }) => turn - readAtTurn >= READ_TURNS).reverse();
}

/** State of the queue at the end of a turn, which took `turnMs`. */
export interface HeldQueue {
  nowMs: number;
  turnMs: number;
  /** Time since which the queue has not been empty. */
  heldSinceMs: number;
  /** Time of the last refusal; negative infinity before. */
  refusedAtMs: number;
}

/** Whether a request that was not served in this turn would be held for too long by the end of the next. */
export function isHeldTooLong(request: HeldRequest, queue: HeldQueue): boolean {
  return queue.nowMs + queue.turnMs - request.readAtMs > maxHeldMs(request, queue);
}

function maxHeldMs(
  { deadlineMs }: HeldRequest,
  { nowMs, heldSinceMs, refusedAtMs }: HeldQueue,
): number {
  if (deadlineMs !== undefined) {
    const shareMs = deadlineMs * MAX_HELD_SHARE;
    return Math.min(LONGEST_HELD_MS, Math.max(SHORTEST_HELD_MS, shareMs));
  }
  const isStanding =
    nowMs - heldSinceMs > DEFAULT_HELD_MS || nowMs - refusedAtMs < STANDING_AFTER_REFUSAL_MS;
  return isStanding ? STANDING_HELD_MS : DEFAULT_HELD_MS;
}
