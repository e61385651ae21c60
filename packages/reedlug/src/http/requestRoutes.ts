/** Routes about earlier requests: their outcome, and picking a stream up again. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestRecord } from 'reedlug-decisions';
import type { Exchange } from '../daemon/exchange.js';
import { workspaceOf } from './callerRequest.js';
import { refuseRequest, type RouteContext, type Router } from './callerServer.js';
import { createPlainExchange, createStreamExchange, sendJson } from './exchanges.js';
import { ModelForm } from './modelRequest.js';
import { HeaderName } from './requestHeaders.js';

/** How long the peers are asked for the outcome of a request, in ms. */
const ASK_PEERS_MS = 500;

/** Adds the routes. */
export function addRequestRoutes(router: Router, context: RouteContext): void {
  router.on('GET', '/v1/requests/:id', (request, response, params) =>
    tellOutcome(context, request, response, params['id'] ?? ''),
  );
  router.on('GET', '/v1/requests/:id/answer', (request, response, params) =>
    pickUp(context, request, response, params['id'] ?? ''),
  );
}

function tellOutcome(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): void {
  const workspaceId = workspaceOf(context, request, response);
  if (workspaceId === undefined) return;
  const record = context.daemon.state.requests.get(requestId);
  const isHere = record?.spec.workspaceId === workspaceId;
  if (record !== undefined && isHere && !wasHandedOver(record)) {
    sendJson(response, 200, statusOf(record));
    return;
  }
  askPeers(context, response, requestId, workspaceId);
}

function wasHandedOver(record: RequestRecord): boolean {
  return record.phase.kind === 'settled' && record.phase.reason === 'handedOver';
}

function statusOf(record: RequestRecord): Record<string, unknown> {
  const { spec, phase } = record;
  const { requestId, requestClass } = spec;
  const tokens = record.ledger.tokens.length;
  if (phase.kind !== 'settled') return { requestId, requestClass, state: phase.kind, tokens };
  const { outcome, reason, status } = phase;
  return { requestId, requestClass, state: phase.kind, outcome, reason, status, tokens };
}

/** Follows the request for a moment; a peer that has it answers at once. */
function askPeers(
  context: RouteContext,
  response: ServerResponse,
  requestId: string,
  workspaceId: string,
): void {
  const followId = context.newId();
  let tokensSeen = 0;
  let told = false;
  const tell = (status: number, value: unknown): void => {
    if (told) return;
    told = true;
    clearTimeout(timer);
    sendJson(response, status, value);
  };
  const exchange: Exchange = {
    onTokens: (offset, tokens) => {
      tokensSeen = offset + tokens.length;
    },
    onFinish: ({ outcome, reason, status }) => {
      if (reason === 'holderGone') tell(404, notKnown(requestId));
      else tell(200, { requestId, state: 'settled', outcome, reason, status, tokens: tokensSeen });
    },
  };
  const timer = setTimeout(() => {
    context.daemon.callerGone(followId);
    if (tokensSeen > 0) tell(200, { requestId, state: 'running', tokens: tokensSeen });
    else tell(404, notKnown(requestId));
  }, ASK_PEERS_MS);
  context.daemon.followRequest({ followId, requestId, workspaceId, fromOffset: 0 }, exchange);
}

function notKnown(requestId: string): unknown {
  const message = 'no reachable entry box has this request of this workspace';
  return { error: { type: 'notFound', message, outcome: 'unknown', requestId } };
}

/** Goes on with an answer after the offset in `Last-Event-ID`, at any entry box. */
function pickUp(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): void {
  const workspaceId = workspaceOf(context, request, response);
  if (workspaceId === undefined) return;
  const last = request.headers[HeaderName.lastEventId] ?? '0';
  if (typeof last !== 'string' || !/^\d{1,9}$/.test(last)) {
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
  const exchange = wantsStream ? createStreamExchange(params) : createPlainExchange(params);
  response.on('close', () => {
    if (!response.writableEnded) context.daemon.callerGone(followId);
  });
  const fromOffset = Number(last);
  context.daemon.followRequest({ followId, requestId, workspaceId, fromOffset }, exchange);
}
