import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  peerMessage,
  server,
  type TestBox,
} from '../../__tests__/__fixtures__/box.js';
import { ServerState } from '../../types/server.js';

function remove(box: TestBox, id: string, revision = 2): void {
  const changes = [{ id, entry: undefined }];
  box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
}

function loseStore(box: TestBox, ms: number): void {
  box.take({ type: 'storeContact', reachable: false });
  box.pass(ms);
  box.take({ type: 'storeContact', reachable: true });
}

test('a server whose entry goes is out at once', () => {
  const box = createServingBox();
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('an entry that lapsed while the store was away keeps its server for a moment', () => {
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

test('a lapsed entry that is not back in time is gone', () => {
  const box = createServingBox();
  loseStore(box, 5000);
  box.pass(500);
  remove(box, 'records-1');
  box.pass(1600);
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('an entry that goes right after a short loss of contact is out at once', () => {
  const box = createServingBox();
  loseStore(box, 300);
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('an entry that goes while peers had the store is out at once', () => {
  const box = createServingBox();
  box.take({ type: 'storeContact', reachable: false });
  box.pass(2000);
  box.take({ type: 'peerMessage', message: peerMessage({ storeContactAgeMs: 100 }) });
  box.pass(3000);
  box.take({ type: 'storeContact', reachable: true });
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a peer that has not noticed the loss of the store yet changes nothing', () => {
  const box = createServingBox();
  box.pass(5000);
  box.take({ type: 'storeContact', reachable: false });
  box.pass(1000);
  box.take({ type: 'peerMessage', message: peerMessage({ storeContactAgeMs: 1500 }) });
  box.pass(3000);
  box.take({ type: 'storeContact', reachable: true });
  remove(box, 'records-1');
  expect(box.state.servers.has('records-1')).to.equal(true);
});

test('a leaving server stays leaving when an older entry says ready', () => {
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

test('an entry with absurd places counts as one place, and is logged', () => {
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

/** The whole registry as the store gives it after it came back from a copy. */
function readBackup(box: TestBox, ids: readonly string[]): void {
  const changes = ids.map((id) => ({ id, entry: server(id) }));
  box.take({ type: 'storeEra', era: 2 });
  box.take({ type: 'serversRead', whole: true, changes, revision: 2 ** 42, source: 'store' });
}

test('a server that a copy of the store lacks stays until its entry is due again', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  readBackup(box, ['records-1']);
  box.pass(1900);
  expect(box.state.servers.has('records-2')).to.equal(true);
  box.pass(200);
  expect(box.state.servers.has('records-2')).to.equal(false);
});

test('an entry that goes after the store came back is out at once', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  readBackup(box, ['records-1', 'records-2']);
  remove(box, 'records-1', 2 ** 42 + 1);
  expect(box.state.servers.has('records-1')).to.equal(false);
});

test('a server that has left gets nothing though a copy of the store shows it', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  remove(box, 'records-1');
  const isThere = (): boolean => box.state.servers.has('records-1');
  readBackup(box, ['records-1', 'records-2']);
  expect(isThere()).to.equal(false);
  box.pass(5900);
  expect(isThere()).to.equal(false);
  // Its entry would have gone by then unless it lives.
  box.pass(200);
  expect(isThere()).to.equal(true);
});

test('a server that writes its entry after the store came back counts at once', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  remove(box, 'records-1');
  readBackup(box, ['records-1', 'records-2']);
  const changes = [{ id: 'records-1', entry: server('records-1') }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2 ** 43, source: 'store' });
  expect(box.state.servers.has('records-1')).to.equal(true);
});

test('a server that leaves goes on leaving though a copy of the store says ready', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  const changes = [{ id: 'records-1', entry: server('records-1', { state: ServerState.leaving }) }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 3, source: 'store' });
  readBackup(box, ['records-1', 'records-2']);
  expect(box.state.servers.get('records-1')?.leaving).to.equal(true);
});
