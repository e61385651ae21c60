/** Classifies errors of the HTTP client by whether the request can have been sent. */

/** Codes of errors that occur before any byte of a request is written. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENOTFOUND',
]);

/** Returns true if no connection was established, so that no byte was sent. */
export function failedToConnect(error: unknown): boolean {
  const code = (error as { code?: unknown }).code;
  return typeof code === 'string' && NOT_CONNECTED_CODES.has(code);
}
