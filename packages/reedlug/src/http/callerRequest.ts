/** Common first steps of the caller routes: authenticate, read the body, parse the headers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody } from './body.js';
import { refuseRequest } from './refuseRequest.js';
import type { RouteContext } from './routeContext.js';
import { parseRequestHeaders, type RequestHeadersResult } from './requestHeaders.js';

/** An authenticated request with its complete body. */
export interface CallerRequest {
  workspaceId: string;
  body: Buffer;
  headers: RequestHeadersResult;
}

/** Returns the workspace of the request's key, or refuses the request and returns undefined. */
export function authenticateWorkspace(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): string | undefined {
  const workspaceId = context.workspaceKeys.ownerOf(request.headers.authorization);
  if (workspaceId !== undefined) return workspaceId;
  const message = 'send "Authorization: Bearer KEY" with a key of a workspace';
  refuseRequest(request, response, 'unauthorized', message);
  return undefined;
}

/** Reads a request. Returns undefined if it was refused or the caller closed the connection. */
export async function readCallerRequest(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<CallerRequest | undefined> {
  const workspaceId = authenticateWorkspace(context, request, response);
  if (workspaceId === undefined) return undefined;
  const { maxBodyBytes, deadlineLimitMs } = context.settings.callers;
  const read = await readBody(request, maxBodyBytes);
  switch (read.kind) {
    case 'tooLarge': {
      const message = `the body must not exceed ${maxBodyBytes} bytes`;
      refuseRequest(request, response, 'bodyTooLarge', message);
      return undefined;
    }
    case 'aborted':
      return undefined;
    case 'body':
      return {
        workspaceId,
        body: read.body,
        headers: parseRequestHeaders(request.headers, deadlineLimitMs),
      };
  }
}
