/** Detects a stream that sends events again and again that it has sent before. */
import type { StreamEvent } from './eventSplitter.js';

/** Largest number of events one after another whose ids the stream has had; a server that begins anew sends rising ones. */
const MAX_REPEATED_EVENTS = 256;

/** Returns a function that takes the events of a stream in order, and returns whether it repeats them without end. */
export function createRepeatDetector(): (events: readonly StreamEvent[]) => boolean {
  let highestId = -1;
  let repeated = 0;
  return (events) => {
    for (const { id } of events) {
      if (id !== undefined && id <= highestId) repeated += 1;
      else repeated = 0;
      if (id !== undefined && id > highestId) highestId = id;
      if (repeated > MAX_REPEATED_EVENTS) return true;
    }
    return false;
  };
}
