/** Time limits that count what has arrived in time, though it is read late. */
import { performance } from 'node:perf_hooks';
import { MAX_LATE_MS } from './readProgress.js';

/** A limit in force. */
export interface TimeLimit {
  cancel: () => void;
  /** Starts the time anew. */
  restart: () => void;
}

/** Calls `onPassed` after a time; if the thread is late by then, once it has read what came meanwhile. */
export function startTimeLimit(limitMs: number, onPassed: () => void): TimeLimit {
  let dueAtMs = performance.now() + limitMs;
  let restarts = 0;
  let isOver = false;
  const timer = setTimeout(() => {
    const passedAfter = restarts;
    const pass = (): void => {
      if (isOver || restarts !== passedAfter) return;
      isOver = true;
      onPassed();
    };
    // Sockets are read after timers, and the end of a connection a turn after its bytes.
    const isLate = performance.now() - dueAtMs > MAX_LATE_MS;
    setImmediate(isLate ? () => setImmediate(pass) : pass);
  }, limitMs);
  return {
    cancel() {
      isOver = true;
      clearTimeout(timer);
    },
    restart() {
      if (isOver) return;
      restarts += 1;
      dueAtMs = performance.now() + limitMs;
      timer.refresh();
    },
  };
}
