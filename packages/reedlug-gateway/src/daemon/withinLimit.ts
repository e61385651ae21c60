/** Second time limit of calls to the platform, for those whose own one fails. */
import type { Clock } from './clock.js';

/** Time after its own limit at which a call that has not ended is abandoned, in ms. */
const ABANDON_AFTER_MS = 200;

/** Returns the outcome of a call that limits itself to `timeoutMs`, or `abandoned` if it outlives that. */
export async function withinLimit<T>(
  clock: Pick<Clock, 'pause'>,
  call: Promise<T>,
  { timeoutMs, abandoned }: { timeoutMs: number; abandoned: T },
): Promise<T> {
  const limit = new AbortController();
  const outlived = clock.pause(timeoutMs + ABANDON_AFTER_MS, limit.signal).then(() => abandoned);
  try {
    return await Promise.race([call, outlived]);
  } finally {
    limit.abort();
  }
}
