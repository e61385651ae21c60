/** Clock of the feeds: that of the process, or a virtual one in a simulation. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Monotonic clock that can also pause. */
export interface Clock {
  nowMs: () => number;
  pause: (ms: number) => Promise<void>;
}

/** Monotonic clock of the process. */
export const PROCESS_CLOCK: Clock = {
  nowMs: () => performance.now(),
  pause: async (ms) => void (await delay(ms)),
};
