import { createServer, type AddressInfo, type Socket } from 'node:net';
import { gzipSync } from 'node:zlib';
import { expect } from 'chai';
import { Registry } from 'prom-client';
import { configuration, server } from '../../__tests__/__fixtures__/box.js';
import { createTransferMetrics } from '../../observe/transferMetrics.js';
import { ConnectOutcome } from '../../types/serverLink.js';
import { encoder } from '../peerWire.js';
import { encodeWhole } from '../stateTransfer/encodeWhole.js';
import { createStateFetcher } from '../stateTransfer/stateFetcher.js';
import { openTunnel } from '../tunnels/openTunnel.js';
import { FRAMES_HEADER, FRAMES_VALUE } from '../tunnels/tunnelWire.js';

const LOOPBACK = '127.0.0.1';
const TIMEOUT_MS = 1000;
/** Gap in the middle of a head, in ms, and the idle time after which a transfer is given up. */
const GAP_MS = 400;
const IDLE_TIMEOUT_MS = 100;

/** Runs a test with a box that answers each connection by `send`. */
async function withAnswer(
  send: (socket: Socket) => void,
  run: (peer: { host: string; port: number }) => Promise<void>,
): Promise<void> {
  const box = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => send(socket));
  });
  await new Promise<void>((resolve) => box.listen(0, LOOPBACK, resolve));
  await run({ host: LOOPBACK, port: (box.address() as AddressInfo).port });
  box.close();
}

/** Returns what a transfer brought: its states, and why it ended without any. */
async function fetchFrom(peer: { host: string; port: number }): Promise<string[]> {
  const outcomes: string[] = [];
  await new Promise<void>((resolve) => {
    const add = (outcome: string): void => {
      outcomes.push(outcome);
      resolve();
    };
    const fetcher = createStateFetcher({
      configuration: () => undefined,
      isKnownBox: () => true,
      onConfiguration: () => add('received'),
      onFailed: () => add('failed'),
      logger: () => undefined,
      metrics: createTransferMetrics(new Registry()),
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    });
    void fetcher
      .requestRegistry(peer)
      .then((state) => outcomes.push(state === undefined ? 'noRegistry' : 'registry'))
      .then(() => fetcher.requestConfiguration(peer, 1));
  });
  return outcomes;
}

test('a state whose answer is cut in its head, or in a body without a length, is not applied', async () => {
  const state = encoder.encode({
    servers: [{ id: 'i-1', entry: server('i-1') }],
    serversRevision: 7,
    boxId: 'box-2',
    registryNumber: 3,
  });
  for (const body of [state, gzipSync(state), await encodeWhole(configuration())]) {
    const encoding = body[0] === 0x1f ? 'Content-Encoding: gzip\r\n' : '';
    const head = Buffer.from(`HTTP/1.1 200 OK\r\nETag: a\r\n${encoding}Connection: close\r\n\r\n`);
    const whole = Buffer.concat([head, body]);
    for (const length of [17, head.length, head.length + 9]) {
      await withAnswer(
        (socket) => socket.end(whole.subarray(0, length)),
        async (peer) => {
          const outcomes = await fetchFrom(peer);
          expect(outcomes, `${length} bytes`).to.deep.equal(['noRegistry', 'failed']);
        },
      );
    }
  }
}).timeout(20_000);

test('a state with a gap in its head that outlasts the idle time is given up', () =>
  withAnswer(
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nETa');
      setTimeout(() => socket.end('g: a\r\nContent-Length: 0\r\n\r\n'), GAP_MS);
    },
    async (peer) => {
      expect(await fetchFrom(peer)).to.deep.equal(['noRegistry', 'failed']);
    },
  ));

test('a tunnel whose answer is cut at any byte of its head, or stays half, is not opened', async () => {
  const whole = `HTTP/1.1 200 OK\r\n${FRAMES_HEADER}: ${FRAMES_VALUE}\r\n\r\n`;
  for (const end of ['end', 'reset', 'gap'] as const) {
    const step = end === 'gap' ? 20 : 1;
    for (let length = 1; length < whole.length; length += step) {
      await withAnswer(
        (socket) =>
          socket.write(whole.slice(0, length), () => {
            if (end === 'end') socket.end();
            if (end === 'reset') socket.resetAndDestroy();
          }),
        async (peer) => {
          const ids = { serverId: 'i-1', boxId: 'box-1', boxHost: LOOPBACK, requestId: 'r1' };
          const timeoutMs = end === 'gap' ? IDLE_TIMEOUT_MS : TIMEOUT_MS;
          const outcome = await new Promise((resolve) =>
            openTunnel({ peer, ...ids, timeoutMs }, (opened) => resolve(opened.outcome)),
          );
          expect(outcome, `${end} after ${length}`).to.equal(ConnectOutcome.unavailable);
        },
      );
    }
  }
});
