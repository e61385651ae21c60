/**
 * Peer link: gossip as datagrams, and the complete configuration and registry over HTTP
 * for a peer that cannot reach the store.
 */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';
import { Client } from 'undici';
import type { PeerDatagram } from '../types/peer.js';
import type { SharedState } from '../slices/peers/sharedState.js';
import type { HostPort } from '../types/server.js';
import { PEER_REQUEST_TIMEOUT_MS } from './daemonTimes.js';
import { decodeDatagram, decoder, encodeDatagram, encoder } from './peerWire.js';

/** Paths of the states that peers request; older boxes know only the first and return it for both paths. */
const SHARED_STATE_PATH = '/state';
const CONFIGURATION_PATH = '/configuration';

/** Endpoint of a box on the peer link. */
export interface PeerSocket {
  send: (message: PeerDatagram, to: readonly HostPort[]) => void;
  ask: (peer: HostPort, withServers: boolean) => Promise<SharedState | undefined>;
  close: () => void;
}

/** Opens the endpoint and resolves once it is listening. */
export async function openPeerSocket(params: {
  address: HostPort;
  onMessage: (message: PeerDatagram) => void;
  onFault: (reason: string) => void;
  sharedState: (withServers: boolean) => SharedState;
}): Promise<PeerSocket> {
  const { address, onMessage, onFault, sharedState } = params;
  const socket = createSocket('udp4');
  socket.on('message', (bytes) => {
    const message = decodeDatagram(bytes);
    if (message === undefined) onFault('malformed datagram');
    else onMessage(message);
  });
  socket.on('error', (error) => onFault(error.message));
  await new Promise<void>((resolve) => socket.bind(address.port, address.host, resolve));
  const server = createServer((request, response) => {
    response.end(encoder.encode(sharedState(request.url !== CONFIGURATION_PATH)));
  });
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
    async ask(peer, withServers) {
      const client = new Client(`http://${peer.host}:${peer.port}`);
      try {
        const signal = AbortSignal.timeout(PEER_REQUEST_TIMEOUT_MS);
        const path = withServers ? SHARED_STATE_PATH : CONFIGURATION_PATH;
        const { body } = await client.request({ method: 'GET', path, signal });
        return decoder.decode(Buffer.from(await body.arrayBuffer())) as SharedState;
      } catch (error) {
        onFault(`peer ${peer.host} did not answer: ${(error as Error).message}`);
        return undefined;
      } finally {
        // The request has been answered or has failed by now, so errors of closing the client are ignored.
        client.destroy().catch(() => undefined);
      }
    },
    close() {
      socket.close();
      server.close();
    },
  };
}
