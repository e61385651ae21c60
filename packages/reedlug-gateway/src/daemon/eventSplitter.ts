/** Cuts a `text/event-stream` into whole events, byte by byte as they came. */

/** A whole event with its trailing blank line. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined when the event names none. */
  id: number | undefined;
}

/** Collects bytes and gives out whole events. */
export interface EventSplitter {
  push: (chunk: Buffer) => StreamEvent[];
  /** Bytes of an event that is not whole yet. */
  pendingBytes: () => number;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Returns a splitter at the start of a stream. */
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
