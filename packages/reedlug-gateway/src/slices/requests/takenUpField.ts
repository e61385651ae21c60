/** Log field of requests that take up a stream. */
import type { HeadFacts } from '../../types/request.js';

/** Returns the log field that marks the end of a request that takes up a stream; none for other requests. */
export function takenUpField({
  lastEventId,
  resumedRequestId,
}: HeadFacts): Readonly<Record<string, string>> {
  if (resumedRequestId !== undefined) return { resumes: resumedRequestId };
  return lastEventId === undefined ? {} : { resumes: '' };
}
