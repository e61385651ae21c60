import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  type TestBox,
  limitStatement,
  statementsEvent,
} from '../../../__tests__/__fixtures__/box.js';
import { takeLease } from '../../../__tests__/__fixtures__/lease.js';
import type { Effect } from '../../../types/effect.js';
import { dutyFence } from '../../store/dutyLease.js';

/** Suspends the machine for a time that its monotonic clock does not count. */
function suspend(box: TestBox, ms: number): Effect[] {
  box.wallClockOffsetMs += ms;
  return box.pass(50);
}

function suspensions(effects: readonly Effect[]): unknown[] {
  return ofType(effects, 'log')
    .filter(({ event }) => event === 'suspended')
    .map(({ fields }) => fields['witness']);
}

test('after a suspension that outlasts the lease a box performs no duties', () => {
  const box = createServingBox();
  takeLease(box);
  expect(dutyFence(box.state, box.nowMs)).not.to.equal(undefined);
  expect(suspensions(suspend(box, 4000))).to.deep.equal(['timeOfDay']);
  expect(dutyFence(box.state, box.nowMs)).to.equal(undefined);
});

test('a lease stays valid after a suspension shorter than its remaining time', () => {
  const box = createServingBox();
  takeLease(box);
  suspend(box, 300);
  expect(dutyFence(box.state, box.nowMs)).not.to.equal(undefined);
});

test('the store clock shows a suspension when the wall clock was set back at the same time', () => {
  const box = createServingBox();
  takeLease(box);
  box.take({ type: 'storeClock', storeNowMs: box.nowMs + 10_000 });
  box.pass(50);
  const effects = box.take({ type: 'storeClock', storeNowMs: box.nowMs + 14_000 });
  expect(suspensions(effects)).to.deep.equal(['storeClock']);
  expect(dutyFence(box.state, box.nowMs)).to.equal(undefined);
});

test('a slow answer of the store, and a wall clock that is set back, are no suspension', () => {
  const box = createServingBox();
  box.take({ type: 'storeClock', storeNowMs: 10_000 });
  box.pass(2000);
  expect(suspensions(box.take({ type: 'storeClock', storeNowMs: 10_500 }))).to.deep.equal([]);
  expect(suspensions(suspend(box, -5000))).to.deep.equal([]);
});

test('lent units that expire during a suspension are not used', () => {
  const box = createServingBox();
  const workspace = box.state.active?.configuration.workspaces[0];
  box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
  const quota = box.state.quotas.get(workspace?.name ?? '');
  const lender = { host: '127.0.0.2', port: 7000 };
  quota?.loans.push({ units: 100, untilMs: box.nowMs + 300, askId: 1, lender });
  suspend(box, 2000);
  expect(quota?.loans[0]?.untilMs).to.be.below(box.nowMs);
});

test('after a suspension a box sends to a limited server like a box that replaces another', () => {
  const box = createServingBox();
  box.pass(4000);
  const statement = limitStatement(2);
  const limits = ['records-1', 'records-2'].map((serverId) => ({
    serverId,
    bornAtMs: undefined,
    statement,
  }));
  box.take(statementsEvent(...limits));
  const ask = (exchangeId: number): Effect[] =>
    box.take({
      type: 'requestArrived',
      exchangeId,
      facts: facts({ requestId: `r${exchangeId}` }),
    });
  expect(ofType(ask(1), 'send')).to.have.length(1);
  box.pass(4000);
  suspend(box, 3000);
  expect(ofType(ask(2), 'send')).to.have.length(0);
  box.pass(600);
  expect(ofType(ask(3), 'send')).to.have.length(1);
});
