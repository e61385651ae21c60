/**
 * Connections to backend servers. Each connection is an undici client of its own that carries
 * one request at a time, so that an answer can only belong to the request in progress.
 */
import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { HostPort } from '../types/server.js';
import { ConnectOutcome, type ConnectionPath } from '../types/serverLink.js';
import { PROCESS_CLOCK, type Clock } from './clock.js';
import type { ServerSocket } from './openSocket.js';
import type { DialTarget, ServerDialer } from './serverDialer.js';
import { ServerUnreachedError } from './serverUnreachedError.js';

/** Idle time after which a connection is closed if the server states none, in ms. */
const IDLE_TIMEOUT_MS = 4000;
/** Subtracted from the idle time that a server states, in ms, so that the server does not close a connection on which a request is being sent. */
const IDLE_MARGIN_MS = 1000;

/** What the answer in progress is told of its connection, before the client is. */
export interface ConnectionReader {
  /** Bytes have arrived. */
  onReadable: () => void;
  /** No more bytes come: the client must not be paused from here on. */
  onEnd: () => void;
  isPaused: () => boolean;
}

/** Connection to a backend server. */
export interface Connection {
  client: Client;
  serverId: string;
  address: HostPort;
  /** Undefined until the connection is open. */
  path: ConnectionPath | undefined;
  /** When it was opened, on the clock of the pool, in ms; undefined before. */
  openedAtMs: number | undefined;
  /** Number of bytes that the client has read so far. */
  bytesRead: () => number;
  /** The answer in progress. */
  reader: ConnectionReader | undefined;
  /** True once the socket has failed: undici treats a close-delimited answer that was reset as complete. */
  failed: boolean;
  /** True while the answer being read has no length and ends when the connection closes. */
  isCloseDelimited: boolean;
  /** Whether the server closed the connection without a reset; set at the end of a close-delimited answer. */
  closedCleanly: Promise<boolean> | undefined;
}

/** Pool of idle connections by server. */
export interface ConnectionPool {
  /** Returns an idle connection or opens one; with `fresh` it always opens one. */
  acquire: (target: DialTarget, fresh: boolean) => Connection;
  /** Returns a connection to the pool after a complete answer. */
  release: (connection: Connection) => void;
  /** Closes a connection whose state is unknown. */
  discard: (connection: Connection) => void;
  closeAll: () => void;
}

/** Creates an empty pool. */
export function createConnectionPool(
  dialer: ServerDialer,
  isUsable: (connection: { serverId: string; path: ConnectionPath }) => boolean = () => true,
  { nowMs }: Pick<Clock, 'nowMs'> = PROCESS_CLOCK,
): ConnectionPool {
  const idle = new Map<string, Connection[]>();

  const isOpenPathUsable = ({ serverId, path }: Connection): boolean =>
    path === undefined || isUsable({ serverId, path });

  const removeIdle = (connection: Connection): void => {
    const list = idle.get(connection.serverId);
    const index = list?.indexOf(connection) ?? -1;
    if (list === undefined || index < 0) return;
    list.splice(index, 1);
    if (list.length === 0) idle.delete(connection.serverId);
  };

  const discard = (connection: Connection): void => {
    removeIdle(connection);
    // The outcome of the client's request has been reported already, so errors of closing it are ignored.
    connection.client.destroy().catch(() => undefined);
  };

  const open = (target: DialTarget): Connection => {
    const { serverId, address } = target;
    const client = new Client(`http://${address.host}:${address.port}`, {
      pipelining: 1,
      connect: (_options, callback) =>
        dialer.dial(target, (result) => {
          if (result.outcome !== ConnectOutcome.opened) {
            return callback(new ServerUnreachedError(result.outcome), null);
          }
          connection.path = result.path;
          connection.openedAtMs = nowMs();
          const { socket } = result;
          connection.bytesRead = () => socket.bytesRead - socket.readableLength;
          socket.on('readable', () => connection.reader?.onReadable());
          detectUncleanClose(connection, socket);
          // The client needs no more of a socket than a tunnel has.
          callback(null, socket as Socket);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // The gateway enforces the deadlines itself; a silent server alone does not end an answer.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: Connection = {
      client,
      serverId,
      address,
      path: undefined,
      openedAtMs: undefined,
      bytesRead: () => 0,
      reader: undefined,
      failed: false,
      isCloseDelimited: false,
      closedCleanly: undefined,
    };
    client.on('disconnect', () => discard(connection));
    return connection;
  };

  return {
    acquire(target, fresh) {
      const { serverId, address } = target;
      // A server that restarted under its id may have another address.
      const hasSameAddress = (connection: Connection): boolean =>
        connection.address.host === address.host && connection.address.port === address.port;
      const outdated =
        idle
          .get(serverId)
          ?.filter((connection) => !hasSameAddress(connection) || !isOpenPathUsable(connection)) ??
        [];
      outdated.forEach(discard);
      const found = fresh ? undefined : idle.get(serverId)?.at(-1);
      if (found === undefined) return open(target);
      removeIdle(found);
      return found;
    },
    release(connection) {
      if (connection.client.destroyed || connection.client.closed) return;
      if (!isOpenPathUsable(connection)) return discard(connection);
      const list = idle.get(connection.serverId) ?? [];
      list.push(connection);
      idle.set(connection.serverId, list);
    },
    discard,
    closeAll() {
      for (const list of [...idle.values()])
        for (const connection of [...list]) discard(connection);
    },
  };
}

/**
 * Detects whether a server closed a connection cleanly or reset it. If a reset arrives together
 * with the last bytes, libuv reports an ordinary end. A write distinguishes the two, since it
 * fails on a reset connection; an empty line between requests is harmless.
 */
function detectUncleanClose(connection: Connection, socket: ServerSocket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    // undici itself ends a connection that won't be reused with this error.
    if (error.code !== 'UND_ERR_INFO') connection.failed = true;
    // undici ends a paused answer that is reset with an assertion, but reports other errors.
    if (error.code === 'ECONNRESET' && connection.reader?.isPaused() === true) error.code = 'EPIPE';
  });
  socket.prependListener('end', () => {
    if (connection.isCloseDelimited) {
      connection.closedCleanly = new Promise((resolve) => {
        socket.write('\r\n', (error) => resolve(!error));
      });
    }
    connection.reader?.onEnd();
  });
}
