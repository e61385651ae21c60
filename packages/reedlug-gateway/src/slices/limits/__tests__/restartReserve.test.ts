import { expect } from 'chai';
import type { TableOp } from 'reedlug-coordination';
import {
  createServingBox,
  facts,
  listBoxesAfterRestart,
  ofType,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import {
  createFaultyStore,
  type FaultyStore,
} from '../../../__tests__/__fixtures__/faultyStore.js';
import type { StoreTableReply } from '../../../adapter.js';
import { eventsOfTable } from '../../../daemon/tableEvents.js';
import type { Effect } from '../../../types/effect.js';

const KEY = 'limit-reserve/box-1';
/** Units of the window of 8 s: 98 % of 90,000. The reserve is a tenth of it. */
const UNITS = 88_200;
/** Time after an opening for which the reserve stays closed, in ms. */
const CLOSED_FOR_MS = 8800;

interface Call {
  purpose: Extract<Effect, { type: 'requestTable' }>['purpose'];
  op: TableOp;
  sentAtMs: number;
}

/** Returns a restarted box that has read the list of boxes, and its first call. */
function restart(isOn = true): { box: TestBox; calls: Call[] } {
  const box = createServingBox(settings({ limitOverShare: 0 }, { restartReserve: isOn }));
  box.state.part.opening = undefined;
  listBoxesAfterRestart(box);
  return { box, calls: callsOf(box.pass(50)) };
}

function callsOf(effects: readonly Effect[]): Call[] {
  return ofType(effects, 'requestTable').filter(({ purpose }) => purpose.kind === 'limitReserve');
}

/** Delivers the answer of the store, and returns the next calls. */
function answer(box: TestBox, { purpose, sentAtMs }: Call, reply: StoreTableReply): Call[] {
  if (reply.era !== undefined) box.take({ type: 'storeEra', era: reply.era });
  const events = eventsOfTable(box.state, { purpose, sentAtMs, reply });
  return events.flatMap((event) => callsOf(box.take(event)));
}

/** Executes all calls of a box at the given time of the store; returns how many there were. */
function answerAll(box: TestBox, first: readonly Call[], store: FaultyStore, atMs: number): number {
  let count = 0;
  for (let calls = first; calls.length > 0;) {
    count += calls.length;
    calls = calls.flatMap((call) => answer(box, call, store.execute(call.op, atMs)));
  }
  return count;
}

const NO_ANSWER: StoreTableReply = {
  answer: { kind: 'unknown' },
  storeNowMs: undefined,
  era: undefined,
};

let exchangeId = 0;
function admits(box: TestBox, promptTokens: number): boolean {
  exchangeId += 1;
  const request = facts({ requestId: `r${exchangeId}`, promptTokens, maxOutputTokens: 0 });
  const effects = box.take({ type: 'requestArrived', exchangeId, facts: request });
  return ofType(effects, 'send').length === 1;
}

/** Lets a first incarnation write its row at time 0. */
function storeWithRow(): FaultyStore {
  const store = createFaultyStore();
  const { box, calls } = restart();
  answerAll(box, calls, store, 0);
  return store;
}

test('a restarted box uses the reserve once the store has confirmed it, and not before', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  expect(admits(box, 100)).to.equal(false);
  const [write] = answer(box, calls[0] as Call, store.execute((calls[0] as Call).op, 20_000));
  expect(admits(box, 100)).to.equal(false);
  expect(answer(box, write as Call, store.execute((write as Call).op, 20_000))).to.deep.equal([]);
  expect(admits(box, UNITS * 0.1 + 10)).to.equal(false);
  expect(admits(box, UNITS * 0.1 - 10)).to.equal(true);
  expect(admits(box, 100)).to.equal(false);
});

test('the reserve is released for a limit that was used before the store answered', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  box.pass(2000);
  expect(admits(box, 3000)).to.equal(true);
  answerAll(box, calls, store, 20_000);
  // The reserve, and half of the units of the window for 1,650 of its 8,200 ms.
  expect(admits(box, UNITS * 0.1 + 8870 - 3000)).to.equal(true);
  expect(admits(box, 500)).to.equal(false);
});

test('a start takes two calls to the store, and none follow', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  expect(answerAll(box, calls, store, 20_000)).to.equal(2);
  const later = Array.from({ length: 400 }, () => callsOf(box.pass(50))).flat();
  expect(later).to.deep.equal([]);
});

test('a second restart within a window opens nothing, and a later one does', () => {
  for (const [afterMs, phase] of [
    [CLOSED_FOR_MS - 1, 'closed'],
    [CLOSED_FOR_MS, 'open'],
  ] as const) {
    const store = storeWithRow();
    const first = restart();
    answerAll(first.box, first.calls, store, 20_000);
    expect(first.box.state.restartReserve.phase).to.equal('open');
    const second = restart();
    answerAll(second.box, second.calls, store, 20_000 + afterMs);
    expect(second.box.state.restartReserve.phase, `${afterMs} ms`).to.equal(phase);
  }
});

test('a box without a row writes one and leaves the reserve closed', () => {
  const store = createFaultyStore();
  const { box, calls } = restart();
  expect(answerAll(box, calls, store, 0)).to.equal(2);
  expect(box.state.restartReserve.phase).to.equal('closed');
  expect(admits(box, 100)).to.equal(false);
  expect(store.contents.rows.has(KEY)).to.equal(true);
});

test('a row from before a restore of the store opens nothing', () => {
  const store = storeWithRow();
  const lost = restart();
  answerAll(lost.box, lost.calls, store, 20_000);
  store.restoreTo(19_000);
  const next = restart();
  answerAll(next.box, next.calls, store, 40_000);
  expect(next.box.state.restartReserve.phase).to.equal('closed');
  const last = restart();
  answerAll(last.box, last.calls, store, 40_000 + CLOSED_FOR_MS);
  expect(last.box.state.restartReserve.phase).to.equal('open');
});

test('a restore between read and write leaves the reserve closed', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  const [write] = answer(box, calls[0] as Call, store.execute((calls[0] as Call).op, 20_000));
  store.restoreTo(20_000);
  answer(box, write as Call, store.execute((write as Call).op, 20_010));
  expect(box.state.restartReserve.phase).to.equal('closed');
});

test('a write without an answer leaves the reserve closed, also when it is carried out', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  const [write] = answer(box, calls[0] as Call, store.execute((calls[0] as Call).op, 20_000));
  store.execute((write as Call).op, 20_000);
  answer(box, write as Call, NO_ANSWER);
  expect(box.state.restartReserve.phase).to.equal('closed');
  const next = restart();
  answerAll(next.box, next.calls, store, 21_000);
  expect(next.box.state.restartReserve.phase).to.equal('closed');
});

test('of two processes under one id only one opens the reserve', () => {
  const store = storeWithRow();
  const both = [restart(), restart()];
  const writes = both.map(({ box, calls }) => {
    return answer(box, calls[0] as Call, store.execute((calls[0] as Call).op, 20_000))[0] as Call;
  });
  both.forEach(({ box }, index) => {
    const write = writes[index] as Call;
    answer(box, write, store.execute(write.op, 20_000));
  });
  expect(both.map(({ box }) => box.state.restartReserve.phase)).to.deep.equal(['open', 'closed']);
});

test('the row is read a second time if the store does not answer, and not a third time', () => {
  const { box, calls } = restart();
  answer(box, calls[0] as Call, NO_ANSWER);
  expect(callsOf(box.pass(900))).to.have.length(0);
  const [second] = callsOf(box.pass(100));
  answer(box, second as Call, NO_ANSWER);
  const later = Array.from({ length: 100 }, () => callsOf(box.pass(50))).flat();
  expect(later).to.have.length(0);
  expect(box.state.restartReserve.phase).to.equal('closed');
});

test('a malformed row opens nothing and is replaced', () => {
  for (const value of [null, 7, {}, { openedStoreMs: 'x', era: 1 }, { openedStoreMs: 1 }]) {
    const store = createFaultyStore();
    store.contents.rows.set(KEY, { key: KEY, version: 3, value });
    store.contents.version = 3;
    const { box, calls } = restart();
    answerAll(box, calls, store, 20_000);
    expect(box.state.restartReserve.phase).to.equal('closed');
    expect(store.contents.rows.get(KEY)?.version).to.equal(4);
  }
});

test('with the switch off the store is not asked, and the share is as before', () => {
  const { box, calls } = restart(false);
  expect(calls).to.deep.equal([]);
  box.pass(20_000);
  expect(admits(box, UNITS * 0.5 - 10)).to.equal(true);
});

test('with the switch on a box never uses the reserve without a restart', () => {
  const { box } = restart();
  box.pass(20_000);
  expect(admits(box, UNITS * 0.4 + 10)).to.equal(false);
  expect(admits(box, UNITS * 0.4 - 10)).to.equal(true);
});

test('a request that finds too few units right after the start waits for the reserve', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  const request = facts({ requestId: 'r', path: '/draft/1', promptTokens: 5000, deadlineMs: 8000 });
  const event = { type: 'requestArrived' as const, exchangeId: 90_000, facts: request };
  const held = box.take(event);
  expect(ofType(held, 'refuse')).to.have.length(0);
  expect(ofType(held, 'log').map((line) => line.event)).to.include('unitsAwaited');
  answerAll(box, calls, store, 20_000);
  const effects = box.pass(50);
  expect(ofType(effects, 'send').map((effect) => effect.exchangeId)).to.deep.equal([90_000]);
});

test('a stream that waits for its first units is logged once as taken up', () => {
  const { box } = restart();
  const starts = [['tiger/request-9', 'engines', '', 20_000]] as const;
  box.take({ type: 'streamStarts', message: { kind: 'streamStarts', boxId: 'box-2', starts } });
  const request = facts({
    requestId: 'request-10',
    ...{ path: '/draft/1', deadlineMs: 8000, lastEventId: 3, resumedRequestId: 'request-9' },
    ...{ promptTokens: UNITS, maxOutputTokens: 0 },
  });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  for (let passedMs = 0; passedMs < 200; passedMs += 20) effects.push(...box.pass(20));
  const events = ofType(effects, 'log').map(({ event }) => event);
  expect(events).to.include('unitsAwaited');
  expect(events.filter((event) => event === 'streamTakenUp')).to.have.length(1);
});

test('a request does not wait longer than a quarter of its target, nor after the first second', () => {
  const { box } = restart();
  const request = facts({ requestId: 'r', path: '/draft/1', promptTokens: 5000, deadlineMs: 8000 });
  box.take({ type: 'requestArrived', exchangeId: 90_001, facts: request });
  // The target is 1,200 ms; the wait ends after 300 ms.
  const early = Array.from({ length: 5 }, () => box.pass(50)).flat();
  expect(ofType(early, 'refuse')).to.have.length(0);
  expect(ofType(box.pass(50), 'refuse').map(({ status }) => status)).to.deep.equal([429]);
  box.pass(700);
  const late = box.take({ type: 'requestArrived', exchangeId: 90_002, facts: request });
  expect(ofType(late, 'refuse')).to.have.length(1);
});

test('the caller of a waiting request may leave', () => {
  const store = storeWithRow();
  const { box, calls } = restart();
  const request = facts({ requestId: 'r', path: '/draft/1', promptTokens: 5000, deadlineMs: 8000 });
  box.take({ type: 'requestArrived', exchangeId: 90_003, facts: request });
  box.take({ type: 'callerGone', exchangeId: 90_003 });
  answerAll(box, calls, store, 20_000);
  expect(ofType(box.pass(50), 'send')).to.have.length(0);
});
