import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  only,
  server,
  takeContacts,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../types/effect.js';
import { mustAwaitListing } from '../listingWaits.js';
import {
  SERVED_VERSIONS_KEY,
  streamStartsKey,
  type ServedVersionsRow,
  type StreamStartsRow,
} from '../../../types/streamVersion.js';

function addVersion(box: TestBox, id: string, version: string): void {
  const changes = [{ id, entry: server(id, { service: 'engines', version }) }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
}

function beginStream(box: TestBox, exchangeId: number): void {
  const stream = facts({ requestId: `request-${exchangeId}`, path: '/draft/1', deadlineMs: 8000 });
  const effects = box.take({ type: 'requestArrived', exchangeId, facts: stream });
  const { attemptId } = only(effects, 'send');
  box.take({ type: 'attemptAnswered', exchangeId, attemptId, verdict: 'success', status: 200 });
}

/** Returns the values that the effects write, by key, with the versions that they expect. */
function writesOf(effects: readonly Effect[]) {
  return ofType(effects, 'requestTable').flatMap(({ purpose, op }) =>
    purpose.kind === 'streamRows' && op.kind === 'transact' ? op.writes : [],
  );
}

function answer(box: TestBox, call: 'writeOwn' | 'writeVersions', key: string, version: number) {
  const rows = [{ key, version, value: undefined }];
  return box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call },
    answer: { kind: 'done', rows },
    sentAtMs: box.nowMs,
  });
}

function listVersions(box: TestBox, services: ServedVersionsRow['services']): void {
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: {
      kind: 'done',
      rows: [{ key: SERVED_VERSIONS_KEY, version: 3, value: { services, era: 0 } }],
    },
    sentAtMs: box.nowMs,
  });
}

/** Returns the server of an attempt. */
function attemptOf(box: TestBox, attemptId: number): string {
  const attempts = [...box.state.requests.values()].flatMap((record) => record.attempts);
  return attempts.find((attempt) => attempt.attemptId === attemptId)?.serverId ?? '';
}

test('a second version is written at once, and with it the streams that are under way', () => {
  const box = createServingBox();
  beginStream(box, 1);
  addVersion(box, 'engine-3', 'v2');
  const writes = writesOf(box.pass(50));
  const versions = writes.find(({ key }) => key === SERVED_VERSIONS_KEY);
  expect((versions?.value as ServedVersionsRow).services).to.deep.equal({
    engines: { '': null, v2: null },
    records: { '': null },
  });
  const own = writes.find(({ key }) => key === streamStartsKey('box-1'));
  const [start] = (own?.value as StreamStartsRow).starts;
  expect(start?.slice(0, 3)).to.deep.equal(['tiger/request-1', 'engines', '']);
});

test('a stream is in the row of its box before its first event, and is not written again with it', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  const ownKey = streamStartsKey('box-1');
  const isOwn = ({ key }: { key: string }): boolean => key === ownKey;
  const stream = facts({ requestId: 'request-1', path: '/draft/1', deadlineMs: 8000 });
  const sent = box.take({ type: 'requestArrived', exchangeId: 1, facts: stream });
  const { attemptId, order } = only(sent, 'send');
  const [written] = writesOf(box.pass(50)).filter(isOwn);
  const version = box.state.servers.get(order.serverId)?.entry.version ?? '';
  const [start] = (written?.value as StreamStartsRow).starts;
  expect(start?.slice(0, 3)).to.deep.equal(['tiger/request-1', 'engines', version]);
  answer(box, 'writeOwn', ownKey, 7);
  box.take({ type: 'attemptAnswered', exchangeId: 1, attemptId, verdict: 'success', status: 200 });
  expect(writesOf(box.pass(500)).filter(isOwn)).to.have.length(0);
});

test('a stream that was sent to another version first begins once the row names its version', () => {
  const box = createServingBox();
  const changes = [
    ...[{ id: 'engine-1', entry: server('engine-1', { service: 'engines', version: 'v1' }) }],
    ...[{ id: 'engine-2', entry: server('engine-2', { service: 'engines', version: 'v2' }) }],
  ];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  const ownKey = streamStartsKey('box-1');
  const stream = facts({ requestId: 'request-1', path: '/draft/1', deadlineMs: 8000 });
  const sent = box.take({ type: 'requestArrived', exchangeId: 1, facts: stream });
  const first = only(sent, 'send');
  listVersions(box, { engines: { v1: null, v2: null } });
  box.pass(50);
  answer(box, 'writeOwn', ownKey, 7);
  const { attemptId: firstId } = first;
  const lost = { type: 'attemptNotSent', exchangeId: 1, attemptId: firstId } as const;
  const { attemptId } = only(box.take({ ...lost, reason: 'timeout' }), 'send');
  const ids = { exchangeId: 1, attemptId };
  expect(mustAwaitListing(box.state, ids, box.nowMs)).to.equal(true);
  const held = [...box.take({ type: 'listingAwaited', ...ids }), ...box.pass(100)];
  expect(ofType(held, 'listingEnded')).to.have.length(0);
  const [again] = writesOf(held).filter(({ key }) => key === ownKey);
  expect((again?.value as StreamStartsRow).starts[0]?.[2]).to.equal(
    box.state.servers.get(attemptOf(box, attemptId))?.entry.version,
  );
  expect(ofType(answer(box, 'writeOwn', ownKey, 8), 'listingEnded')).to.have.length(1);
});

test('streams are written ten times a second at most', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  beginStream(box, 1);
  const ownKey = streamStartsKey('box-1');
  const isOwn = ({ key }: { key: string }): boolean => key === ownKey;
  expect(writesOf(box.pass(50)).filter(isOwn)).to.have.length(1);
  answer(box, 'writeOwn', ownKey, 7);
  beginStream(box, 2);
  expect(writesOf(box.pass(50)).filter(isOwn)).to.have.length(0);
  const [again] = writesOf(box.pass(50)).filter(isOwn);
  expect(again?.expectVersion).to.equal(7);
  expect((again?.value as StreamStartsRow).starts).to.have.length(2);
});

test('streams are written twice a second at most to a store that refuses', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  beginStream(box, 1);
  const ownKey = streamStartsKey('box-1');
  const isOwn = ({ key }: { key: string }): boolean => key === ownKey;
  expect(writesOf(box.pass(50)).filter(isOwn)).to.have.length(1);
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'writeOwn' },
    answer: { kind: 'refused', reason: 'throttled', rows: [] },
    sentAtMs: box.nowMs,
  });
  expect(writesOf(box.pass(400)).filter(isOwn)).to.have.length(0);
  expect(writesOf(box.pass(100)).filter(isOwn)).to.have.length(1);
});

test('a store that refuses is asked four times a second at most to write the versions', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  let writes = 0;
  for (let passedMs = 0; passedMs < 1000; passedMs += 50) {
    const isDue = writesOf(box.pass(50)).some(({ key }) => key === SERVED_VERSIONS_KEY);
    if (!isDue) continue;
    writes += 1;
    box.take({
      type: 'tableAnswered',
      purpose: { kind: 'streamRows', call: 'writeVersions' },
      answer: { kind: 'refused', reason: 'throttled', rows: [] },
      sentAtMs: box.nowMs,
    });
  }
  expect(writes).to.equal(4);
});

test('the row of an earlier life of the box is kept and announced again', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  box.pass(50);
  const value = { storeNowMs: 0, starts: [['tiger/request-9', 'engines', 'v2', 5000]] };
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows: [{ key: streamStartsKey('box-1'), version: 4, value }] },
    sentAtMs: box.nowMs,
  });
  expect(box.state.streamVersions.starts.get('tiger/request-9')?.isOwn).to.equal(true);
  beginStream(box, 1);
  const writes = writesOf(box.pass(600));
  const own = writes.find(({ key }) => key === streamStartsKey('box-1'));
  expect(own?.expectVersion).to.equal(4);
  expect((own?.value as StreamStartsRow).starts).to.have.length(2);
});

test('a version whose last server is gone is written with the time of its end', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  box.pass(50);
  answer(box, 'writeVersions', SERVED_VERSIONS_KEY, 3);
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: {
      kind: 'done',
      rows: [
        {
          key: SERVED_VERSIONS_KEY,
          version: 3,
          value: { services: { engines: { '': null, v2: null } } },
        },
      ],
    },
    sentAtMs: box.nowMs,
  });
  takeContacts(box, true);
  box.take({ type: 'storeClock', storeNowMs: 100_000 });
  const changes = [{ id: 'engine-3', entry: undefined }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 3, source: 'store' });
  const row = writesOf(box.pass(600)).find(({ key }) => key === SERVED_VERSIONS_KEY);
  expect(row?.expectVersion).to.equal(3);
  const { engines } = (row?.value as ServedVersionsRow).services;
  expect(engines?.['']).to.equal(null);
  expect(engines?.['v2']).to.be.a('number');
});

test('rows of other writers that are malformed are passed over', () => {
  const box = createServingBox();
  addVersion(box, 'engine-3', 'v2');
  box.pass(50);
  const rows = [
    {
      key: SERVED_VERSIONS_KEY,
      version: 1,
      value: { services: { engines: 7, records: { v: 'x' } } },
    },
    { key: streamStartsKey('box-8'), version: 2, value: { storeNowMs: 'soon', starts: [] } },
    { key: streamStartsKey('box-9'), version: 3, value: { storeNowMs: 0, starts: [7, ['a']] } },
  ];
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows },
    sentAtMs: box.nowMs,
  });
  expect(box.state.streamVersions.starts.size).to.equal(0);
});
