/** Opens a connection to a server through another box. */
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { ConnectOutcome } from '../../types/serverLink.js';
import type { HostPort } from '../../types/server.js';
import type { OpenedSocket, SocketAttempt } from '../openSocket.js';
import { startTimeLimit } from '../timeLimit.js';
import {
  BOX_HEADER,
  FRAMES_HEADER,
  FRAMES_VALUE,
  failureOf,
  OUTCOME_HEADER,
  REASON_HEADER,
  REQUEST_HEADER,
  type ConnectFailure,
} from './tunnelWire.js';
import { TunnelSocket } from './tunnelFrames.js';

const STATUS_OPENED = 200;

/** Longest reason of a peer that is kept, in characters. */
const MAX_REASON_LENGTH = 32;

/** Asks a peer to connect to a server, and reports once how that ended. */
export function openTunnel(
  params: {
    peer: HostPort;
    serverId: string;
    /** This box's id, and its address, by which the peer knows it. */
    boxId: string;
    boxHost: string;
    requestId: string;
    timeoutMs: number;
  },
  report: (result: OpenedSocket) => void,
): SocketAttempt {
  const { peer, serverId, boxId, boxHost, requestId, timeoutMs } = params;
  const startedAtMs = performance.now();
  const request = httpRequest({
    host: peer.host,
    port: peer.port,
    localAddress: boxHost,
    agent: false,
    method: 'CONNECT',
    path: encodeURIComponent(serverId),
    headers: {
      [BOX_HEADER]: boxId,
      [REQUEST_HEADER]: encodeURIComponent(requestId),
      [FRAMES_HEADER]: FRAMES_VALUE,
    },
  });
  let isOver = false;
  const close = (): void => {
    isOver = true;
    limit.cancel();
    request.destroy();
  };
  const fail = (outcome: ConnectFailure, peerReason?: string): void => {
    if (isOver) return;
    close();
    report({ outcome, tookMs: performance.now() - startedAtMs, peerReason });
  };
  const limit = startTimeLimit(timeoutMs, () => fail(ConnectOutcome.unavailable));
  // A peer that is down, or too old to open tunnels, closes the connection.
  request.on('error', () => fail(ConnectOutcome.unavailable));
  request.once('response', () => fail(ConnectOutcome.unavailable));
  request.once('connect', ({ statusCode, headers }, socket: Socket, first: Buffer) => {
    if (isOver) return void socket.destroy();
    if (statusCode !== STATUS_OPENED) {
      socket.destroy();
      return fail(failureOf(headers[OUTCOME_HEADER]), reasonOf(headers[REASON_HEADER]));
    }
    // An older box sends no frames, so the end of its tunnel could not be told from that of the server's answer.
    if (headers[FRAMES_HEADER] !== FRAMES_VALUE) {
      socket.destroy();
      return fail(ConnectOutcome.unavailable, 'olderBox');
    }
    isOver = true;
    limit.cancel();
    socket.setNoDelay(true);
    if (first.length > 0) socket.unshift(first);
    const tookMs = performance.now() - startedAtMs;
    report({ outcome: ConnectOutcome.opened, socket: new TunnelSocket(socket), tookMs });
  });
  request.end();
  return {
    cancel() {
      if (!isOver) close();
    },
  };
}

function reasonOf(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value.slice(0, MAX_REASON_LENGTH) : undefined;
}
