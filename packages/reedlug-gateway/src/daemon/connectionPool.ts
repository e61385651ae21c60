/**
 * Connections to backend servers: one undici client a connection, one request
 * at a time on each, so that an answer can only belong to the request in progress.
 */
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';

/** Idle time after which a connection is closed where the server names none, in ms. */
const IDLE_TIMEOUT_MS = 4000;
/** Taken off the idle time that a server names, in ms: a send must not cross its close. */
const IDLE_MARGIN_MS = 1000;

/** A connection and what it goes to. */
export interface Connection {
  client: Client;
  serverId: string;
  address: HostPort;
  /** True once its socket failed; undici takes an unframed answer that is reset for a whole one. */
  failed: boolean;
  /** Set while an answer is read that has no length and ends with its connection. */
  isCloseDelimited: boolean;
  /** Whether the server closed the connection in good order; set at the end of such an answer. */
  closedCleanly: Promise<boolean> | undefined;
}

/** Idle connections by server. */
export interface ConnectionPool {
  /** An idle connection, or a fresh one; `fresh` asks for a new one in any case. */
  acquire: (serverId: string, address: HostPort, fresh: boolean) => Connection;
  /** Gives a connection back after a whole answer. */
  release: (connection: Connection) => void;
  /** Ends a connection whose state is not known. */
  discard: (connection: Connection) => void;
  closeAll: () => void;
}

/** Returns an empty pool. */
export function createConnectionPool(): ConnectionPool {
  const idle = new Map<string, Connection[]>();
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

  const removeIdle = (connection: Connection): void => {
    const list = idle.get(connection.serverId);
    const index = list?.indexOf(connection) ?? -1;
    if (list === undefined || index < 0) return;
    list.splice(index, 1);
    if (list.length === 0) idle.delete(connection.serverId);
  };

  const discard = (connection: Connection): void => {
    removeIdle(connection);
    // The requests of a destroyed client have been told; there is nothing left to report.
    connection.client.destroy().catch(() => undefined);
  };

  const open = (serverId: string, address: HostPort): Connection => {
    const client = new Client(`http://${address.host}:${address.port}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          if (result[1]) detectUncleanClose(connection, result[1]);
          callback(...result);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // The gateway keeps the time itself: a server's silence is no reason to end an answer.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: Connection = {
      client,
      serverId,
      address,
      failed: false,
      isCloseDelimited: false,
      closedCleanly: undefined,
    };
    client.on('disconnect', () => discard(connection));
    return connection;
  };

  return {
    acquire(serverId, address, fresh) {
      const hasSameAddress = (connection: Connection): boolean =>
        connection.address.host === address.host && connection.address.port === address.port;
      // A server that started again under its id may stand elsewhere.
      const outdated =
        idle.get(serverId)?.filter((connection) => !hasSameAddress(connection)) ?? [];
      outdated.forEach(discard);
      const found = fresh ? undefined : idle.get(serverId)?.at(-1);
      if (found === undefined) return open(serverId, address);
      removeIdle(found);
      return found;
    },
    release(connection) {
      if (connection.client.destroyed || connection.client.closed) return;
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
 * Finds out how a server closed a connection. When a reset arrives together with
 * the last bytes, libuv reports an ordinary end; only a write tells them apart,
 * since it fails on a reset connection. An empty line between requests is harmless.
 */
function detectUncleanClose(connection: Connection, socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    // undici ends a connection that is not used again by an error of its own.
    if (error.code !== 'UND_ERR_INFO') connection.failed = true;
  });
  socket.prependListener('end', () => {
    if (!connection.isCloseDelimited) return;
    connection.closedCleanly = new Promise((resolve) => {
      socket.write('\r\n', (error) => resolve(!error));
    });
  });
}
