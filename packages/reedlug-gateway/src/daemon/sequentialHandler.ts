/** Handles a box's events one at a time; an event emitted meanwhile waits for its turn. */
import type { EventBody } from '../types/event.js';

/** Returns a function that queues events for `handle`, so that `handle` is never called recursively. */
export function createSequentialHandler(
  handle: (body: EventBody) => void,
): (body: EventBody) => void {
  const pending: EventBody[] = [];
  let busy = false;
  return (body) => {
    pending.push(body);
    if (busy) return;
    busy = true;
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) handle(next);
    busy = false;
  };
}
