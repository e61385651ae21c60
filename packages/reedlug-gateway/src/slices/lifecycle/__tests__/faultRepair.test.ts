import { expect } from 'chai';
import {
  createBox,
  createServingBox,
  facts,
  listBoxes,
  ofType,
  only,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { reduceStep, type StepOutcome } from '../../../reduce.js';
import type { EventBody } from '../../../types/event.js';
import type { RequestFacts } from '../../../types/request.js';

function arrival(exchangeId: number, changes: Partial<RequestFacts> = {}): EventBody {
  const requestId = `request-${exchangeId}`;
  return { type: 'requestArrived', exchangeId, facts: facts({ requestId, ...changes }) };
}

/** Feeds an event whose handling may throw. */
function take(box: TestBox, event: EventBody): StepOutcome {
  const wallClockMs = box.nowMs + box.wallClockOffsetMs;
  return reduceStep(box.state, { ...event, nowMs: box.nowMs, wallClockMs });
}

function breakDown(): never {
  throw new Error('a mistake');
}

function runningOf({ state }: TestBox): number[] {
  return [...state.servers.values()].map(({ running }) => running);
}

test('a part of a tick that throws does not keep requests from their deadlines', () => {
  const box = createServingBox();
  box.take(arrival(1));
  box.state.goneServers = undefined as never;
  box.nowMs += 700;
  const { effects, faults } = take(box, { type: 'tick' });
  expect(only(effects, 'refuse')).to.include({ exchangeId: 1, status: 504 });
  expect(faults.map(({ exchangeId }) => exchangeId)).to.deep.equal([undefined]);
});

test('requests that wait for the configuration are sent though another one of them throws', () => {
  const box = createBox();
  listBoxes(box);
  for (const exchangeId of [1, 2, 3]) box.take(arrival(exchangeId));
  const serving = createServingBox();
  box.state.servers = serving.state.servers;
  box.state.serversKnown = true;
  Object.defineProperty(box.state.pendingRequests[1]?.facts, 'host', { get: breakDown });
  const configuration = serving.state.active?.configuration;
  if (configuration === undefined) throw new Error('no configuration');
  const event = { type: 'configurationRead', configuration, source: 'store' } as const;
  const { effects, faults } = take(box, event);
  expect(ofType(effects, 'send').map(({ exchangeId }) => exchangeId)).to.deep.equal([1, 3]);
  expect(faults.map(({ exchangeId }) => exchangeId)).to.deep.equal([2]);
});

test('a request whose send throws half-way is not sent, is answered as not run, and holds no place', () => {
  const box = createServingBox();
  for (const view of box.state.servers.values()) view.cachedParts.set = breakDown;
  const promptParts = [{ id: 'part', tokens: 40 }];
  const { effects } = take(box, arrival(1, { path: '/draft/1', promptTokens: 40, promptParts }));
  expect(ofType(effects, 'send')).to.deep.equal([]);
  expect(only(effects, 'refuse')).to.include({ exchangeId: 1, status: 503 });
  expect(only(effects, 'refuse').retryAfterMs).to.be.greaterThan(0);
  expect(runningOf(box)).to.deep.equal([0, 0, 0, 0]);
  expect([...box.state.servers.values()].map(({ unread }) => unread)).to.deep.equal([0, 0, 0, 0]);
});

test('a request that an exception elsewhere leaves without a send or a wait is answered at once', () => {
  const box = createServingBox();
  box.take(arrival(1));
  const [attempt] = box.state.requests.get(1)?.attempts ?? [];
  if (attempt !== undefined) attempt.open = false;
  box.state.goneServers = undefined as never;
  const { effects } = take(box, { type: 'tick' });
  expect(only(effects, 'refuse')).to.include({ exchangeId: 1 });
  expect(runningOf(box)).to.deep.equal([0, 0, 0, 0]);
});
