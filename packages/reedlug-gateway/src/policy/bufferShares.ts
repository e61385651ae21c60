/**
 * Divides the memory for what is buffered for callers.
 *
 * Answers the load of many large requests and answers at once, whose sum no bound on a single one limits. Each kind has
 * a part of its own, so that servers that send without end take no room from requests that arrive.
 */

/** Share of a box's memory that is used for buffers by default; the rest is the process itself, and buffers that are not collected yet. */
const MEMORY_SHARE = 1 / 4;
/** Largest memory for buffers by default, in bytes: several of the largest answers at once. */
const MAX_DEFAULT_BYTES = 67_108_864;
/** Least that a caller of a stream may leave unread, in bytes: one read of a connection. */
const MIN_UNREAD_BYTES = 16_384;

/** Memory for each kind of buffer, in bytes. */
export interface BufferShares {
  answerBytes: number;
  requestBytes: number;
  unreadBytes: number;
}

/** Returns the memory for buffers of a box whose memory is known or not, in bytes. */
export function defaultBufferedBytes(memoryBytes: number | undefined): number {
  const known = memoryBytes === undefined || memoryBytes <= 0 ? Infinity : memoryBytes;
  return Math.floor(Math.min(MAX_DEFAULT_BYTES, known * MEMORY_SHARE));
}

/** Returns the parts: half of it for answers, a quarter each for requests and for what callers of streams have not read. */
export function bufferShares(maxBufferedBytes: number): BufferShares {
  const quarter = maxBufferedBytes / 4;
  return { answerBytes: quarter * 2, requestBytes: quarter, unreadBytes: quarter };
}

/** Returns how much the caller of one of several streams may leave unread before its server is not read, in bytes. */
export function unreadBound(params: {
  maxUnreadBytes: number;
  unreadBytes: number;
  exchanges: number;
}): number {
  const { maxUnreadBytes, unreadBytes, exchanges } = params;
  const share = unreadBytes / Math.max(1, exchanges);
  return Math.min(maxUnreadBytes, Math.max(MIN_UNREAD_BYTES, share));
}
