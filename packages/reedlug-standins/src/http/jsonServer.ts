/** A small HTTP server for stand-ins, with routes and JSON bodies. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import findMyWay from 'find-my-way';

/** A request with its parsed body. */
export interface JsonRequest {
  request: IncomingMessage;
  response: ServerResponse;
  body: unknown;
  params: Readonly<Record<string, string | undefined>>;
}

/** A route of a stand-in. `handle` returns undefined if it answers by itself or not at all. */
export interface JsonRoute {
  method: 'GET' | 'POST' | 'PUT' | 'HEAD' | 'PATCH' | 'DELETE';
  path: string;
  handle: (request: JsonRequest) => JsonAnswer | undefined | Promise<JsonAnswer | undefined>;
}

/** Status and JSON body of an answer. */
export interface JsonAnswer {
  status: number;
  value: unknown;
}

/** A running stand-in. */
export interface RunningServer {
  address: string;
  port: number;
  close: () => Promise<void>;
  /** Closes every open connection, as a crash of the box does, and stops listening. */
  kill: () => Promise<void>;
}

/** Starts a server on a loopback port. Port 0 selects any free port. */
export async function startJsonServer(
  routes: readonly JsonRoute[],
  port: number,
): Promise<RunningServer> {
  const router = findMyWay({
    defaultRoute: (_request, response) => {
      response.writeHead(404).end('{}');
    },
  });
  for (const route of routes) {
    router.on(
      route.method,
      route.path,
      (request, response, params) => void serve(route, request, response, params),
    );
  }
  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) =>
    router.lookup(request, response),
  );
  const bound = await listen(server, port);
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.closeAllConnections();
      server.close(() => resolve());
    });
  return { address: `http://127.0.0.1:${bound}`, port: bound, close, kill: close };
}

async function serve(
  route: JsonRoute,
  request: IncomingMessage,
  response: ServerResponse,
  params: Readonly<Record<string, string | undefined>>,
): Promise<void> {
  const body = await readJson(request);
  const answer = await route.handle({ request, response, body, params });
  if (answer === undefined || response.headersSent || response.destroyed) return;
  response.writeHead(answer.status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(answer.value));
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  const text = Buffer.concat(chunks).toString('utf8');
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

function listen(server: Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      const address = server.address();
      resolve(typeof address === 'object' && address !== null ? address.port : port);
    });
  });
}
