/**
 * Fair queue: deficit round robin over owners, first in first out for each owner.
 *
 * The cost of an entry is its expected work, so an owner with long requests has
 * fewer of them served than an owner with short ones.
 */

/** An entry of the queue. */
export interface FairEntry {
  id: string;
  ownerId: string;
  /** Expected work in any fixed unit, above 0. */
  cost: number;
}

/** Maximum number of entries of a lane that are offered in one turn. */
const MAX_LOOKAHEAD = 8;

/** The entries of one owner. */
interface Lane {
  ownerId: string;
  deficit: number;
  entries: FairEntry[];
}

/** State of a fair queue. */
export interface FairQueue {
  quantum: number;
  lanes: Lane[];
  laneByOwner: Map<string, Lane>;
  /** Index of the lane whose turn it is. */
  turn: number;
  size: number;
  costSum: number;
}

/** Returns an empty queue; `quantum` is the work that is credited to each owner per round. */
export function createFairQueue(quantum: number): FairQueue {
  return { quantum, lanes: [], laneByOwner: new Map(), turn: 0, size: 0, costSum: 0 };
}

/** Adds an entry at the end of its owner's lane, or at its front. */
export function pushFair(queue: FairQueue, entry: FairEntry, atFront = false): void {
  let lane = queue.laneByOwner.get(entry.ownerId);
  if (lane === undefined) {
    lane = { ownerId: entry.ownerId, deficit: 0, entries: [] };
    queue.laneByOwner.set(entry.ownerId, lane);
    queue.lanes.push(lane);
  }
  if (atFront) lane.entries.unshift(entry);
  else lane.entries.push(entry);
  queue.size += 1;
  queue.costSum += entry.cost;
}

/** Removes an entry at any position; returns whether it was in the queue. */
export function removeFair(queue: FairQueue, ownerId: string, id: string): boolean {
  const lane = queue.laneByOwner.get(ownerId);
  const index = lane?.entries.findIndex((entry) => entry.id === id) ?? -1;
  if (lane === undefined || index < 0) return false;
  removeAt(queue, lane, index);
  return true;
}

/** Returns the number of entries of one owner. */
export function laneLength(queue: FairQueue, ownerId: string): number {
  return queue.laneByOwner.get(ownerId)?.entries.length ?? 0;
}

/**
 * Removes and returns the next entry in fair order for which `accepts` is true, or undefined.
 * The first entries of a lane are offered in order, so that one which cannot be placed yet
 * does not block those behind it.
 */
export function takeFair(
  queue: FairQueue,
  accepts: (entry: FairEntry) => boolean,
): FairEntry | undefined {
  const refused = new Set<Lane>();
  while (refused.size < queue.lanes.length) {
    if (queue.turn >= queue.lanes.length) queue.turn = 0;
    const lane = queue.lanes[queue.turn];
    const head = lane?.entries[0];
    if (lane === undefined || head === undefined) return undefined;
    if (!refused.has(lane) && lane.deficit < head.cost) {
      lane.deficit += queue.quantum;
      queue.turn += 1;
      continue;
    }
    const index = refused.has(lane) ? -1 : firstAccepted(lane, accepts);
    const entry = lane.entries[index];
    if (entry === undefined) {
      refused.add(lane);
      queue.turn += 1;
      continue;
    }
    lane.deficit -= entry.cost;
    removeAt(queue, lane, index);
    return entry;
  }
  return undefined;
}

function firstAccepted(lane: Lane, accepts: (entry: FairEntry) => boolean): number {
  const end = Math.min(lane.entries.length, MAX_LOOKAHEAD);
  for (let index = 0; index < end; index += 1) {
    const entry = lane.entries[index];
    if (entry !== undefined && accepts(entry)) return index;
  }
  return -1;
}

function removeAt(queue: FairQueue, lane: Lane, index: number): void {
  const [entry] = lane.entries.splice(index, 1);
  if (entry === undefined) return;
  queue.size -= 1;
  queue.costSum -= entry.cost;
  if (lane.entries.length > 0) return;
  queue.laneByOwner.delete(lane.ownerId);
  queue.lanes.splice(queue.lanes.indexOf(lane), 1);
}
