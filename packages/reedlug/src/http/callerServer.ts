/** The HTTP server of an entry box, for callers and operators. */
import { randomUUID } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import type { EntryDaemon } from '../daemon/entryDaemon.js';
import { workspaceOfKey } from 'reedlug-decisions';
import { refusedError, errorBody, type ApiError } from './apiError.js';
import { addAdminRoutes } from './adminRoutes.js';
import { sendError, sendJson } from './exchanges.js';
import { createKeyRing } from './keys.js';
import { addModelRoutes } from './modelRoutes.js';
import { addRequestRoutes } from './requestRoutes.js';
import { createRouter, type RouteContext, type Router } from './routeContext.js';
import { addServiceRoutes } from './serviceRoutes.js';

/** Time between two checks of the connections for time-outs, in ms. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
const CLOSING_JSON_HEADERS = 'connection: close\r\ncontent-type: application/json\r\n';

/** Creates the HTTP server of an entry box, without starting to listen. */
export function createCallerServer(daemon: EntryDaemon): Server {
  const { settings } = daemon;
  const router = createRouter((_request, response) => {
    sendError(response, refusedError('notFound', 'no such path; see docs/api.md'), undefined);
  });
  const context: RouteContext = {
    daemon,
    settings,
    workspaceKeys: createKeyRing(settings.workspaces, (hash) => workspaceOfKey(daemon.state, hash)),
    operatorKeys: createKeyRing(settings.operators),
    newId: () => randomUUID(),
  };
  addHealthRoutes(router, daemon);
  addModelRoutes(router, context);
  addServiceRoutes(router, context);
  addRequestRoutes(router, context);
  addAdminRoutes(router, context);
  const { maxHeaderBytes, headersTimeoutMs, requestTimeoutMs } = settings.callers;
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      keepAliveTimeout: 65_000,
    },
    (request, response) => router.lookup(request, response),
  );
  server.on('clientError', answerClientError);
  return server;
}

function addHealthRoutes(router: Router, daemon: EntryDaemon): void {
  router.on('GET', '/healthz', (_request, response) => sendJson(response, 200, { status: 'ok' }));
  router.on('GET', '/readyz', (_request, response) => {
    const ready = daemon.ready();
    sendJson(response, ready ? 200 : 503, { ready, revision: daemon.state.config.revision });
  });
}

/** Answers a request that the HTTP parser rejected, then closes the connection. */
function answerClientError(
  error: NodeJS.ErrnoException,
  socket: Socket | import('node:stream').Duplex,
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const refused = errorFromParserCode(error.code);
  const body = errorBody(refused, undefined);
  const head = `HTTP/1.1 ${refused.status} ${refused.type}\r\n${CLOSING_JSON_HEADERS}`;
  socket.end(`${head}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

function errorFromParserCode(code: string | undefined): ApiError {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return refusedError('headersTooLarge', 'the headers are too large; send fewer');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return refusedError(
        'requestTimeout',
        'the request was not received in time; send it without pauses',
      );
    default:
      return refusedError('badRequest', 'this is not a valid HTTP/1.1 request (RFC 9112)');
  }
}
