/** Handles a box's events one at a time; an event emitted meanwhile waits for its turn. */
import type { EventBody } from '../types/event.js';

/** Called for an event whose handling threw. */
export type EventFaultListener = (error: unknown, body: EventBody) => void;

/**
 * Returns a function that queues events for `handle`, so that `handle` is never called recursively. What it throws goes
 * to the listener, or else to the caller; the next event is handled either way.
 */
export function createSequentialHandler(
  handle: (body: EventBody) => void,
  onFault?: EventFaultListener,
): (body: EventBody) => void {
  const pending: EventBody[] = [];
  let busy = false;
  const handleOne = (body: EventBody): void => {
    try {
      handle(body);
    } catch (error) {
      if (onFault === undefined) throw error;
      onFault(error, body);
    }
  };
  return (body) => {
    pending.push(body);
    if (busy) return;
    busy = true;
    try {
      for (let next = pending.shift(); next !== undefined; next = pending.shift()) handleOne(next);
    } finally {
      busy = false;
    }
  };
}
