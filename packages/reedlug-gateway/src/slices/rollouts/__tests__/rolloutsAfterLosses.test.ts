/**
 * Guards against a service that stands still after a loss of all boxes, as they know the order of its last roll-out but
 * not how it ended, and against a blocked version that counts as any other until a box holds the lease.
 */
import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  server,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../types/effect.js';
import { RolloutPhase, type RolloutRecord } from '../../../types/rollout.js';

const ORDER = { service: 'records', targetVersion: 'v2', durationMs: 12_000, revision: 40 };
const TICK_MS = 50;
/** Well below the time in which a box takes the lease of one that is gone. */
const SOON_MS = 200;

function recordOf(changes: Partial<RolloutRecord>): RolloutRecord {
  return {
    revision: ORDER.revision,
    targetVersion: 'v2',
    phase: RolloutPhase.completed,
    orderedAtStoreMs: 0,
    barred: [],
    ...changes,
  };
}

/** Starts a box that reads the registry and the order of a roll-out that ended long ago. */
function startBox(versions: Readonly<Record<string, string>>): TestBox {
  const box = createServingBox();
  const changes = Object.entries(versions).map(([id, version]) => ({
    id,
    entry: server(id, { version }),
  }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 2, source: 'store' });
  box.take({ type: 'rolloutOrdered', order: ORDER });
  return box;
}

function readsOf(effects: readonly Effect[]) {
  return ofType(effects, 'requestTable').filter(({ purpose }) => purpose.kind === 'rollout');
}

/** Passes time while the table answers reads of the record; returns the number of calls. */
function passWithTable(box: TestBox, ms: number, value: RolloutRecord | undefined): number {
  let calls = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
    for (const { purpose, sentAtMs, op } of readsOf(box.pass(TICK_MS))) {
      calls += 1;
      expect(op.kind).to.equal('read');
      const rows = value === undefined ? [] : [{ key: 'rollout/records', version: 3, value }];
      box.take({ type: 'tableAnswered', purpose, answer: { kind: 'done', rows }, sentAtMs });
    }
  }
  return calls;
}

function serversUsed(box: TestBox): Set<string> {
  const used = new Set<string>();
  for (let exchangeId = 1; exchangeId <= 8; exchangeId += 1) {
    const request = facts({ requestId: `r${exchangeId}` });
    const effects = box.take({ type: 'requestArrived', exchangeId, facts: request });
    for (const { order } of ofType(effects, 'send')) used.add(order.serverId);
  }
  return used;
}

test('after a loss of all boxes a version that carries the load serves without a holder of the lease', () => {
  const box = startBox({ 'new-1': 'v2' });
  passWithTable(box, SOON_MS, recordOf({}));
  expect([...serversUsed(box)]).to.deep.equal(['new-1']);
});

test('after a loss of all boxes a version of an earlier roll-out that did not complete stays blocked', () => {
  const box = startBox({ 'bad-1': 'v1-bad', 'old-1': 'v1' });
  const phase = RolloutPhase.rolledBack;
  passWithTable(box, SOON_MS, recordOf({ revision: 30, targetVersion: 'v1-bad', phase }));
  expect([...serversUsed(box)]).to.deep.equal(['old-1']);
});

test('a start takes one call for each roll-out, and an order in operation none', () => {
  for (const value of [recordOf({}), undefined]) {
    const box = startBox({ 'new-1': 'v2' });
    expect(passWithTable(box, 10_000, value)).to.equal(1);
  }
  const box = createServingBox();
  box.pass(5000);
  box.take({ type: 'rolloutOrdered', order: ORDER });
  expect(passWithTable(box, 5000, undefined)).to.equal(0);
});

test('a store that does not answer is asked three times at most', () => {
  const box = startBox({ 'new-1': 'v2' });
  let calls = 0;
  for (let passedMs = 0; passedMs < 10_000; passedMs += TICK_MS) {
    calls += readsOf(box.pass(TICK_MS)).length;
  }
  expect(calls).to.be.within(1, 3);
});
