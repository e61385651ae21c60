/** Opens a TCP connection and says how a failure looks: refused, or silent. */
import { performance } from 'node:perf_hooks';
import { connect, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ConnectOutcome } from '../types/serverLink.js';
import type { HostPort } from '../types/server.js';
import { startTimeLimit } from './timeLimit.js';

/** Idle time after which the kernel checks whether the other end still exists, in ms. */
const KEEP_ALIVE_DELAY_MS = 60_000;
/** Bytes that a socket buffers for its reader. */
const READ_BUFFER_BYTES = 64 * 1024;

/** Errors that mean that the host is up but does not accept the connection; a network partition or a host that is down causes others. */
const REFUSAL_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE']);

/** A connection to a server: a TCP socket, or a tunnel. */
export type ServerSocket = Duplex & { readonly bytesRead: number };

/** An open socket, or how the attempt failed. */
export type OpenedSocket<S extends ServerSocket = ServerSocket> =
  | { outcome: typeof ConnectOutcome.opened; socket: S; tookMs: number }
  | { outcome: Exclude<ConnectOutcome, 'opened'>; tookMs: number; peerReason?: string | undefined };

/** An attempt in progress. */
export interface SocketAttempt {
  /** Ends the attempt without a report. */
  cancel: () => void;
}

/** Opens a connection and reports once how that ended. */
export function openSocket(
  { host, port }: HostPort,
  timeoutMs: number,
  report: (result: OpenedSocket<Socket>) => void,
): SocketAttempt {
  const startedAtMs = performance.now();
  const options = { host, port, highWaterMark: READ_BUFFER_BYTES, noDelay: true };
  const socket = connect(options);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  let isOver = false;
  const end = (failure: Exclude<ConnectOutcome, 'opened'>): void => {
    if (isOver) return;
    isOver = true;
    limit.cancel();
    socket.destroy();
    report({ outcome: failure, tookMs: performance.now() - startedAtMs });
  };
  const limit = startTimeLimit(timeoutMs, () => end(ConnectOutcome.silent));
  const onError = ({ code }: NodeJS.ErrnoException): void =>
    end(REFUSAL_ERROR_CODES.has(code ?? '') ? ConnectOutcome.refused : ConnectOutcome.silent);
  socket.on('error', onError);
  socket.once('connect', () => {
    if (isOver) return;
    isOver = true;
    limit.cancel();
    report({
      outcome: ConnectOutcome.opened,
      socket,
      tookMs: performance.now() - startedAtMs,
    });
    socket.off('error', onError);
  });
  return {
    cancel() {
      if (isOver) return;
      isOver = true;
      limit.cancel();
      socket.destroy();
    },
  };
}
