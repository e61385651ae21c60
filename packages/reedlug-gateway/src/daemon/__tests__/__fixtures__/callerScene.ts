/** Connections of callers to a server for callers, without a box. */
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { createRequestBudget } from '../../bufferBudget.js';
import {
  createCallerServer,
  type CallerExchange,
  type CallerListener,
  type CallerServer,
} from '../../callerServer.js';

export const HEAD = 'HTTP/1.1\r\nHost: a\r\n';
/** Longest wait for a condition, and the time in which one that must not come true would have, in ms. */
const MAX_WAIT_MS = 3000;
const SETTLE_MS = 100;

/** Server for callers on loopback, and what it has passed on. */
export interface Scene {
  callers: CallerServer;
  /** Requests that were passed on, in order. */
  exchanges: CallerExchange[];
  rejected: string[];
  gone: number[];
  port: number;
  isStopping: boolean;
}

/** Starts a server whose requests stay open until they are answered. */
export async function startScene(changes: Partial<CallerListener> = {}): Promise<Scene> {
  const scene = { exchanges: [], rejected: [], gone: [], isStopping: false } as unknown as Scene;
  scene.callers = createCallerServer({
    onRequest: (exchange) => void scene.exchanges.push(exchange),
    onCallerGone: (id) => void scene.gone.push(id),
    onRejected: (status, reason) => void scene.rejected.push(`${status} ${reason}`),
    shutdownHeaders: () => ['Retry-After', '1'],
    noRoomHeaders: () => ['Retry-After', '1'],
    requestBudget: createRequestBudget(Number.MAX_SAFE_INTEGER),
    limits: () => undefined,
    isShuttingDown: () => scene.isStopping,
    onConnection: () => undefined,
    onConnectionClosed: () => undefined,
    ...changes,
  });
  scene.callers.server.listen(0, '127.0.0.1');
  await once(scene.callers.server, 'listening');
  scene.port = (scene.callers.server.address() as AddressInfo).port;
  return scene;
}

/** Connection of a caller. */
export interface Caller {
  socket: Socket;
  text: () => string;
  /** How its connection ended; undefined while it is open. */
  end: () => 'fin' | 'reset' | undefined;
}

/** Opens a connection on which a caller does not end by itself. */
export async function openCaller({ port }: Scene): Promise<Caller> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  await once(socket, 'connect');
  let text = '';
  let end: 'fin' | 'reset' | undefined;
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  socket.on('end', () => (end ??= 'fin'));
  socket.on('error', () => (end ??= 'reset'));
  return { socket, text: () => text, end: () => end };
}

/** Waits for what must not come. */
export const settle = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, SETTLE_MS));

/** Waits until a condition is true. */
export async function until(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + MAX_WAIT_MS;
  while (!condition()) {
    if (performance.now() > endMs)
      throw new Error(`not true after ${MAX_WAIT_MS} ms: ${condition}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Gives a request its whole answer. */
export function answer(exchange: CallerExchange | undefined, body = 'ok'): void {
  exchange?.response.writeHead(200, { 'content-length': body.length });
  exchange?.response.end(body);
}

/** Ends everything. */
export function close({ callers }: Scene, ...open: Caller[]): void {
  for (const { socket } of open) socket.destroy();
  callers.server.close();
  callers.server.closeAllConnections();
}
