/** What the invariants remember from event to event, apart from the state that they judge. */
export interface InvariantMemory {
  revision: number;
  fence: number;
  /** Next offset owed to the caller of each request that has had tokens. */
  nextOffset: Map<string, number>;
  /** Requests that were given their outcome and are still kept. */
  finished: Set<string>;
  ticks: number;
}

/** Returns an empty memory. */
export function createInvariantMemory(): InvariantMemory {
  return { revision: 0, fence: 0, nextOffset: new Map(), finished: new Set(), ticks: 0 };
}
