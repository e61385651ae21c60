/** Splits a stream of server-sent events into the payloads of its `data:` lines. */
export interface SseParser {
  /** Parses a chunk and passes each complete `data:` payload to `onData`. */
  push: (chunk: string, onData: (data: string) => void) => void;
}

/** Maximum length of an incomplete line, in characters. A longer one is discarded. */
const MAX_LINE_LENGTH = 1_048_576;
const DATA_PREFIX = 'data:';

/** Returns a parser that buffers an incomplete line until its end arrives. */
export function createSseParser(): SseParser {
  let partialLine = '';
  return {
    push(chunk, onData) {
      const lines = (partialLine + chunk).split('\n');
      partialLine = lines.pop() ?? '';
      if (partialLine.length > MAX_LINE_LENGTH) partialLine = '';
      for (const line of lines) {
        if (line.startsWith(DATA_PREFIX)) onData(line.slice(DATA_PREFIX.length).trim());
      }
    },
  };
}
