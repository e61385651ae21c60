/**
 * Rate-limited log that never waits for its reader.
 *
 * Lines of one event kind that exceed the limit per second are dropped and counted; the counts
 * are logged in one line after the second is over. Lines are also dropped and counted while the
 * output is full.
 */
import type { Writable } from 'node:stream';
import type { Logger, LogValue } from './logger.js';

/** Maximum number of lines of one kind per second: several times a box's usual requests. */
const LINES_PER_SECOND = 100;
const SECOND_MS = 1000;

/** Destination of log lines. */
export interface LineSink {
  write: (line: string) => void;
  /** Returns true while too many earlier lines are still buffered. */
  isFull: () => boolean;
}

/** Returns a sink that writes to a stream and is full while more than `limitBytes` are buffered there. */
export function streamSink(stream: Writable, limitBytes: number): LineSink {
  let isBroken = false;
  // Whoever read the log is gone: a box serves on without one, and counts the lines that it leaves out.
  stream.on('error', () => {
    isBroken = true;
  });
  return {
    write: (line) => void stream.write(`${line}\n`),
    isFull: () => isBroken || stream.writableLength > limitBytes,
  };
}

/** Returns a logger that keeps to the limit per second. */
export function createBoundedLog(params: {
  logger: Logger;
  isFull: () => boolean;
  nowMs: () => number;
  onDropped: () => void;
}): Logger {
  const { logger, isFull, nowMs, onDropped } = params;
  let secondStartMs = nowMs();
  let written = new Map<string, number>();
  let dropped = new Map<string, number>();

  const startSecondIfDue = (): void => {
    if (nowMs() - secondStartMs < SECOND_MS) return;
    secondStartMs = nowMs();
    written = new Map();
    if (dropped.size === 0 || isFull()) return;
    const counts: Record<string, LogValue> = Object.fromEntries(dropped);
    dropped = new Map();
    logger('linesLeftOut', counts);
  };

  return (event, fields) => {
    startSecondIfDue();
    const count = written.get(event) ?? 0;
    if (count >= LINES_PER_SECOND || isFull()) {
      dropped.set(event, (dropped.get(event) ?? 0) + 1);
      return onDropped();
    }
    written.set(event, count + 1);
    logger(event, fields);
  };
}
