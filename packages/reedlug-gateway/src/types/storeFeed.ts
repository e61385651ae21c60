/** Collections of the store that boxes follow. */

/** Names of the feeds, as in logs and metrics. */
export const StoreFeed = { operators: 'operators', servers: 'servers', boxes: 'boxes' } as const;
export type StoreFeed = (typeof StoreFeed)[keyof typeof StoreFeed];

/** Feeds whose changes boxes also learn from each other. */
export type SharedFeed = 'operators' | 'servers';

/** How a call of a feed ended. */
export type FeedContact =
  /** `readTo` is the store's revision up to which the feed has been read. */
  | { reachable: true; readTo?: number }
  /** Without an answer, or with one that does not count; `tookMs` is the time that the call took. */
  | { reachable: false; reason: string; tookMs: number };
