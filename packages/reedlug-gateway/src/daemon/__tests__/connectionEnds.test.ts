import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { createRequestBudget } from '../bufferBudget.js';
import { createCallerServer, type CallerExchange, type CallerServer } from '../callerServer.js';
import { cutAnswer } from '../exchanges.js';

const HOST = '127.0.0.1';

interface Play {
  callers: CallerServer;
  caller: Socket;
  /** Paths of the requests that were passed on. */
  passedOn: string[];
  rejected: number[];
  received: () => string;
}

/** Starts a server, and a caller that keeps its side open, reads when told, and sends what it is told. */
async function play(params: {
  onRequest: (exchange: CallerExchange) => void;
  isShuttingDown?: () => boolean;
}): Promise<Play> {
  const passedOn: string[] = [];
  const rejected: number[] = [];
  const callers = createCallerServer({
    onRequest(exchange) {
      passedOn.push(exchange.head.path);
      params.onRequest(exchange);
    },
    onCallerGone: () => undefined,
    onRejected: (status) => rejected.push(status),
    shutdownHeaders: () => [],
    noRoomHeaders: () => [],
    requestBudget: createRequestBudget(Number.MAX_SAFE_INTEGER),
    limits: () => undefined,
    isShuttingDown: params.isShuttingDown ?? (() => false),
    onConnection: () => undefined,
    onConnectionClosed: () => undefined,
  });
  callers.server.listen(0, HOST);
  await once(callers.server, 'listening');
  const { port } = callers.server.address() as AddressInfo;
  const caller = connect({ port, host: HOST, allowHalfOpen: true });
  caller.on('error', () => undefined);
  await once(caller, 'connect');
  const chunks: Buffer[] = [];
  caller.on('data', (chunk: Buffer) => chunks.push(chunk));
  const received = (): string => Buffer.concat(chunks).toString('latin1');
  return { callers, caller, passedOn, rejected, received };
}

function textOf(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

test('an answer that its caller is still reading when connections are ended leaves whole', async () => {
  const size = 24_000_000;
  const { callers, caller, received } = await play({
    onRequest({ response }) {
      response.writeHead(200, { 'content-length': size });
      response.end(Buffer.alloc(size, 'x'));
    },
  });
  caller.pause();
  caller.write(textOf('/large'));
  await delay(300);
  expect(callers.openExchanges(), 'answers that have not left').to.equal(1);
  const ended = callers.end();
  await delay(100);
  caller.resume();
  await Promise.race([once(caller, 'close'), once(caller, 'end')]);
  caller.destroy();
  await ended;
  const text = received();
  expect(text.length - text.indexOf('\r\n\r\n') - 4, 'bytes of the answer').to.equal(size);
});

test('answers given right before connections are ended all leave, also those behind others', async () => {
  const open: CallerExchange[] = [];
  const { callers, caller, received } = await play({
    onRequest: (one) => open.push(one),
    isShuttingDown: () => true,
  });
  caller.write(textOf('/a') + textOf('/b') + textOf('/c'));
  while (open.length < 3) await delay(5);
  for (const { head, response } of open) response.end(`answer to ${head.path}`);
  const ended = callers.end();
  await Promise.race([once(caller, 'end'), once(caller, 'close')]);
  caller.destroy();
  await ended;
  expect(received().match(/answer to \/./g)).to.deep.equal([
    'answer to /a',
    'answer to /b',
    'answer to /c',
  ]);
});

test('a request behind a stream that was cut is not passed on', async () => {
  const { callers, caller, passedOn, received } = await play({
    onRequest({ head, response }) {
      if (head.path !== '/stream') return void response.end('answered');
      response.writeHead(200);
      response.write('event');
      setTimeout(() => cutAnswer(response), 50);
    },
  });
  caller.write(textOf('/stream'));
  await once(caller, 'end');
  caller.write(textOf('/behind'));
  await delay(100);
  caller.destroy();
  await callers.end();
  expect(received()).to.not.include('answered');
  expect(passedOn).to.deep.equal(['/stream']);
});

test('a request behind one that names no host is not passed on', async () => {
  const { callers, caller, passedOn, received } = await play({
    onRequest: ({ response }) => setTimeout(() => response.end('answered'), 50),
  });
  caller.write(`GET /nameless HTTP/1.1\r\n\r\n${textOf('/behind')}`);
  await once(caller, 'end');
  caller.destroy();
  await callers.end();
  expect(received()).to.include('400 Bad Request').and.to.not.include('answered');
  expect(passedOn).to.deep.equal([]);
});

test('requests whose caller is gone are not refused at the end', async () => {
  const { callers, caller, rejected } = await play({ onRequest: () => undefined });
  const begun = 'POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nbody';
  caller.write(textOf('/a') + begun);
  await delay(100);
  caller.destroy();
  await delay(100);
  await callers.end();
  expect(rejected).to.deep.equal([]);
});

test('many requests sent at once on one connection do not occupy the thread', async () => {
  const count = 20_000;
  const open: CallerExchange[] = [];
  const { callers, caller } = await play({ onRequest: (one) => open.push(one) });
  caller.write(textOf('/a').repeat(count));
  while (open.length < count) await delay(5);
  const startMs = performance.now();
  for (const { response } of open) response.end('x');
  const tookMs = performance.now() - startMs;
  caller.destroy();
  await callers.end();
  expect(tookMs).to.be.lessThan(1000);
});

test('while a box stops, an answer that is given before earlier ones does not leave a later request unanswered', async () => {
  const open = new Map<string, CallerExchange>();
  const { callers, caller, received } = await play({
    onRequest: (one) => open.set(one.head.path, one),
    isShuttingDown: () => true,
  });
  caller.write(textOf('/a') + textOf('/b'));
  await delay(50);
  open.get('/b')?.response.end('second');
  await delay(50);
  const sentAtMs = performance.now();
  caller.write(textOf('/c'));
  setTimeout(() => open.get('/a')?.response.end('first'), 1500);
  setTimeout(() => open.get('/c')?.response.end('third'), 1600);
  await once(caller, 'end');
  const heldMs = performance.now() - sentAtMs;
  caller.destroy();
  await callers.end();
  const isSettled = received().includes('third') || heldMs < 200;
  expect(isSettled, `unanswered after ${Math.round(heldMs)} ms`).to.equal(true);
});

test('an HTTP/1.0 request behind an answer without a length is not passed on', async () => {
  const { callers, caller, passedOn, received } = await play({
    onRequest: ({ response }) =>
      setTimeout(() => {
        response.writeHead(204);
        response.end();
      }, 50),
  });
  const text = 'GET /a HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n';
  caller.write(text + text);
  await once(caller, 'end');
  caller.destroy();
  await callers.end();
  const answers = received().split('204').length - 1;
  expect(passedOn.length, 'passed on').to.equal(answers);
});
