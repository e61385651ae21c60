/** Splits a `text/event-stream` into complete events without changing their bytes; each byte is searched once. */
import { createByteBuffer } from './byteBuffer.js';

/** Complete event, including its trailing blank line. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined if the event has no numeric id. */
  id: number | undefined;
}

/** Events of a chunk, and its rest. */
export interface SplitChunk {
  events: StreamEvent[];
  /** Empty unless the chunk has more events than were asked for. */
  rest: Buffer;
}

/** Collects bytes and returns the events that are complete. */
export interface EventSplitter {
  /** Returns the events that the chunk completes, up to a number, and what of the chunk was not searched. */
  push: (chunk: Buffer, maxEvents?: number) => SplitChunk;
  /** Returns the number of bytes of the incomplete event. */
  pendingBytes: () => number;
}

const LINE_FEED = 0x0a;
const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  const incomplete = createByteBuffer();

  const complete = (part: Buffer): Buffer => {
    if (incomplete.length() === 0) return part;
    incomplete.append(part);
    return incomplete.take();
  };

  return {
    push(chunk, maxEvents = Number.POSITIVE_INFINITY) {
      const events: StreamEvent[] = [];
      const isEndSplit = incomplete.last() === LINE_FEED && chunk[0] === LINE_FEED;
      let from = 0;
      let end = isEndSplit ? 1 : endOfEvent(chunk, 0);
      while (end !== undefined && events.length < maxEvents) {
        const bytes = complete(chunk.subarray(from, end));
        events.push({ bytes, id: idOf(bytes) });
        from = end;
        end = endOfEvent(chunk, from);
      }
      const rest = chunk.subarray(end === undefined ? chunk.length : from);
      if (end === undefined && from < chunk.length) incomplete.append(chunk.subarray(from));
      return { events, rest };
    },
    pendingBytes: incomplete.length,
  };
}

function endOfEvent(chunk: Buffer, from: number): number | undefined {
  const at = chunk.indexOf(EVENT_END, from);
  return at < 0 ? undefined : at + EVENT_END.length;
}

function idOf(bytes: Buffer): number | undefined {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match?.[1] === undefined ? undefined : Number(match[1]);
}
