/** Splits a server-sent event stream into the payloads of its `data:` lines. */
export interface SseParser {
  /** Takes a chunk and gives each whole `data:` payload to `onData`. */
  push: (chunk: string, onData: (data: string) => void) => void;
}

/** Longest line kept while its end is awaited, in characters. */
const MAX_LINE_LENGTH = 1_048_576;
const DATA_PREFIX = 'data:';

/** Returns a parser that keeps the rest of a line from chunk to chunk. */
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
