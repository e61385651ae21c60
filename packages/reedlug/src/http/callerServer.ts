/** The HTTP server of an entry box, for callers and operators. */
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import findMyWay from 'find-my-way';
import type { EntryDaemon } from '../daemon/entryDaemon.js';
import { workspaceOfKey } from 'reedlug-decisions';
import type { Settings } from '../settings/settingsTypes.js';
import { refusedError, errorBody, type ApiError, type ApiErrorType } from './apiError.js';
import { addAdminRoutes } from './adminRoutes.js';
import { sendError, sendJson } from './exchanges.js';
import { createKeyRing, type KeyRing } from './keys.js';
import { addModelRoutes } from './modelRoutes.js';
import { addRequestRoutes } from './requestRoutes.js';
import { addServiceRoutes } from './serviceRoutes.js';

/** Router of the HTTP server. */
export type Router = ReturnType<typeof createRouter>;

/** Dependencies that the routes share. */
export interface RouteContext {
  daemon: EntryDaemon;
  settings: Settings;
  workspaceKeys: KeyRing;
  operatorKeys: KeyRing;
  /** Returns a new unique id for a request. */
  newId: () => string;
}

/** Time between two checks of the connections for time-outs, in ms. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
const CLOSING_JSON_HEADERS = 'connection: close\r\ncontent-type: application/json\r\n';

function createRouter(onMissing: (request: IncomingMessage, response: ServerResponse) => void) {
  return findMyWay({ ignoreTrailingSlash: true, defaultRoute: onMissing, maxParamLength: 500 });
}

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
