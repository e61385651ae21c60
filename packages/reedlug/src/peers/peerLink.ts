/**
 * Peer link between boxes. Each box opens one TCP connection to each peer to send its messages
 * and receives messages over the connections that the peers open. A connection that fails the
 * handshake or sends invalid frames is closed and reported to `onRejected`; the process keeps
 * running.
 */
import { createServer, connect, type Server, type Socket } from 'node:net';
import * as tls from 'node:tls';
import type { PeerMessage } from 'reedlug-decisions';
import { createFrameReader, encodeFrame, encodeFrameCached } from './frames.js';
import {
  createHello,
  createProof,
  isHello,
  isProof,
  isProofValid,
  type Hello,
  type Side,
} from './handshake.js';
import { isPeerMessage } from './peerMessages.js';

/** Keys for mutual TLS, as PEM text. */
export interface PeerTls {
  key: string;
  cert: string;
  ca: string;
}

/** Options of a peer link. */
export interface PeerLinkOptions {
  boxId: string;
  /** Address to listen on, `ip:port`. */
  listen: string;
  peers: readonly { id: string; address: string }[];
  secret: string;
  tls: PeerTls | undefined;
  onMessage: (from: string, message: PeerMessage) => void;
  /** Called with the reason for each connection that was refused. */
  onRejected: (reason: string) => void;
  /** Simulates a network partition: returns true while messages to and from a peer are dropped. */
  isPartitioned: (boxId: string) => boolean;
}

/** A running peer link. */
export interface PeerLink {
  send: (boxId: string, message: PeerMessage) => void;
  port: number;
  close: () => Promise<void>;
}

const HANDSHAKE_TIMEOUT_MS = 2000;
/** Maximum size of the hello, which is read before the other side is authenticated, in bytes. */
const MAX_HELLO_BYTES = 1024;
const RECONNECT_DELAY_MS = 300;
/** Maximum number of messages that are queued while the connection to a peer is being opened. */
const MAX_PENDING_MESSAGES = 256;
/** The connection to a peer that stops reading is closed at this number of unsent bytes. */
const MAX_BACKLOG_BYTES = 8 * 1024 * 1024;

interface Outgoing {
  address: string;
  socket: Socket | undefined;
  ready: boolean;
  pending: PeerMessage[];
  retryAtMs: number;
}

/** Starts a peer link. Resolves once it is listening. */
export async function startPeerLink(options: PeerLinkOptions): Promise<PeerLink> {
  const incoming = new Set<Socket>();
  const outgoing = new Map<string, Outgoing>();
  for (const { id, address } of options.peers) {
    outgoing.set(id, { address, socket: undefined, ready: false, pending: [], retryAtMs: 0 });
  }
  const server = createListener(options, (socket) => {
    incoming.add(socket);
    socket.on('close', () => incoming.delete(socket));
    serveIncoming(options, socket);
  });
  const port = await listen(server, options.listen);
  return {
    port,
    send(boxId, message) {
      const peer = outgoing.get(boxId);
      if (peer !== undefined && !options.isPartitioned(boxId))
        sendToPeer(options, boxId, peer, message);
    },
    close: async () => {
      for (const socket of incoming) socket.destroy();
      for (const peer of outgoing.values()) peer.socket?.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function createListener(options: PeerLinkOptions, onSocket: (socket: Socket) => void): Server {
  if (options.tls === undefined) return createServer(onSocket);
  const server = tls.createServer(
    { ...options.tls, requestCert: true, rejectUnauthorized: true },
    onSocket,
  );
  server.on('tlsClientError', () => options.onRejected('tls'));
  return server;
}

function listen(server: Server, address: string): Promise<number> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const bound = server.address();
      resolve(typeof bound === 'object' && bound !== null ? bound.port : port);
    });
  });
}

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function serveIncoming(options: PeerLinkOptions, socket: Socket): void {
  runHandshake(options, socket, 'listener', undefined, (other, reader, earlyValues) => {
    const receiveValues = (values: unknown[] | undefined): void => {
      if (values === undefined) {
        options.onRejected('garbage');
        socket.destroy();
        return;
      }
      for (const value of values) receiveValue(options, socket, other.boxId, value);
    };
    receiveValues(earlyValues);
    socket.on('data', (chunk: Buffer) => receiveValues(reader.push(chunk)));
  });
}

function receiveValue(
  options: PeerLinkOptions,
  socket: Socket,
  from: string,
  value: unknown,
): void {
  if (options.isPartitioned(from)) return;
  if (isPeerMessage(value)) {
    options.onMessage(from, value);
    return;
  }
  options.onRejected('garbage');
  socket.destroy();
}

type Reader = ReturnType<typeof createFrameReader>;

/**
 * Runs the handshake. `onDone` gets the hello of the other side, the frame reader, and the values
 * that arrived in the same chunk as the proof.
 */
function runHandshake(
  options: PeerLinkOptions,
  socket: Socket,
  side: Side,
  expectedId: string | undefined,
  onDone: (other: Hello, reader: Reader, earlyValues: unknown[]) => void,
): void {
  const own = createHello(options.boxId);
  const reader = createFrameReader();
  let other: Hello | undefined;
  const reject = (reason: string): void => {
    options.onRejected(reason);
    socket.destroy();
  };
  const timer = setTimeout(() => reject('handshakeTimeout'), HANDSHAKE_TIMEOUT_MS);
  timer.unref();
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('close', () => clearTimeout(timer));
  socket.write(encodeFrame(own));
  const onData = (chunk: Buffer): void => {
    // Messages can follow the proof in the same chunk, so only the hello has the small limit.
    const values = reader.push(chunk, other === undefined ? MAX_HELLO_BYTES : undefined);
    if (values === undefined) return reject('garbage');
    while (values.length > 0) {
      const value = values.shift();
      if (other === undefined) {
        if (!isHello(value) || (expectedId ?? value.boxId) !== value.boxId) return reject('hello');
        other = value;
        const proof = createProof({ secret: options.secret, side, own, other });
        socket.write(encodeFrame(proof));
        continue;
      }
      const { secret } = options;
      if (!isProof(value) || !isProofValid({ secret, side, own, other, proof: value })) {
        return reject('proof');
      }
      clearTimeout(timer);
      socket.off('data', onData);
      onDone(other, reader, values);
      return;
    }
  };
  socket.on('data', onData);
}

function sendToPeer(
  options: PeerLinkOptions,
  boxId: string,
  peer: Outgoing,
  message: PeerMessage,
): void {
  const { socket } = peer;
  if (socket !== undefined && peer.ready) {
    if (socket.writableLength > MAX_BACKLOG_BYTES) socket.destroy();
    else socket.write(encodeFrameCached(message));
    return;
  }
  // A heartbeat describes the current state, so a queued one would be outdated when it is sent.
  if (message.kind !== 'heartbeat' && peer.pending.length < MAX_PENDING_MESSAGES) {
    peer.pending.push(message);
  }
  if (socket === undefined && performance.now() >= peer.retryAtMs)
    openConnection(options, boxId, peer);
}

function openConnection(options: PeerLinkOptions, boxId: string, peer: Outgoing): void {
  const { host, port } = splitAddress(peer.address);
  const socket =
    options.tls === undefined
      ? connect({ host, port })
      : tls.connect({ host, port, ...options.tls, checkServerIdentity: () => undefined });
  peer.socket = socket;
  socket.on('close', () => {
    peer.socket = undefined;
    peer.ready = false;
    peer.retryAtMs = performance.now() + RECONNECT_DELAY_MS;
  });
  runHandshake(options, socket, 'opener', boxId, () => {
    peer.ready = true;
    for (const message of peer.pending.splice(0)) socket.write(encodeFrame(message));
  });
}
