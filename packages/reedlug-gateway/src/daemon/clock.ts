/** Clock of the feeds: that of the process, or a virtual one in a simulation. */
import { performance } from 'node:perf_hooks';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import { READ_TURNS } from '../policy/heldRequests.js';
import { MAX_LATE_MS } from './readProgress.js';

/** Monotonic clock that can also pause. */
export interface Clock {
  nowMs: () => number;
  /** Resolves after a time, or once the signal is aborted. */
  pause: (ms: number, signal?: AbortSignal) => Promise<void>;
}

/** Monotonic clock of the process. */
export const PROCESS_CLOCK: Clock = {
  nowMs: () => performance.now(),
  async pause(ms, signal) {
    const dueAtMs = performance.now() + ms;
    // Rejects only if it is aborted.
    await delay(ms, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
    if (performance.now() - dueAtMs <= MAX_LATE_MS) return;
    // What arrived before a limit that passes late is read before it counts.
    for (let turn = 0; turn < READ_TURNS; turn += 1) await nextTurn();
  },
};
