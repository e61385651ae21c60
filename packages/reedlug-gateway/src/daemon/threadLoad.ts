/** Measures how busy the thread of this process is, from one tick to the next. */
import { performance } from 'node:perf_hooks';
import type { ThreadLoad } from '../types/threadLoad.js';

/** Meter of a thread that measures each `intervalMs`. */
export interface ThreadLoadMeter {
  /** Returns the load since the last measurement. */
  measure: () => ThreadLoad;
  /** How late the next measurement is by now, in ms; 0 before it is due. */
  lateMs: () => number;
}

/** Creates a meter whose first measurement is due after `intervalMs`. */
export function createThreadLoadMeter(intervalMs: number): ThreadLoadMeter {
  let lastAtMs = performance.now();
  let last = performance.eventLoopUtilization();
  const lateMs = (): number => Math.max(0, performance.now() - lastAtMs - intervalMs);
  return {
    lateMs,
    measure() {
      const current = performance.eventLoopUtilization();
      const { utilization } = performance.eventLoopUtilization(current, last);
      const load = { busyShare: utilization, lateMs: lateMs() };
      lastAtMs = performance.now();
      last = current;
      return load;
    },
  };
}
