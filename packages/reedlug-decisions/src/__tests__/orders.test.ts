import { expect } from 'chai';
import {
  createTestBox,
  effectsOf,
  testDraft,
  testEngine,
  type TestBox,
} from './__fixtures__/testBox.js';
import type { DesiredEngineState } from '../types/order.js';

const WANTED: DesiredEngineState = { model: 'draft', version: 'v2', adapters: [], role: 'serve' };

/** Returns a box that holds the lease and has a desired state for each engine. */
function holderBox(checksFence: boolean): TestBox {
  const servers = ['engine-1', 'engine-2', 'engine-3', 'engine-4'].map((id) =>
    testEngine(id, { checksFence }),
  );
  const box = createTestBox({ servers });
  const item = { value: WANTED, revision: 1, planId: 'p', author: 'o' };
  for (const { id } of servers) box.state.config.items.set(`wanted/${id}`, item);
  box.state.lease.held = { fence: 3, sinceMs: 0, grantedAtMs: 0, unfencedFromMs: 5000 };
  return box;
}

test('orders that load weights keep to the rate limit of the weight store', () => {
  const box = holderBox(true);
  expect(effectsOf(box.tickThrough(50, 500), 'sendOrder')).length(2);
});

test('an order carries a validity that ends within the lease', () => {
  const [order] = effectsOf(holderBox(true).tickThrough(50, 100), 'sendOrder');
  expect(order).include({ fence: 3, validForMs: 5000 });
});

test('an engine that checks no fence is drained before its model changes', () => {
  const box = holderBox(false);
  expect(effectsOf(box.tickThrough(5050, 5500), 'sendOrder')).deep.equal([]);
  const view = box.state.servers.get('engine-1');
  if (view?.report === undefined) throw new Error('no report');
  view.report = { ...view.report, role: 'drain' };
  const orders = effectsOf(box.tickThrough(5550, 5700), 'sendOrder');
  expect(orders.map(({ serverId }) => serverId)).deep.equal(['engine-1']);
});

test('an engine that checks no fence gets no order while those of the last holder may arrive', () => {
  const box = holderBox(false);
  const view = box.state.servers.get('engine-1');
  if (view?.report === undefined) throw new Error('no report');
  view.report = { ...view.report, role: 'drain' };
  expect(effectsOf(box.tickThrough(50, 4900), 'sendOrder')).deep.equal([]);
});

test('an engine that reports another model gets no requests', () => {
  const box = createTestBox({ servers: [testEngine('engine-1')] });
  const view = box.state.servers.get('engine-1');
  if (view?.report === undefined) throw new Error('no report');
  view.report = { ...view.report, model: 'other' };
  const effects = box.send(20, { type: 'requestArrived', spec: testDraft('d1') });
  expect(effectsOf(effects, 'sendAttempt')).deep.equal([]);
});
