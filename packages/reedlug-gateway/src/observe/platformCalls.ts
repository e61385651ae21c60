/** Counts the calls of a box to the platform's services, for metrics and as a regular log line. */
import type { Counter } from 'prom-client';
import type { Clock } from '../daemon/clock.js';
import type { PlatformCall } from '../types/platformCall.js';
import type { Logger } from './logger.js';

/** Interval of the log line, in ms. */
const LOG_INTERVAL_MS = 10_000;

/** Counts of a box since its start. */
export interface PlatformCallCounts {
  count: (call: PlatformCall) => void;
  /** Logs the counts if the interval has passed. */
  logWhenDue: () => void;
}

/** Creates counts at zero. */
export function createPlatformCallCounts(params: {
  metric: Counter;
  logger: Logger;
  clock: Clock;
}): PlatformCallCounts {
  const { metric, logger, clock } = params;
  const counts = new Map<string, number>();
  let loggedAtMs = clock.nowMs();
  return {
    count({ purpose, kind, outcome }) {
      metric.inc({ purpose, kind, outcome });
      const key = `${purpose}.${kind}.${outcome}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    },
    logWhenDue() {
      if (clock.nowMs() - loggedAtMs < LOG_INTERVAL_MS) return;
      loggedAtMs = clock.nowMs();
      logger('platformCalls', Object.fromEntries(counts));
    },
  };
}
