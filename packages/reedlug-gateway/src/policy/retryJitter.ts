/** Adds jitter to the delay after which a refused request is retried. */
import { hashFraction } from 'reedlug-coordination';

/**
 * Maximum jitter as a share of the delay. The jitter itself is derived from the request's id, so
 * that requests refused together are not retried together.
 */
const MAX_RETRY_JITTER = 0.25;

/** Returns the delay before the retry of a request, including its jitter, in ms. */
export function addRetryJitter(retryDelayMs: number, requestId: string): number {
  return retryDelayMs * (1 + MAX_RETRY_JITTER * hashFraction(requestId));
}
