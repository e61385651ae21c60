/** Clock of the feeds: that of the process, or a virtual one in a simulation. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

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
    // Rejects only if it is aborted.
    await delay(ms, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
  },
};
