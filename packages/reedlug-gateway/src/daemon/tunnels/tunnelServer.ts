/**
 * Connects other boxes to servers that they can't reach themselves, and forwards the bytes of both.
 *
 * The end of one side ends the other at once: a server notices a caller that leaves, and a box a
 * server that breaks off, as on a connection without a tunnel. A connection goes straight to the
 * server, so tunnels never form a chain.
 */
import type { IncomingMessage } from 'node:http';
import { performance } from 'node:perf_hooks';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { ConnectOutcome, LinkState, type ConnectionTry } from '../../types/serverLink.js';
import type { HostPort } from '../../types/server.js';
import type { TunnelDecision } from '../../slices/peers/tunnels.js';
import type { EventBody } from '../../types/event.js';
import { INTERNAL_FAULT_REASON } from '../../types/request.js';
import { openSocket } from '../openSocket.js';
import { startTimeLimit } from '../timeLimit.js';
import {
  BOX_HEADER,
  OUTCOME_HEADER,
  REASON_HEADER,
  REQUEST_HEADER,
  decodeText,
  FRAMES_HEADER,
  FRAMES_VALUE,
  FAILURE_TEXTS,
  type ConnectFailure,
} from './tunnelWire.js';
import { FrameEncoder } from './tunnelFrames.js';

/**
 * Time in which the server has to accept the connection, in ms; shorter than the wait of the box that
 * asks, so that it learns the outcome.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Time after which a connection that is not up yet makes this box check its own links, in ms. */
const CHECK_LINKS_AFTER_MS = 100;
/** Time without bytes after which a tunnel is closed, in ms; longer than any request may take. */
const IDLE_TIMEOUT_MS = 60_000;
/** Idle time after which the kernel checks whether the box that asked still exists, in ms. */
const KEEP_ALIVE_DELAY_MS = 1000;

const IPV4_MAPPED_PREFIX = /^::ffff:/i;

/** What tunnels need of the box. */
export interface TunnelServerParams {
  /** Decides on a request for a tunnel. */
  decide: (request: {
    serverId: string;
    boxId: string;
    /** Address from which the request comes. */
    fromHost: string;
    connecting: number;
  }) => TunnelDecision;
  onTried: (attempt: ConnectionTry) => void;
  /** Checks whether this box's links to other servers are up, or were since. */
  checkLinks: (serverId: string, sinceMs: number) => Promise<LinkState>;
  nowMs: () => number;
  /** Called for an exception, after which the peer is told that this box can't help. */
  onFault: (error: unknown) => void;
  emit: (
    event: Extract<EventBody, { type: 'tunnelRefused' | 'tunnelOpened' | 'tunnelClosed' }>,
  ) => void;
}

/** Tunnels of a box. */
export interface TunnelServer {
  /** Handles a CONNECT request on the peer link. */
  onConnect: (request: IncomingMessage, client: Duplex) => void;
  closeAll: () => void;
}

/** Who asked for a tunnel, and where it leads. */
interface TunnelRequest {
  serverId: string;
  boxId: string;
  requestId: string;
}

/** Creates a tunnel server without tunnels. */
export function createTunnelServer(params: TunnelServerParams): TunnelServer {
  const { decide, onTried, nowMs, onFault, emit } = params;
  const open = new Set<Socket>();
  /** Number of connections to servers that are not open yet. */
  let connecting = 0;

  /** Checks the links of this box; a check that throws proves nothing. */
  const checkLinks = async (serverId: string, sinceMs: number): Promise<LinkState> => {
    try {
      return await params.checkLinks(serverId, sinceMs);
    } catch (error) {
      onFault(error);
      return LinkState.unknown;
    }
  };

  const connectTo = (address: HostPort, client: Socket, tunnel: TunnelRequest): void => {
    const { serverId, requestId } = tunnel;
    connecting += 1;
    const sinceMs = nowMs();
    let links: Promise<LinkState> | undefined;
    const check = (): Promise<LinkState> => (links ??= checkLinks(serverId, sinceMs));
    const checkLimit = startTimeLimit(CHECK_LINKS_AFTER_MS, () => void check());
    const attempt = openSocket(address, CONNECT_TIMEOUT_MS, (result) => {
      const { outcome, tookMs } = result;
      onTried({ serverId, address, requestId, path: { kind: 'direct' }, outcome, tookMs });
      connecting -= 1;
      checkLimit.cancel();
      client.off('close', onClientGone);
      if (result.outcome !== ConnectOutcome.opened) {
        const failure = result.outcome;
        return void check().then((state) => refuseFailed(client, tunnel, { failure, state }));
      }
      const startedAtMs = performance.now();
      open.add(client);
      client.write(`HTTP/1.1 200 OK\r\n${FRAMES_HEADER}: ${FRAMES_VALUE}\r\n\r\n`);
      emit({ type: 'tunnelOpened', ...tunnel, tookMs });
      forward(client, result.socket, () => {
        open.delete(client);
        const bytes = client.bytesRead + result.socket.bytesRead;
        emit({ type: 'tunnelClosed', ...tunnel, bytes, openMs: performance.now() - startedAtMs });
      });
    });
    const onClientGone = (): void => {
      connecting -= 1;
      checkLimit.cancel();
      attempt.cancel();
    };
    client.once('close', onClientGone);
  };

  /** A box whose own links may be down says nothing of the server. */
  const refuseFailed = (
    client: Socket,
    tunnel: TunnelRequest,
    { failure, state }: { failure: ConnectFailure; state: LinkState },
  ): void => {
    const isProven = state === LinkState.up;
    const reason = isProven ? failure : 'unproven';
    refuse(client, isProven ? failure : ConnectOutcome.unavailable, reason);
    emit({ type: 'tunnelRefused', ...tunnel, reason });
  };

  const decideOrRefuse = (request: Parameters<TunnelServerParams['decide']>[0]): TunnelDecision => {
    try {
      return decide(request);
    } catch (error) {
      onFault(error);
      return { kind: 'refuse', reason: INTERNAL_FAULT_REASON };
    }
  };

  return {
    onConnect(request, stream) {
      // The peer link's connections are TCP sockets.
      const client = stream as Socket;
      client.on('error', () => client.destroy());
      const tunnel = tunnelRequestOf(request);
      if (request.headers[FRAMES_HEADER] !== FRAMES_VALUE) {
        refuse(client, ConnectOutcome.unavailable, 'olderBox');
        return emit({ type: 'tunnelRefused', ...tunnel, reason: 'olderBox' });
      }
      const decision = decideOrRefuse({ ...tunnel, fromHost: hostOf(client), connecting });
      if (decision.kind === 'connect') return connectTo(decision.address, client, tunnel);
      refuse(client, ConnectOutcome.unavailable, decision.reason);
      emit({ type: 'tunnelRefused', ...tunnel, reason: decision.reason });
    },
    closeAll() {
      for (const client of open) client.destroy();
    },
  };
}

function tunnelRequestOf({ url, headers }: IncomingMessage): TunnelRequest {
  const textOf = (value: string | string[] | undefined): string => String(value ?? '');
  return {
    serverId: decodeText(url) ?? '',
    boxId: textOf(headers[BOX_HEADER]),
    requestId: decodeText(textOf(headers[REQUEST_HEADER])) ?? '',
  };
}

/** Returns the address of the other end, without the prefix that marks an IPv4 address on an IPv6 socket. */
function hostOf({ remoteAddress = '' }: Socket): string {
  return remoteAddress.replace(IPV4_MAPPED_PREFIX, '');
}

function refuse(client: Socket, outcome: ConnectFailure, reason: string): void {
  const headers = `${OUTCOME_HEADER}: ${FAILURE_TEXTS[outcome]}\r\n${REASON_HEADER}: ${reason}\r\n`;
  client.end(`HTTP/1.1 502 Bad Gateway\r\n${headers}\r\n`);
}

/** Forwards bytes in both directions until either side ends. */
function forward(client: Socket, server: Socket, onClosed: () => void): void {
  client.setNoDelay(true);
  client.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  client.setTimeout(IDLE_TIMEOUT_MS, () => client.destroy());
  const frames = new FrameEncoder();
  client.pipe(server, { end: false });
  server.pipe(frames, { end: false });
  frames.pipe(client);
  server.on('error', () => client.resetAndDestroy());
  // The box that asked ends only connections that it gives up.
  client.once('end', () => client.destroy());
  client.once('close', () => {
    server.destroy();
    onClosed();
  });
  server.prependListener('end', () => endIfClean({ client, server, frames }));
  server.once('close', () => {
    if (!server.readableEnded) client.resetAndDestroy();
  });
}

/**
 * Passes on the end of a server's bytes. A reset that arrives with the last bytes looks like an end;
 * a write tells them apart, and an empty line between requests is harmless.
 */
function endIfClean({
  client,
  server,
  frames,
}: {
  client: Socket;
  server: Socket;
  frames: FrameEncoder;
}): void {
  server.write('\r\n', (error) => {
    if (error) client.resetAndDestroy();
    else frames.end();
  });
}
