/**
 * Log lines within a budget, never waiting for their reader.
 *
 * Lines of one event kind beyond their budget of the second are counted and left
 * out; the count is told in one line when the second is over. While the pipe is
 * full, lines are left out too, counted in the same way.
 */
import type { Logger, LogValue } from './logger.js';

/** Lines of one kind in a second: several times a box's usual requests. */
const LINES_PER_SECOND = 100;
const SECOND_MS = 1000;

/** Where lines go. */
export interface LineSink {
  write: (line: string) => void;
  /** True while earlier lines have not been taken. */
  isFull: () => boolean;
}

/** Writes lines to a stream unless more than `limitBytes` wait there. */
export function streamSink(stream: NodeJS.WriteStream, limitBytes: number): LineSink {
  return {
    write: (line) => void stream.write(`${line}\n`),
    isFull: () => stream.writableLength > limitBytes,
  };
}

/** Returns a logger that keeps to the budget. */
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
