/** Refusal of a request that may not have been read to its end. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { refusedError, type ApiErrorType } from './apiError.js';
import { sendError } from './exchanges.js';

/** Refuses a request and, when its body is unread, closes the connection after the answer. */
export function refuseRequest(
  request: IncomingMessage,
  response: ServerResponse,
  type: ApiErrorType,
  message: string,
): void {
  if (!request.complete) response.setHeader('connection', 'close');
  sendError(response, refusedError(type, message), undefined);
  if (!request.complete) {
    response.once('finish', () => request.destroy());
  }
}
