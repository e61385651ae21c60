/**
 * Which requests a box serves that is behind.
 *
 * In the order in which they came, each would be served when its caller has waited longest, and under more load than
 * the box can serve nobody would be served in time (adaptive LIFO). So the newest are served first, as many as there is
 * time for, and none waits longer than a bound (CoDel): those that can't be served within it are refused at once.
 */

/** Longest time for which a request that has been read is held, in ms. */
export const MAX_HELD_MS = 100;
/** Turns of the event loop from the reading of a request until the end of its connection would have been read. */
const END_READ_TURNS = 2;

/** When a held request was read. */
export interface HeldRequest {
  readAtMs: number;
  readAtTurn: number;
}

/** Returns the requests that may be served at the end of a turn, the newest first. */
export function servableHeld<T extends HeldRequest>(held: Iterable<T>, turn: number): T[] {
  return [...held]
    .filter(({ readAtTurn }) => turn - readAtTurn >= END_READ_TURNS)
    .sort((one, other) => other.readAtMs - one.readAtMs);
}

/** Whether a request that was not served in a turn, which took `turnMs`, would be held for too long by the end of the next. */
export function isHeldTooLong(
  { readAtMs }: HeldRequest,
  { nowMs, turnMs }: { nowMs: number; turnMs: number },
): boolean {
  return nowMs + turnMs - readAtMs > MAX_HELD_MS;
}
