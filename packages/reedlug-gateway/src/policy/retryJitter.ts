/** Spreads the times at which refused callers come back. */
import { hashShare } from 'reedlug-coordination';

/** Greatest part added to the time to come back, drawn by the request's id, so that those refused together do not come back together. */
const MAX_RETRY_JITTER = 0.25;

/** The time to come back that a request is told, in ms. */
export function addRetryJitter(retryMs: number, requestId: string): number {
  return retryMs * (1 + MAX_RETRY_JITTER * hashShare(requestId));
}
