/** HTTP server for callers: reads complete requests, answers in order, and reports when a caller disconnects. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CallerResponse, createCallerConnections } from './callerConnections.js';
import type { RequestHead } from '../adapter.js';
import type { RequestBudget } from './bufferBudget.js';
import { DEFAULT_CALLER_LIMITS } from '../settings/defaults.js';
import { STOPPING_REASON } from '../slices/lifecycle/shutdown.js';
import type { CallerLimits } from '../types/configuration.js';

/** Maximum size of a head that the parser accepts, in bytes; the configuration's lower limit is checked afterwards. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** Statuses for requests that can't be read, by the error's code; 400 for others. */
const UNREADABLE_STATUSES: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);
/** Interval at which incomplete heads are checked for timeouts, in ms. */
const HEADER_CHECK_INTERVAL_MS = 500;

/** Request and the response object that answers its caller. */
export interface CallerExchange {
  id: number;
  head: RequestHead;
  body: Buffer;
  response: ServerResponse;
  /** Id of the last event written to the caller of a stream. */
  lastEventId: number | undefined;
  /** Whether its caller has ended or closed the connection, as far as that has been read. */
  isCallerGone: () => boolean;
  /** Whether it was handed to a connection to a server, so that it may have run. */
  isSent: boolean;
}

/** Receives the server's events and provides its limits. */
export interface CallerListener {
  onRequest: (exchange: CallerExchange) => void;
  onCallerGone: (exchangeId: number) => void;
  /** Called for a request that breaks a limit and is answered immediately with this status. */
  onRejected: (status: number, reason: string) => void;
  /** Returns the header fields of a refusal because of a shutdown. */
  shutdownHeaders: () => string[];
  /** Returns the header fields of a refusal for want of memory. */
  noRoomHeaders: () => string[];
  requestBudget: RequestBudget;
  limits: () => CallerLimits | undefined;
  isShuttingDown: () => boolean;
  /** Called for each connection that is accepted. */
  onConnection: () => void;
  /** Called for each connection that is closed unread. */
  onConnectionClosed: () => void;
}

/** Sets whether new connections are closed before a byte of them is read; open ones go on. */
export function setClosesConnections(server: Server, closes: boolean): void {
  // Beside open connections a bound of one closes each further one; without any, one may come.
  server.maxConnections = closes ? 1 : Number.MAX_SAFE_INTEGER;
}

/** Server for callers. */
export interface CallerServer {
  server: Server;
  /** Number of requests that callers are sending, or whose answers have not left. */
  openExchanges: () => number;
  /** Number of open connections. */
  connections: () => number;
  /** Refuses requests that have not arrived completely, and ends all connections once their answers have left. */
  end: () => Promise<void>;
}

/** Creates the server without listening. */
export function createCallerServer(listener: CallerListener): CallerServer {
  let nextId = 1;
  const connections = createCallerConnections(listener.isShuttingDown);
  /** Answers to the requests whose bodies are arriving. */
  const arriving = new Set<CallerResponse>();
  const reject = (
    response: CallerResponse,
    { status, reason, headers = [] }: { status: number; reason: string; headers?: string[] },
  ): void => {
    listener.onRejected(status, reason);
    response.shouldKeepAlive = false;
    response.writeHead(status, [...headers, 'Content-Length', '0']);
    response.end();
  };
  const limits = (): CallerLimits => listener.limits() ?? DEFAULT_CALLER_LIMITS;
  const server: Server = createServer(
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_CALLER_LIMITS.idleTimeoutMs,
      headersTimeout: DEFAULT_CALLER_LIMITS.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      noDelay: true,
      // Such requests are rejected below, where what comes behind them is not passed on.
      requireHostHeader: false,
      // The type asks for a class that is generic in its request.
      ServerResponse: CallerResponse as typeof ServerResponse,
    },
    (request, answer) => {
      const response = answer as CallerResponse;
      if (!connections.begin(request.socket, response)) return void request.resume();
      response.sendDate = false;
      const currentLimits = limits();
      server.keepAliveTimeout = currentLimits.idleTimeoutMs;
      server.headersTimeout = currentLimits.headerTimeoutMs;
      let exchangeId: number | undefined;
      const { socket } = request;
      const reportGone = (): void => {
        if (exchangeId === undefined || response.writableFinished) return;
        listener.onCallerGone(exchangeId);
        exchangeId = undefined;
      };
      // A connection closes some turns of the event loop after its end was read.
      response.onCallerEnd = reportGone;
      response.once('close', () => {
        arriving.delete(response);
        connections.leave(socket, response);
        reportGone();
      });
      const fault = findHeadFault(request, currentLimits);
      if (fault !== undefined) return reject(response, fault);
      arriving.add(response);
      const room = roomFor(response, listener.requestBudget);
      readBody(request, { maxBytes: currentLimits.maxBodyBytes, room }, (result) => {
        // It was refused before all of it arrived.
        if (!arriving.delete(response)) return;
        if (result === 'tooLarge') return reject(response, { status: 413, reason: 'bodyTooLarge' });
        if (result === 'noRoom') {
          const headers = listener.noRoomHeaders();
          return reject(response, { status: 503, reason: 'outOfBuffers', headers });
        }
        const body = result;
        const id = nextId;
        nextId += 1;
        exchangeId = id;
        const head = {
          method: request.method ?? '',
          path: request.url ?? '',
          rawHeaders: request.rawHeaders,
        };
        const isCallerGone = (): boolean => socket.readableEnded || socket.destroyed;
        const state = { lastEventId: undefined, isSent: false };
        listener.onRequest({ id, head, body, response, isCallerGone, ...state });
      });
    },
  );
  // Closing the server calls it, and Node counts a connection as idle once its answer was ended, though it has not left.
  server.closeIdleConnections = () => undefined;
  server.on('drop', () => listener.onConnectionClosed());
  server.on('connection', (socket) => {
    connections.add(socket);
    listener.onConnection();
  });
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    // The server's connections are TCP sockets.
    const socket = stream as Socket;
    // A caller that has ended its side is gone.
    const isOpen = socket.writable && !socket.readableEnded;
    const last = isOpen ? connections.endUnreadable(socket) : undefined;
    if (last === undefined) return closeUnreadable(socket, error);
    if (arriving.delete(last)) reject(last, { status: 400, reason: 'bodyMalformed' });
  });
  return {
    server,
    openExchanges: connections.openExchanges,
    connections: connections.count,
    end() {
      server.close();
      const headers = listener.shutdownHeaders();
      for (const response of arriving) {
        reject(response, { status: 503, reason: STOPPING_REASON, headers });
      }
      arriving.clear();
      return connections.endAll();
    },
  };
}

/** Answers bytes that can't be read as a request, on a connection without open answers, and closes it. */
function closeUnreadable(socket: Socket, error: NodeJS.ErrnoException): void {
  const status = UNREADABLE_STATUSES.get(error.code ?? '') ?? '400 Bad Request';
  if (socket.writable) socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  socket.destroy();
}

function findHeadFault(
  request: IncomingMessage,
  limits: CallerLimits,
): { status: number; reason: string } | undefined {
  const hosts = request.rawHeaders.filter(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'host',
  );
  if (hosts.length !== 1) return { status: 400, reason: 'hostNotNamedOnce' };
  if (request.url?.startsWith('/') !== true) return { status: 400, reason: 'pathNotAbsolute' };
  if (headBytes(request) > limits.maxHeaderBytes) return { status: 431, reason: 'headTooLarge' };
  const length = Number(request.headers['content-length'] ?? 0);
  if (length > limits.maxBodyBytes) return { status: 413, reason: 'bodyTooLarge' };
  return undefined;
}

/** Returns the size of the request line and the header fields, including separators, in bytes. */
function headBytes(request: IncomingMessage): number {
  const requestLine = (request.method?.length ?? 0) + (request.url?.length ?? 0) + 12;
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, requestLine);
}

/** Returns a function that takes room for parts of a body, which is free again when the answer has left. */
function roomFor(response: ServerResponse, budget: RequestBudget): (bytes: number) => boolean {
  let takenBytes = 0;
  return (bytes) => {
    if (response.destroyed || !budget.take(bytes)) return false;
    if (takenBytes === 0) response.once('close', () => budget.release(takenBytes));
    takenBytes += bytes;
    return true;
  };
}

/** Reads the complete body and passes it to `done`, or why it is not read. `done` isn't called if the caller disconnects. */
function readBody(
  request: IncomingMessage,
  { maxBytes, room }: { maxBytes: number; room: (bytes: number) => boolean },
  done: (result: Buffer | 'tooLarge' | 'noRoom') => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let isRefused = false;
  const refuse = (why: 'tooLarge' | 'noRoom'): void => {
    isRefused = true;
    chunks.length = 0;
    done(why);
  };
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (isRefused) return;
    if (bytes > maxBytes) return refuse('tooLarge');
    if (!room(chunk.length)) return refuse('noRoom');
    chunks.push(chunk);
  });
  request.on('end', () => {
    if (!isRefused) done(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
  });
  // A caller that disconnects before its body is complete has not made a request yet.
  request.on('error', () => undefined);
}
