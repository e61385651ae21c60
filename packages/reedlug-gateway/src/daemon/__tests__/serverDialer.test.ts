import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Server } from 'node:net';
import type { Duplex } from 'node:stream';
import { expect } from 'chai';
import {
  createServingBox,
  peerMessage,
  settings,
  type TestBox,
} from '../../__tests__/__fixtures__/box.js';
import { ConnectOutcome, type ConnectionPath, type ConnectionTry } from '../../types/serverLink.js';
import { createServerDialer } from '../serverDialer.js';
import { FRAMES_HEADER, FRAMES_VALUE } from '../tunnels/tunnelWire.js';

const SERVER_ID = 'records-2';
const OTHER_SERVER_ID = 'records-1';
const BOX_IP = '127.0.0.9';
/** Peers by what their processes do; the silent one is in the server's zone, so it is asked first. */
const SILENT_PEER = { boxId: 'silent', host: '127.0.0.7', zone: 'zone-b' };
const PROMPT_PEER = { boxId: 'prompt', host: '127.0.0.8', zone: 'zone-c' };
/** Number of connections through a peer that have come up before. */
const EARLIER_CONNECTIONS = 20;
const USUAL_MS = 3;
/** Number of connections of which one has to come up in time: the process of the test may stand still meanwhile. */
const ROUNDS = 5;
/** Time that a caller may lose to a peer that does not run for a moment, in ms, with a margin. */
const MAX_LOST_MS = 90;

function listen(peer: Server, host: string): Promise<number> {
  return new Promise((resolve) => {
    peer.listen(0, host, () => resolve((peer.address() as AddressInfo).port));
  });
}

function onTried(
  box: TestBox,
  attempt: Pick<ConnectionTry, 'serverId' | 'path' | 'outcome'>,
): void {
  const address = box.state.servers.get(attempt.serverId)?.entry.address ?? { host: '', port: 0 };
  const tried = { ...attempt, address, tookMs: USUAL_MS, requestId: 'r1' };
  box.take({ type: 'connectionTried', attempt: tried });
}

/** Returns a box whose links to the servers hang, and to which one of its peers has opened connections in the usual time. */
function boxWithoutLinks(ports: Record<'silent' | 'prompt', number>): TestBox {
  const own = settings();
  const box = createServingBox({ ...own, box: { ...own.box, ip: BOX_IP } });
  for (const peer of [SILENT_PEER, PROMPT_PEER]) {
    const port = ports[peer.boxId as keyof typeof ports];
    box.take({ type: 'peerMessage', message: peerMessage({ ...peer, port }) });
  }
  const direct: ConnectionPath = { kind: 'direct' };
  for (const serverId of [SERVER_ID, OTHER_SERVER_ID]) {
    onTried(box, { serverId, path: direct, outcome: ConnectOutcome.silent });
  }
  const path: ConnectionPath = { kind: 'peer', boxId: PROMPT_PEER.boxId };
  for (let count = 0; count < EARLIER_CONNECTIONS; count += 1) {
    onTried(box, { serverId: OTHER_SERVER_ID, path, outcome: ConnectOutcome.opened });
  }
  return box;
}

/** Opens a connection through a peer; resolves with the peer and the time that it took, in ms. */
async function dialOnce({ state, nowMs }: TestBox): Promise<{ path: string; tookMs: number }> {
  const ignore = (): void => undefined;
  const dialer = createServerDialer({
    state,
    nowMs: () => nowMs,
    onTried: ignore,
    onFailed: ignore,
  });
  const address = state.servers.get(SERVER_ID)?.entry.address ?? { host: '', port: 0 };
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    dialer.dial({ serverId: SERVER_ID, address, requestId: 'r1' }, (result) => {
      const tookMs = performance.now() - startedAtMs;
      if (result.outcome !== ConnectOutcome.opened) return resolve({ path: '', tookMs });
      result.socket.destroy();
      const { path } = result;
      resolve({ path: path.kind === 'peer' ? path.boxId : path.kind, tookMs });
    });
  });
}

test('a peer that does not answer at once is overtaken by another one after the usual time', async () => {
  const silent = createServer((socket) => socket.on('error', () => undefined));
  const prompt = createHttpServer().on('connect', (_request, socket: Duplex) => {
    socket.on('error', () => undefined);
    socket.write(`HTTP/1.1 200 OK\r\n${FRAMES_HEADER}: ${FRAMES_VALUE}\r\n\r\n`);
  });
  const ports = {
    silent: await listen(silent, SILENT_PEER.host),
    prompt: await listen(prompt, PROMPT_PEER.host),
  };
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const { path, tookMs } = await dialOnce(boxWithoutLinks(ports));
    expect(path).to.equal(PROMPT_PEER.boxId);
    times.push(tookMs);
  }
  silent.close();
  prompt.close();
  prompt.closeAllConnections();
  expect(Math.min(...times)).to.be.below(MAX_LOST_MS);
});
