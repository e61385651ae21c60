/** Spreads the times at which refused callers come back. */
import { hashFraction } from 'reedlug-coordination';

/** Greatest part added to the time to come back, drawn by the request's id, so that those refused together do not come back together. */
const RETRY_SPREAD = 0.25;

/** The time to come back that a request is told, in ms. */
export function spreadRetryMs(retryMs: number, requestId: string): number {
  return retryMs * (1 + RETRY_SPREAD * hashFraction(requestId));
}
