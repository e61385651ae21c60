/** The time that feeds run on: the process's own, or a virtual one in a simulation. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Time on a steady clock, and pauses on it. */
export interface Clock {
  nowMs: () => number;
  pause: (ms: number) => Promise<void>;
}

/** The clock of the process. */
export const PROCESS_CLOCK: Clock = {
  nowMs: () => performance.now(),
  pause: async (ms) => void (await delay(ms)),
};
