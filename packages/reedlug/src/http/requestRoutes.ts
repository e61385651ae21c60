/** Routes for earlier requests: to get their outcome and to resume their answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestRecord } from 'reedlug-decisions';
import type { Exchange } from '../daemon/exchange.js';
import { authenticateWorkspace } from './callerRequest.js';
import { createJsonExchange, createStreamExchange, sendJson } from './exchanges.js';
import { ModelForm } from './modelRequest.js';
import { HeaderName } from './requestHeaders.js';
import { refuseRequest } from './refuseRequest.js';
import type { RouteContext, Router } from './routeContext.js';

/** Time that peers have to answer a lookup of a request, in ms. */
const PEER_LOOKUP_TIMEOUT_MS = 500;

/** Adds the routes for earlier requests. */
export function addRequestRoutes(router: Router, context: RouteContext): void {
  router.on('GET', '/v1/requests/:id', (request, response, params) =>
    sendOutcome(context, request, response, params['id'] ?? ''),
  );
  router.on('GET', '/v1/requests/:id/answer', (request, response, params) =>
    resumeAnswer(context, request, response, params['id'] ?? ''),
  );
}

function sendOutcome(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): void {
  const workspaceId = authenticateWorkspace(context, request, response);
  if (workspaceId === undefined) return;
  const record = context.daemon.state.requests.get(requestId);
  const isOwnRequest = record?.spec.workspaceId === workspaceId;
  if (record !== undefined && isOwnRequest && !wasHandedOver(record)) {
    sendJson(response, 200, outcomeBody(record));
    return;
  }
  lookUpAtPeers(context, response, requestId, workspaceId);
}

function wasHandedOver(record: RequestRecord): boolean {
  return record.phase.kind === 'settled' && record.phase.reason === 'handedOver';
}

function outcomeBody(record: RequestRecord): Record<string, unknown> {
  const { spec, phase } = record;
  const { requestId, requestClass } = spec;
  const tokens = record.ledger.tokens.length;
  if (phase.kind !== 'settled') return { requestId, requestClass, state: phase.kind, tokens };
  const { outcome, reason, status } = phase;
  return { requestId, requestClass, state: phase.kind, outcome, reason, status, tokens };
}

/**
 * Answers with the outcome that a peer reports. Follows the request for `PEER_LOOKUP_TIMEOUT_MS`;
 * a peer that holds it answers immediately.
 */
function lookUpAtPeers(
  context: RouteContext,
  response: ServerResponse,
  requestId: string,
  workspaceId: string,
): void {
  const followId = context.newId();
  let receivedTokens = 0;
  let isAnswered = false;
  const answerOnce = (status: number, value: unknown): void => {
    if (isAnswered) return;
    isAnswered = true;
    clearTimeout(timer);
    sendJson(response, status, value);
  };
  const exchange: Exchange = {
    onTokens: (offset, tokens) => {
      receivedTokens = offset + tokens.length;
    },
    onFinish: ({ outcome, reason, status }) => {
      if (reason === 'holderGone') answerOnce(404, notFoundBody(requestId));
      else
        answerOnce(200, {
          requestId,
          state: 'settled',
          outcome,
          reason,
          status,
          tokens: receivedTokens,
        });
    },
  };
  const timer = setTimeout(() => {
    context.daemon.callerGone(followId);
    if (receivedTokens > 0)
      answerOnce(200, { requestId, state: 'running', tokens: receivedTokens });
    else answerOnce(404, notFoundBody(requestId));
  }, PEER_LOOKUP_TIMEOUT_MS);
  context.daemon.followRequest({ followId, requestId, workspaceId, fromOffset: 0 }, exchange);
}

function notFoundBody(requestId: string): unknown {
  const message = 'no reachable entry box has this request of this workspace';
  return { error: { type: 'notFound', message, outcome: 'unknown', requestId } };
}

/** Resumes an answer after the offset in `Last-Event-ID`. Works at any entry box. */
function resumeAnswer(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): void {
  const workspaceId = authenticateWorkspace(context, request, response);
  if (workspaceId === undefined) return;
  const lastEventId = request.headers[HeaderName.lastEventId] ?? '0';
  if (typeof lastEventId !== 'string' || !/^\d{1,9}$/.test(lastEventId)) {
    refuseRequest(request, response, 'badRequest', `${HeaderName.lastEventId} must be an offset`);
    return;
  }
  const followId = context.newId();
  const params = {
    response,
    requestId,
    model: '',
    form: ModelForm.chat,
    createdAtSeconds: Math.floor(Date.now() / 1000),
  };
  const wantsStream = request.headers.accept !== 'application/json';
  const exchange = wantsStream ? createStreamExchange(params) : createJsonExchange(params);
  response.on('close', () => {
    if (!response.writableEnded) context.daemon.callerGone(followId);
  });
  const fromOffset = Number(lastEventId);
  context.daemon.followRequest({ followId, requestId, workspaceId, fromOffset }, exchange);
}
