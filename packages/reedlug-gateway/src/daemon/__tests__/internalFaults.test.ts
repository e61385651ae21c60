import { createServer, request, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { only, createServingBox, facts } from '../../__tests__/__fixtures__/box.js';
import { reduceStep } from '../../reduce.js';
import type { Effect } from '../../types/effect.js';
import type { EventBody } from '../../types/event.js';
import type { HeaderCodec } from '../../adapter.js';
import type { CallerExchange } from '../callerServer.js';
import { createInternalFaults } from '../internalFaults.js';
import { createSequentialHandler } from '../sequentialHandler.js';

const CODEC: HeaderCodec = {
  decodeRequest: () => ({ kind: 'malformed', message: 'not used' }),
  encodeSend: () => [],
  evaluateAnswer: () => 'success',
  statementsOf: () => undefined,
  answerHeaders: (raw) => [...raw],
  refusalHeaders: ({ retryAfterMs }) =>
    retryAfterMs === undefined ? [] : ['Retry-After', String(retryAfterMs / 1000)],
};
const RELAY: Effect = {
  type: 'relay',
  exchangeId: 1,
  attemptId: 2,
  part: 'whole',
  routeName: 'lookup',
};

const FAULT_OF_TICK = [{ error: new Error('a mistake'), exchangeId: undefined }];

function fail(): never {
  throw new Error('a mistake');
}

function createScene() {
  const scene = {
    nowMs: 0,
    events: [] as EventBody[],
    lines: [] as string[],
    broken: 0,
    handled: new Set<number>(),
  };
  const exchanges = new Map<number, CallerExchange>();
  const faults = createInternalFaults({
    logger: (event) => void scene.lines.push(event),
    nowMs: () => scene.nowMs,
    emit: (event) => void scene.events.push(event),
    exchanges,
    codec: CODEC,
    isHandled: (exchangeId) => scene.handled.has(exchangeId),
    onBroken: () => void (scene.broken += 1),
  });
  return { scene, faults, exchanges };
}

/** Calls a server whose response is an open exchange of a box, and returns what the caller gets. */
async function callThrough(
  handle: (exchange: CallerExchange, response: ServerResponse) => void,
  isSent = true,
): Promise<{ status: number | undefined; isWhole: boolean; retryAfter: string | undefined }> {
  const head = { method: 'GET', path: '/', rawHeaders: [] };
  const server = createServer((_request, response) => {
    const body = Buffer.alloc(0);
    const isCallerGone = (): boolean => false;
    const state = { lastEventId: undefined, isSent, isCallerGone };
    handle({ id: 1, head, body, response, ...state }, response);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const outcome = await new Promise<Awaited<ReturnType<typeof callThrough>>>((resolve) => {
    const call = request({ port, host: '127.0.0.1' }, (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({
          status: response.statusCode,
          isWhole: response.complete,
          retryAfter: response.headers['retry-after'],
        }),
      );
    });
    call.on('error', () => resolve({ status: undefined, isWhole: false, retryAfter: undefined }));
    call.end();
  });
  server.close();
  return outcome;
}

test('an effect that throws fails its request alone, and no later one', async () => {
  const { scene, faults, exchanges } = createScene();
  const outcome = await callThrough((exchange) => {
    exchanges.set(1, exchange);
    faults.perform(RELAY, fail);
  });
  expect(outcome).to.deep.equal({ status: 502, isWhole: true, retryAfter: undefined });
  expect(scene.events).to.deep.equal([{ type: 'callerGone', exchangeId: 1 }]);
  expect(scene.lines).to.deep.equal(['effectFault']);
  expect(exchanges.size).to.equal(0);
});

test('an answer that is under way when its effect throws does not look complete', async () => {
  const { faults, exchanges } = createScene();
  const outcome = await callThrough((exchange, response) => {
    exchanges.set(1, exchange);
    response.write('half', () => faults.perform(RELAY, fail));
  });
  expect(outcome).to.deep.equal({ status: 200, isWhole: false, retryAfter: undefined });
});

test('a send that throws has not left the box', () => {
  const { scene, faults } = createScene();
  const order = {} as Extract<Effect, { type: 'send' }>['order'];
  const send: Effect = { type: 'send', exchangeId: 1, attemptId: 2, order, streaming: false };
  faults.perform(send, fail);
  const reason = 'internalFault';
  expect(scene.events).to.deep.equal([
    { type: 'attemptNotSent', exchangeId: 1, attemptId: 2, reason },
  ]);
});

test('an event of a request that throws fails the request, once', () => {
  const box = createServingBox();
  const times = { nowMs: 0, wallClockMs: 0 };
  const arrived = { type: 'requestArrived', exchangeId: 1, facts: facts() } as const;
  const { attemptId } = only(box.take(arrived), 'send');
  box.state.servers.get = fail;
  const ended = { type: 'attemptEnded', exchangeId: 1, attemptId, ...times } as const;
  const step = reduceStep(box.state, ended);
  expect(step.faults.length).to.be.greaterThan(0);
  expect(box.state.requests.size).to.equal(0);
  const again = reduceStep(box.state, { type: 'callerGone', exchangeId: 1, ...times });
  expect(again).to.deep.include({ effects: [], faults: [] });
});

test('a request that was not sent when its handling threw is answered as not run, with a time to come back', async () => {
  const { scene, faults, exchanges } = createScene();
  const outcome = await callThrough((exchange) => {
    exchanges.set(1, exchange);
    const body = { type: 'requestArrived', exchangeId: 1, facts: facts() } as const;
    faults.onEventHandled(body, [{ error: new Error('a mistake'), exchangeId: 1 }]);
  }, false);
  expect(outcome).to.deep.equal({ status: 503, isWhole: true, retryAfter: '0.25' });
  // The state has nothing of it left to clean up.
  expect(scene.events).to.deep.equal([]);
  expect(exchanges.size).to.equal(0);
});

test('requests that throw do not stop a box, whatever their number', () => {
  const { scene, faults } = createScene();
  for (let request = 0; request < 100; request += 1) {
    const body = { type: 'callerGone', exchangeId: request } as const;
    faults.onEventHandled(body, [{ error: new Error('a mistake'), exchangeId: request }]);
  }
  expect(faults.isSound()).to.equal(true);
  expect(scene.broken).to.equal(0);
});

test('a request that an exception in a tick has left to nobody is answered', async () => {
  const { scene, faults, exchanges } = createScene();
  scene.handled.add(2);
  const outcome = await callThrough((exchange) => {
    exchanges.set(1, exchange);
    exchanges.set(2, exchange);
    faults.onEventHandled({ type: 'tick' }, FAULT_OF_TICK);
  });
  expect(outcome.status).to.equal(502);
  expect([...exchanges.keys()]).to.deep.equal([2]);
});

test('a box whose ticks throw is no longer ready, and stops', () => {
  const { scene, faults } = createScene();
  expect(faults.isSound()).to.equal(true);
  for (let ticks = 0; ticks < 22; ticks += 1) {
    scene.nowMs += 50;
    faults.onEventHandled({ type: 'tick' }, FAULT_OF_TICK);
  }
  expect(faults.isSound()).to.equal(false);
  expect(scene.broken).to.equal(1);
});

test('exceptions far apart do not stop a box, whatever their number', () => {
  const { scene, faults } = createScene();
  for (let count = 0; count < 100; count += 1) {
    scene.nowMs += 1000;
    faults.onEventHandled({ type: 'tick' }, []);
    faults.onUncaught('a mistake');
  }
  expect(faults.isSound()).to.equal(true);
  expect(scene.broken).to.equal(0);
});

test('a box that handles no ticks is not ready', () => {
  const { scene, faults } = createScene();
  scene.nowMs += 3100;
  expect(faults.isSound()).to.equal(false);
  faults.onEventHandled({ type: 'tick' }, []);
  expect(faults.isSound()).to.equal(true);
});

test('after an event that throws the next one is handled', () => {
  const handled: string[] = [];
  const failed: string[] = [];
  const handle = (body: EventBody): void => {
    handled.push(body.type);
    if (body.type === 'stopAsked') fail();
  };
  const emit = createSequentialHandler(handle, (_error, body) => void failed.push(body.type));
  emit({ type: 'stopAsked' });
  emit({ type: 'tick' });
  expect(handled).to.deep.equal(['stopAsked', 'tick']);
  expect(failed).to.deep.equal(['stopAsked']);
  const withoutListener = createSequentialHandler(handle);
  expect(() => withoutListener({ type: 'stopAsked' })).to.throw('a mistake');
  withoutListener({ type: 'tick' });
  expect(handled.length).to.equal(4);
});

test('a log that throws neither stops a box nor keeps a request from its answer', async () => {
  const { scene, faults, exchanges } = createScene();
  scene.lines.push = fail;
  const line: Effect = { type: 'log', event: 'requestSent', fields: {} };
  for (let count = 0; count < 40; count += 1) faults.perform(line, fail);
  const outcome = await callThrough((exchange) => {
    exchanges.set(1, exchange);
    faults.perform(RELAY, fail);
  });
  expect(outcome.status).to.equal(502);
  expect(scene.broken).to.equal(0);
});
