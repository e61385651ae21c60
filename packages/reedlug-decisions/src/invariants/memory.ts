/** State that the invariants keep between events, separate from the state that they check. */
export interface InvariantMemory {
  revision: number;
  fence: number;
  /** Next token offset expected by the caller, of each request that has received tokens. */
  nextOffset: Map<string, number>;
  /** Ids of the requests that have an outcome and whose records are still kept. */
  finished: Set<string>;
  ticks: number;
}

/** Returns an empty memory. */
export function createInvariantMemory(): InvariantMemory {
  return { revision: 0, fence: 0, nextOffset: new Map(), finished: new Set(), ticks: 0 };
}
