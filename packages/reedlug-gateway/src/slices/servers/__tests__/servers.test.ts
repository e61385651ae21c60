import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  peerMessage,
  server,
  type TestBox,
  storeContact,
} from '../../../__tests__/__fixtures__/box.js';
import { ServerState } from '../../../types/server.js';

function remove(box: TestBox, id: string, revision = 2): void {
  const changes = [{ id, entry: undefined }];
  box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
}

function loseStore(box: TestBox, ms: number): void {
  box.take(storeContact(false));
  box.pass(ms);
  box.take(storeContact(true));
}

test('a server whose entry is removed is removed at once', () => {
  const box = createServingBox();
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a server whose entry expired during an outage of the store stays for a moment', () => {
  const box = createServingBox();
  loseStore(box, 5000);
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(true);
  box.pass(1000);
  const changes = [{ id: 'records-1', entry: server('records-1') }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 3, source: 'store' });
  box.pass(3000);
  expect(box.state.servers.has('records-1')).to.equal(true);
});

test('a server whose expired entry does not reappear in time is removed', () => {
  const box = createServingBox();
  loseStore(box, 5000);
  box.pass(500);
  remove(box, 'records-1');
  box.pass(1600);
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a server whose entry is removed after a short loss of contact is removed at once', () => {
  const box = createServingBox();
  loseStore(box, 300);
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a server whose entry is removed while peers reached the store is removed at once', () => {
  const box = createServingBox();
  box.take(storeContact(false));
  box.pass(2000);
  box.take({ type: 'peerMessage', message: peerMessage({ storeContactAgeMs: 100 }) });
  box.pass(3000);
  box.take(storeContact(true));
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a peer that has not detected the outage of the store yet changes nothing', () => {
  const box = createServingBox();
  box.pass(5000);
  box.take(storeContact(false));
  box.pass(1000);
  box.take({ type: 'peerMessage', message: peerMessage({ storeContactAgeMs: 1500 }) });
  box.pass(3000);
  box.take(storeContact(true));
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(true);
});

test('a draining server stays draining when an older entry says ready', () => {
  const box = createServingBox();
  const leaving = server('records-1', { state: ServerState.leaving });
  const take = (entry: typeof leaving, revision: number): void => {
    const changes = [{ id: entry.id, entry }];
    box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
  };
  take(leaving, 2);
  take(server('records-1'), 3);
  expect(box.state.servers.get('records-1')?.leaving).to.equal(true);
});

test('an entry with an invalid slot count counts as one slot, and is logged', () => {
  for (const slots of [0, -3, Number.NaN, 1.5, undefined as unknown as number]) {
    const box = createServingBox();
    const changes = [{ id: 'records-9', entry: server('records-9', { slots }) }];
    const effects = box.take({
      type: 'serversRead',
      whole: true,
      changes,
      revision: 2,
      source: 'store',
    });
    expect(box.state.servers.get('records-9')?.entry.slots).to.equal(1);
    const logged = ofType(effects, 'log').map(({ event }) => event);
    expect(logged).to.include('serverEntryOdd');
    const sent = box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
    expect(ofType(sent, 'send')).to.have.length(1);
  }
});

/** Reads the whole registry from a store that was restored from a backup. */
function readBackup(box: TestBox, ids: readonly string[]): void {
  const changes = ids.map((id) => ({ id, entry: server(id) }));
  box.take({ type: 'storeEra', era: 2 });
  box.take({ type: 'serversRead', whole: true, changes, revision: 2 ** 42, source: 'store' });
}

test('a server missing in a backup of the store stays until its entry is due again', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  readBackup(box, ['records-1']);
  box.pass(1900);
  expect(box.state.servers.has('records-2')).to.equal(true);
  box.pass(200);
  expect(box.state.servers.has('records-2')).to.equal(false);
});

test('a server whose entry is removed after the store was restored is removed at once', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  readBackup(box, ['records-1', 'records-2']);
  remove(box, 'records-1', 2 ** 42 + 1);
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a server that is gone gets no requests though a backup of the store contains it', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  remove(box, 'records-1');
  const isThere = (): boolean => box.state.servers.has('records-1');
  readBackup(box, ['records-1', 'records-2']);
  expect(isThere()).to.equal(false);
  box.pass(5900);
  expect(isThere()).to.equal(false);
  // By then its entry would have expired if the server were not live.
  box.pass(200);
  expect(isThere()).to.equal(true);
});

test('a server that writes its entry after the store was restored counts at once', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  remove(box, 'records-1');
  readBackup(box, ['records-1', 'records-2']);
  const changes = [{ id: 'records-1', entry: server('records-1') }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2 ** 43, source: 'store' });
  expect(box.state.servers.has('records-1')).to.equal(true);
});

test('a draining server stays draining though a backup of the store says ready', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  const changes = [{ id: 'records-1', entry: server('records-1', { state: ServerState.leaving }) }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 3, source: 'store' });
  readBackup(box, ['records-1', 'records-2']);
  expect(box.state.servers.get('records-1')?.leaving).to.equal(true);
});
