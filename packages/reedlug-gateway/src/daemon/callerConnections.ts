/**
 * Connections of callers: how many of their requests are open, and how connections end.
 *
 * Answers leave in the order of their requests, so the answer that closes a connection is the last one; what a
 * caller sends behind it is read and dropped, never passed on. A connection ends with a FIN and is read until its
 * caller has ended it too: closing it with unread bytes would reset it, and with it answers on their way.
 */
import { ServerResponse, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Time for which a connection that this box has ended is read, in ms: a round trip between regions, and a busy caller. */
const LINGER_MS = 300;

/** Time for which a caller may read nothing of the last answer of its connection, in ms: as long as it may be idle by default. */
const UNREAD_TIMEOUT_MS = 15_000;

/** Answer to a caller; whether it closes its connection is decided when its head is written. */
export class CallerResponse extends ServerResponse<IncomingMessage> {
  /** The connection on which it leaves; set once its request is accepted. */
  callerConnection: Connection | undefined;
  /** Called when the caller has ended its connection before this answer was given whole. */
  onCallerEnd: (() => void) | undefined;

  override writeHead(...head: unknown[]): this {
    if (this.callerConnection !== undefined && endsWith(this.callerConnection, this)) {
      this.shouldKeepAlive = false;
    }
    return Reflect.apply(super.writeHead, this, head) as this;
  }

  override end(...last: unknown[]): this {
    const isFirstEnd = !this.writableEnded;
    // The head may be written here.
    Reflect.apply(super.end, this, last);
    if (isFirstEnd && this.callerConnection !== undefined) this.callerConnection.incomplete -= 1;
    return this;
  }
}

interface Connection {
  isStopping: () => boolean;
  /** Answers that have not left, in the order of their requests. */
  open: Set<CallerResponse>;
  /** The answer to the last request. */
  last: CallerResponse | undefined;
  /** Number of answers of which a part has not been given yet. */
  incomplete: number;
  /** Whether an answer that closes the connection has begun, or the connection is being ended. */
  isClosing: boolean;
  /** Whether no further request can be read on it, so that it ends with the last open answer. */
  isUnreadable: boolean;
}

/**
 * Whether a connection ends with the answer whose head is written now. A stop does not end it while an earlier answer is
 * awaited: what comes until that has left would get no answer.
 */
function endsWith(connection: Connection, response: CallerResponse): boolean {
  const isLast = connection.last === response && connection.incomplete === 1;
  const endsAfterLast = connection.isUnreadable || connection.isStopping();
  const ends = !response.shouldKeepAlive || (isLast && endsAfterLast);
  connection.isClosing ||= ends;
  return ends;
}

/** Connections of a server for callers. */
export interface CallerConnections {
  /** Adds an open connection. */
  add: (socket: Socket) => void;
  /** Registers the answer to a request; returns false if the request came behind the end of its connection. */
  begin: (socket: Socket, response: CallerResponse) => boolean;
  /** Records that an answer has left, or its connection is closed. */
  leave: (socket: Socket, response: CallerResponse) => void;
  /**
   * Ends a connection on which no further request can be read once its open answers have left. Returns the last of them;
   * undefined if none is open.
   */
  endUnreadable: (socket: Socket) => CallerResponse | undefined;
  /** Number of requests that are being read, or whose answers have not left. */
  openExchanges: () => number;
  /** Number of open connections. */
  count: () => number;
  /** Ends each connection once its answers have left; resolves when all are closed. */
  endAll: () => Promise<void>;
}

/** Creates the record of connections; `isStopping` tells whether connections end with their next answer. */
export function createCallerConnections(
  isStopping: () => boolean,
  { unreadTimeoutMs = UNREAD_TIMEOUT_MS }: { unreadTimeoutMs?: number } = {},
): CallerConnections {
  const connections = new Map<Socket, Connection>();
  let isEnding = false;
  let onAllClosed: (() => void) | undefined;

  const endIfUnused = (socket: Socket, connection: Connection): void => {
    const ends = isEnding || connection.isUnreadable;
    if (!ends || connection.open.size > 0 || connection.isClosing) return;
    connection.isClosing = true;
    endGracefully(socket, unreadTimeoutMs);
  };

  return {
    add(socket) {
      const connection: Connection = {
        isStopping,
        open: new Set(),
        last: undefined,
        incomplete: 0,
        isClosing: false,
        isUnreadable: false,
      };
      connections.set(socket, connection);
      // Called after an answer that closes the connection, and for one that is cut.
      socket.destroySoon = () => {
        connection.isClosing = true;
        endGracefully(socket, unreadTimeoutMs);
      };
      socket.once('end', () => {
        for (const response of [...connection.open]) {
          if (!response.writableEnded) response.onCallerEnd?.();
        }
      });
      socket.once('close', () => {
        connections.delete(socket);
        for (const response of connection.open) {
          // Node reports it only to the answer that is being written.
          if (response.socket === null) response.emit('close');
        }
        if (connections.size === 0) onAllClosed?.();
      });
      endIfUnused(socket, connection);
    },
    begin(socket, response) {
      const connection = connections.get(socket);
      if (connection === undefined || connection.isClosing || connection.isUnreadable) return false;
      connection.open.add(response);
      connection.last = response;
      connection.incomplete += 1;
      response.callerConnection = connection;
      // HTTP/1.0 may end the connection with any answer, whatever else was sent on it.
      if (response.req.httpVersionMinor === 0) {
        connection.isClosing = true;
        response.shouldKeepAlive = false;
      }
      return true;
    },
    leave(socket, response) {
      const { callerConnection: connection } = response;
      if (connection === undefined) return;
      connection.open.delete(response);
      if (!response.writableEnded) connection.incomplete -= 1;
      endIfUnused(socket, connection);
    },
    endUnreadable(socket) {
      const connection = connections.get(socket);
      if (connection === undefined || connection.open.size === 0) return undefined;
      connection.isUnreadable = true;
      return connection.last;
    },
    openExchanges() {
      let sum = 0;
      for (const { open } of connections.values()) sum += open.size;
      return sum;
    },
    count: () => connections.size,
    endAll() {
      isEnding = true;
      for (const [socket, connection] of [...connections]) endIfUnused(socket, connection);
      if (connections.size === 0) return Promise.resolve();
      return new Promise((resolve) => (onAllClosed = resolve));
    },
  };
}

/** Ends a connection once all that was written has left, and closes it when its caller has ended it or after a moment. */
function endGracefully(socket: Socket, unreadTimeoutMs: number): void {
  socket.setTimeout(unreadTimeoutMs, () => socket.destroy());
  socket.end(() => {
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  });
  socket.resume();
}
