import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { ConnectOutcome, LinkState, type ConnectionTry } from '../../../types/serverLink.js';
import type { TunnelDecision } from '../../../slices/peers/tunnels.js';
import type { EventBody } from '../../../types/event.js';
import type { OpenedSocket, ServerSocket } from '../../openSocket.js';
import { openTunnel } from '../openTunnel.js';
import { createTunnelServer } from '../tunnelServer.js';

const LOOPBACK = '127.0.0.1';
const TIMEOUT_MS = 1000;
/** Identity of the box that asks; its address is another one than that of the peer. */
const IDENTITY = { boxId: 'box-1', boxHost: '127.0.0.9' } as const;

function listen(server: Server | HttpServer): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, LOOPBACK, () => resolve((server.address() as AddressInfo).port));
  });
}

interface Scene {
  open: (serverId?: string) => Promise<OpenedSocket>;
  asked: { serverId: string; boxId: string; fromHost: string }[];
  events: EventBody[];
  tries: ConnectionTry[];
  /** Exceptions of the peer. */
  faults: string[];
  /** Waits until an event of the type has been emitted. */
  until: (type: EventBody['type']) => Promise<void>;
  close: () => void;
}

/** Starts a peer that opens tunnels to a server, whose connections `serve` handles. */
async function startScene(
  serve: (socket: Socket) => void,
  decide: (port: number) => TunnelDecision = (port) => ({
    kind: 'connect',
    address: { host: LOOPBACK, port },
  }),
  links: LinkState | 'broken' = LinkState.up,
): Promise<Scene> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    serve(socket);
  });
  const serverPort = await listen(server);
  const asked: Scene['asked'] = [];
  const events: EventBody[] = [];
  const tries: ConnectionTry[] = [];
  const faults: string[] = [];
  const tunnels = createTunnelServer({
    decide(request) {
      const { serverId, boxId, fromHost } = request;
      asked.push({ serverId, boxId, fromHost });
      return decide(serverPort);
    },
    onTried: (attempt) => tries.push(attempt),
    checkLinks: () =>
      links === 'broken' ? Promise.reject(new Error('broken')) : Promise.resolve(links),
    onFault: (error) => faults.push(String(error)),
    nowMs: () => 0,
    emit: (event) => events.push(event),
  });
  const peer = createHttpServer().on('connect', tunnels.onConnect);
  const port = await listen(peer);
  return {
    asked,
    faults,
    events,
    tries,
    open: (serverId = 'i 1/ä') =>
      new Promise((resolve) => {
        const address = { host: LOOPBACK, port };
        openTunnel(
          { ...IDENTITY, peer: address, serverId, requestId: 'r1', timeoutMs: TIMEOUT_MS },
          resolve,
        );
      }),
    async until(type) {
      while (!events.some((event) => event.type === type)) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
    close() {
      tunnels.closeAll();
      peer.close();
      server.close();
    },
  };
}

function socketOf(result: OpenedSocket): ServerSocket {
  if (result.outcome !== ConnectOutcome.opened) throw new Error(result.outcome);
  return result.socket;
}

/** Resolves with what a socket receives, and with how it ends. */
function readAll(socket: ServerSocket): Promise<{ text: string; end: 'clean' | 'reset' }> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (chunk) => (text += String(chunk)));
    socket.once('end', () => resolve({ text, end: 'clean' }));
    socket.once('error', () => resolve({ text, end: 'reset' }));
  });
}

test('a tunnel forwards the bytes of both sides, and names the server by its id', async () => {
  const scene = await startScene((socket) => {
    socket.once('data', (chunk) => socket.end(`got ${String(chunk)}`));
  });
  const socket = socketOf(await scene.open());
  socket.write('a request');
  expect(await readAll(socket)).to.deep.equal({ text: 'got a request', end: 'clean' });
  expect(scene.asked).to.deep.equal([
    { serverId: 'i 1/ä', boxId: 'box-1', fromHost: IDENTITY.boxHost },
  ]);
  expect(scene.tries.map(({ outcome }) => outcome)).to.deep.equal(['opened']);
  socket.destroy();
  await scene.until('tunnelClosed');
  scene.close();
});

test('a server that resets its connection is not taken for one that ends it', async () => {
  const scene = await startScene((socket) => {
    socket.once('data', () => {
      socket.write('half an answer');
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  const socket = socketOf(await scene.open());
  socket.write('a request');
  expect((await readAll(socket)).end).to.equal('reset');
  scene.close();
});

test('a caller that leaves ends the connection of the server at once', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const scene = await startScene((socket) => {
    socket.resume();
    socket.once('close', onClosed);
  });
  const socket = socketOf(await scene.open());
  socket.write('a request');
  socket.destroy();
  await closed;
  scene.close();
});

test('a peer tells how it failed to connect, or that it does not try', async () => {
  const gone = await startScene(
    () => undefined,
    () => ({ kind: 'connect', address: { host: LOOPBACK, port: 1 } }),
  );
  expect((await gone.open()).outcome).to.equal(ConnectOutcome.refused);
  gone.close();
  const unwilling = await startScene(
    () => undefined,
    () => ({ kind: 'refuse', reason: 'full' }),
  );
  expect((await unwilling.open()).outcome).to.equal(ConnectOutcome.unavailable);
  expect(unwilling.events[0]).to.deep.include({ type: 'tunnelRefused', reason: 'full' });
  unwilling.close();
});

test('a peer whose own links may be down says nothing of the server', async () => {
  for (const links of [LinkState.down, LinkState.unknown]) {
    const scene = await startScene(
      () => undefined,
      () => ({ kind: 'connect', address: { host: LOOPBACK, port: 1 } }),
      links,
    );
    const result = await scene.open();
    expect(result.outcome).to.equal(ConnectOutcome.unavailable);
    expect('peerReason' in result && result.peerReason).to.equal('unproven');
    scene.close();
  }
});

/** Opens a tunnel through the peer at a port. */
function openAt(port: number): Promise<OpenedSocket> {
  const target = { peer: { host: LOOPBACK, port }, serverId: 's', requestId: '' };
  return new Promise((resolve) => {
    openTunnel({ ...IDENTITY, ...target, timeoutMs: TIMEOUT_MS }, resolve);
  });
}

test('the refusal of an older peer, which has not checked its links, says nothing of the server', async () => {
  const refusal = 'HTTP/1.1 502 Bad Gateway\r\nx-outcome: refused\r\n\r\n';
  const older = createHttpServer().on('connect', (_request, socket) => socket.end(refusal));
  const port = await listen(older);
  const result = await openAt(port);
  expect(result.outcome).to.equal(ConnectOutcome.unavailable);
  older.close();
});

test('a peer without tunnels counts as unavailable', async () => {
  const older = createHttpServer((_request, response) => response.end());
  const port = await listen(older);
  const result = await openAt(port);
  expect(result.outcome).to.equal(ConnectOutcome.unavailable);
  older.close();
});

/** Opens a tunnel through a peer that answers with the given bytes, and then ends its connection without an end frame. */
async function openThroughPeer(answer: string | Buffer): Promise<OpenedSocket> {
  const peer = createHttpServer().on('connect', (_request, socket) => socket.end(answer));
  const port = await listen(peer);
  const opened = await openAt(port);
  peer.close();
  return opened;
}

const OPENED = 'HTTP/1.1 200 OK\r\nx-frames: 1\r\n\r\n';
/** Two pieces and the end frame. */
const FRAMES = Buffer.from('00000003616263000000026465' + '00000000', 'hex');

test('a stream that ends because the box in the middle is killed does not look complete', async () => {
  for (let length = 0; length < FRAMES.length; length += 1) {
    const answer = Buffer.concat([Buffer.from(OPENED), FRAMES.subarray(0, length)]);
    const { end } = await readAll(socketOf(await openThroughPeer(answer)));
    expect(end, `${length} bytes`).to.equal('reset');
  }
  const whole = Buffer.concat([Buffer.from(OPENED), FRAMES]);
  const read = await readAll(socketOf(await openThroughPeer(whole)));
  expect(read).to.deep.equal({ text: 'abcde', end: 'clean' });
});

test('the tunnel of an older box, which does not say how its server ends, is not used', async () => {
  const result = await openThroughPeer('HTTP/1.1 200 OK\r\n\r\n');
  expect(result.outcome).to.equal(ConnectOutcome.unavailable);
});

test('a large answer arrives whole through a tunnel, also if it is read slowly', async () => {
  const sent = Buffer.alloc(5_000_000, 'abcdefg');
  const scene = await startScene((socket) => socket.once('data', () => socket.end(sent)));
  const socket = socketOf(await scene.open());
  socket.write('a request');
  const pieces: Buffer[] = [];
  for await (const piece of socket) {
    pieces.push(piece as Buffer);
    if (pieces.length % 10 === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  }
  expect(Buffer.concat(pieces).equals(sent)).to.equal(true);
  scene.close();
});

test('a peer whose decision throws says at once that it can not help', async () => {
  const scene = await startScene(
    () => undefined,
    () => {
      throw new Error('broken');
    },
  );
  const result = await scene.open();
  expect(result.outcome).to.equal(ConnectOutcome.unavailable);
  expect(result.tookMs).to.be.lessThan(TIMEOUT_MS / 2);
  expect(scene.faults).to.deep.equal(['Error: broken']);
  scene.close();
});

test('a peer whose check of its links throws says nothing of the server', async () => {
  const refused = { kind: 'connect', address: { host: LOOPBACK, port: 1 } } as const;
  const scene = await startScene(
    () => undefined,
    () => refused,
    'broken',
  );
  const result = await scene.open();
  expect(result.outcome).to.equal(ConnectOutcome.unavailable);
  expect(result.tookMs).to.be.lessThan(TIMEOUT_MS / 2);
  scene.close();
});
