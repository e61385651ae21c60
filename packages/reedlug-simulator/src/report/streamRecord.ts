/** The record of streams: those of several software versions, and how often attempts at streams begin. */
import type { CallerRequest } from '../callers/callerAttempt.js';

/** Attempts that were to bring events, and those that did. */
export interface AttemptCounts {
  attempts: number;
  begun: number;
}

/** The record of streams. */
export interface StreamRecord {
  /** Streams with events of several versions. */
  mixed: Set<CallerRequest>;
  /** Attempts at boxes that hear all others: of new streams, and of streams taken up while servers of their version were there. */
  fresh: AttemptCounts;
  takenUp: AttemptCounts;
}

/** Returns an empty record. */
export function createStreamRecord(): StreamRecord {
  return {
    mixed: new Set(),
    fresh: { attempts: 0, begun: 0 },
    takenUp: { attempts: 0, begun: 0 },
  };
}
