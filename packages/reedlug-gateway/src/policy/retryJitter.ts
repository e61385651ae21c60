/** Adds jitter to the times after which refused callers retry. */
import { hashFraction } from 'reedlug-coordination';

/**
 * Maximum jitter as a share of the retry time. It is derived from the request's id, so that
 * requests refused together are not retried together.
 */
const MAX_RETRY_JITTER = 0.25;

/** Returns the retry time of a request including its jitter, in ms. */
export function addRetryJitter(retryMs: number, requestId: string): number {
  return retryMs * (1 + MAX_RETRY_JITTER * hashFraction(requestId));
}
