import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  only,
  peerMessage,
  server,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { decodeDatagram, encodeDatagram } from '../../../daemon/peerWire.js';
import { ServerState, type ServerEntry } from '../../../types/server.js';

const STARTED_MS = 1_780_000_000_000;

/** Creates a box whose only engine is in its first incarnation. */
function createBoxWithEngine(): TestBox {
  const box = createServingBox(settings());
  const changes = [
    { id: 'engine-1', entry: undefined },
    { id: 'engine-2', entry: undefined },
    change('engine-1', {}),
  ];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  return box;
}

function change(id: string, changes: Partial<ServerEntry>) {
  return { id, entry: server(id, { service: 'engines', bornAtMs: STARTED_MS, ...changes }) };
}

function readEntry(box: TestBox, changes: Partial<ServerEntry>, revision = 3) {
  const changed = [change('engine-1', changes)];
  return box.take({
    type: 'serversRead',
    whole: false,
    changes: changed,
    revision,
    source: 'store',
  });
}

function openStream(box: TestBox, exchangeId: number, path = '/draft/1') {
  const request = facts({ requestId: `r${exchangeId}`, path, deadlineMs: 8000, promptTokens: 900 });
  return only(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send');
}

test('a new incarnation under a known id inherits nothing from the earlier one', () => {
  const box = createBoxWithEngine();
  const { attemptId } = openStream(box, 1);
  box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'reset' });
  const view = box.state.servers.get('engine-1');
  if (view === undefined) throw new Error('no server');
  view.cachedParts.set('part', 1);
  view.slowness = 5;
  expect(view.failureScore).to.be.greaterThan(0);
  readEntry(box, { bornAtMs: STARTED_MS + 1 });
  const next = box.state.servers.get('engine-1');
  expect(next?.failureScore).to.equal(0);
  expect(next?.cachedParts.size).to.equal(0);
  expect(next?.slowness).to.equal(1);
  expect(next?.running).to.equal(0);
});

test('a ready incarnation accepts requests after a draining one', () => {
  const box = createBoxWithEngine();
  readEntry(box, { state: ServerState.leaving });
  expect(box.state.servers.get('engine-1')?.leaving).to.equal(true);
  readEntry(box, { bornAtMs: STARTED_MS + 1 }, 4);
  expect(openStream(box, 1).order.serverId).to.equal('engine-1');
});

test('an entry of an earlier incarnation changes nothing, even after the server is gone', () => {
  const box = createBoxWithEngine();
  readEntry(box, { bornAtMs: STARTED_MS + 1 });
  readEntry(box, { state: ServerState.leaving }, 4);
  expect(box.state.servers.get('engine-1')?.leaving).to.equal(false);
  const gone = [{ id: 'engine-1', entry: undefined }];
  box.take({ type: 'serversRead', whole: false, changes: gone, revision: 5, source: 'store' });
  readEntry(box, {}, 6);
  expect(box.state.servers.has('engine-1')).to.equal(false);
  readEntry(box, { bornAtMs: STARTED_MS + 2 }, 7);
  expect(box.state.servers.has('engine-1')).to.equal(true);
});

test('a stream of the earlier incarnation continues at the new one, and a request that may not be repeated ends', () => {
  const box = createBoxWithEngine();
  openStream(box, 1);
  openStream(box, 2, '/review/1');
  const effects = readEntry(box, { bornAtMs: STARTED_MS + 1 });
  expect(ofType(effects, 'cancelAttempt')).to.have.length(2);
  const refusal = only(effects, 'refuse');
  expect(refusal.exchangeId).to.equal(2);
  expect(refusal.status).to.equal(502);
  expect(only(effects, 'send').exchangeId).to.equal(1);
});

test('a lost attempt of the earlier incarnation does not change the count of the new one', () => {
  const box = createBoxWithEngine();
  const { attemptId } = openStream(box, 1);
  readEntry(box, { bornAtMs: STARTED_MS + 1 });
  openStream(box, 2);
  box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'reset' });
  // The stream that continued there, and the second one.
  expect(box.state.servers.get('engine-1')?.running).to.equal(2);
});

test('an entry without a start time belongs to the known incarnation', () => {
  const box = createBoxWithEngine();
  const { attemptId } = openStream(box, 1);
  readEntry(box, { bornAtMs: undefined });
  box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'reset' });
  expect(box.state.servers.get('engine-1')?.running).to.equal(0);
});

test('an entry that can not be decoded removes the server and is logged', () => {
  const box = createBoxWithEngine();
  const fault = { field: 'slots', reason: 'invalid', revision: 3 };
  const changes = [{ id: 'engine-1', entry: undefined, fault }];
  const effects = box.take({
    type: 'serversRead',
    whole: false,
    changes,
    revision: 3,
    source: 'store',
  });
  expect(box.state.servers.has('engine-1')).to.equal(false);
  const line = ofType(effects, 'log').find(({ event }) => event === 'serverEntryUnreadable');
  expect(line?.fields).to.deep.equal({ server: 'engine-1', ...fault, revision: '3' });
  readEntry(box, {}, 4);
  expect(box.state.servers.has('engine-1')).to.equal(true);
});

test('a datagram to members of a hub keeps the start time of an incarnation', () => {
  const entry = server('engine-1', { bornAtMs: STARTED_MS });
  const registry = { lastNumber: 1, changes: [{ number: 1, id: 'engine-1', entry }] };
  const sent = decodeDatagram(encodeDatagram(peerMessage({ registry })));
  const changes = sent?.kind === 'news' ? sent.registry?.changes : [];
  expect(changes?.[0]?.entry?.bornAtMs).to.equal(STARTED_MS);
});
