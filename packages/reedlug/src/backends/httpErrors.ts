/** What an HTTP client's error says about whether the request was sent. */

/** Codes of errors before any byte of a request was written. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENOTFOUND',
]);

/** True when the connection was never made, so that no byte can have left. */
export function failedToConnect(error: unknown): boolean {
  const code = (error as { code?: unknown }).code;
  return typeof code === 'string' && NOT_CONNECTED_CODES.has(code);
}
