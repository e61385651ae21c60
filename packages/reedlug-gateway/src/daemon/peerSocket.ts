/**
 * Peer link: gossip as datagrams, and an HTTP server for requests of
 * configuration and registry and for tunnels to servers.
 */
import { createSocket } from 'node:dgram';
import { createServer, type IncomingMessage, type RequestListener } from 'node:http';
import type { Duplex } from 'node:stream';
import type { PeerDatagram } from '../types/peer.js';
import type { HostPort } from '../types/server.js';
import { decodeDatagram, encodeDatagram } from './peerWire.js';

/** Endpoint of a box on the peer link. */
export interface PeerSocket {
  send: (message: PeerDatagram, to: readonly HostPort[]) => void;
  close: () => void;
}

/** Opens the endpoint and resolves once it is listening. */
export async function openPeerSocket(params: {
  address: HostPort;
  onMessage: (message: PeerDatagram) => void;
  onFault: (reason: string) => void;
  /** Answers the requests of other boxes for states. */
  onRequest: RequestListener;
  /** Handles the requests of other boxes to be connected to servers. */
  onConnect: (request: IncomingMessage, client: Duplex) => void;
}): Promise<PeerSocket> {
  const { address, onMessage, onFault, onRequest, onConnect } = params;
  const socket = createSocket('udp4');
  socket.on('message', (bytes) => {
    const message = decodeDatagram(bytes);
    if (message === undefined) onFault('malformed datagram');
    else onMessage(message);
  });
  socket.on('error', (error) => onFault(error.message));
  await new Promise<void>((resolve) => socket.bind(address.port, address.host, resolve));
  const server = createServer(onRequest);
  server.on('connect', onConnect);
  server.on('error', (error) => onFault(error.message));
  await new Promise<void>((resolve) => server.listen(address.port, address.host, resolve));
  return {
    send(message, to) {
      const bytes = encodeDatagram(message);
      for (const { host, port } of to) {
        socket.send(bytes, port, host, (error) => {
          if (error) onFault(error.message);
        });
      }
    },
    close() {
      socket.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
