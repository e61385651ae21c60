/** Second time limit of calls to the platform, for those whose own one fails; also for calls that throw or reject. */
import type { Clock } from './clock.js';

/** Time after its own limit at which a call that has not ended is abandoned, in ms. */
const ABANDON_AFTER_MS = 200;

/** Limit of a call, and its outcome when it has none of its own. */
export interface CallLimit<T> {
  timeoutMs: number;
  abandoned: T;
  /** Called for a call that throws or rejects, which by its interface it never does. */
  onFault: (error: unknown) => void;
}

/** Returns the outcome of a call that limits itself to `timeoutMs`, or `abandoned` if it outlives that or fails. */
export async function withinLimit<T>(
  clock: Pick<Clock, 'pause'>,
  call: () => Promise<T>,
  { timeoutMs, abandoned, onFault }: CallLimit<T>,
): Promise<T> {
  const limit = new AbortController();
  const outlived = clock.pause(timeoutMs + ABANDON_AFTER_MS, limit.signal).then(() => abandoned);
  try {
    return await Promise.race([call(), outlived]);
  } catch (error) {
    onFault(error);
    return abandoned;
  } finally {
    limit.abort();
  }
}
