/** Splits a `text/event-stream` into complete events without changing their bytes. */

/** Complete event, including its trailing blank line. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined if the event has no numeric id. */
  id: number | undefined;
}

/** Collects bytes and returns the events that are complete. */
export interface EventSplitter {
  push: (chunk: Buffer) => StreamEvent[];
  /** Returns the number of bytes of the incomplete event. */
  pendingBytes: () => number;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let remainder: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      remainder = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
      const events: StreamEvent[] = [];
      for (;;) {
        const end = remainder.indexOf(EVENT_END);
        if (end < 0) return events;
        const bytes = remainder.subarray(0, end + EVENT_END.length);
        remainder = remainder.subarray(bytes.length);
        events.push({ bytes, id: idOf(bytes) });
      }
    },
    pendingBytes: () => remainder.length,
  };
}

function idOf(bytes: Buffer): number | undefined {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match?.[1] === undefined ? undefined : Number(match[1]);
}
