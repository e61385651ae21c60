/** What every caller's route begins with: key, body and headers, or a refusal. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody } from './body.js';
import { refuseRequest, type RouteContext } from './callerServer.js';
import { parseRequestHeaders, type RequestHeadersResult } from './requestHeaders.js';

/** A caller's request with a right key and a whole body. */
export interface CallerRequest {
  workspaceId: string;
  body: Buffer;
  headers: RequestHeadersResult;
}

/** The workspace of a request's key; undefined after the request was refused. */
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

/** Reads a request; undefined after it was refused or its caller went away. */
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
      const message = `the body may have ${maxBodyBytes} bytes at most`;
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
