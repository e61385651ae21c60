/** The order of a box's events: one at a time, those that come meanwhile after them. */
import type { EventBody } from '../types/event.js';

/** Makes the function that takes a box's events; `handle` is never called within itself. */
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
