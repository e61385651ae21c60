import { expect } from 'chai';
import {
  configuration,
  createBox,
  facts,
  listBoxes,
  ofType,
  peerMessage,
  server,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { LimitShareGossip } from '../../../types/limitShare.js';
import type { PeerAddress, PeerMessage } from '../../../types/peer.js';

const OTHER: PeerAddress = {
  boxId: 'box-2',
  host: '127.0.0.2',
  port: 7000,
  zone: 'zone-b',
  processorCores: 1,
};
const TICK_MS = 50;

/** Creates a joining box that the store lists alongside another one, which holds its share. */
function createJoiningBox(): TestBox {
  const box = createBox(settings({ limitOverShare: 0 }));
  box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
  const changes = [{ id: 'records-1', entry: server('records-1') }];
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  list(box, { ownRevision: 5 });
  return box;
}

function list(
  box: TestBox,
  params: { ownRevision: number | undefined; holdsPart?: boolean },
): void {
  const { ownRevision, holdsPart = false } = params;
  const { id: boxId, ip: host, zone, processorCores } = box.state.settings.box;
  const own = { boxId, host, port: 0, zone, processorCores };
  const entries = [{ boxId: OTHER.boxId, address: OTHER, holdsPart: true, revision: 2 }];
  const ownEntry = { boxId, address: own, holdsPart, revision: ownRevision ?? 0 };
  const changes = ownRevision === undefined ? entries : [...entries, ownEntry];
  box.take({ type: 'peersListed', changes, whole: true, revision: ownRevision ?? 2 });
}

/** Passes time while the other box reports its share. */
function passWith(box: TestBox, ms: number, part: Partial<LimitShareGossip> | undefined): void {
  for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
    if (part !== undefined) announceShare(box, part);
    box.pass(TICK_MS);
  }
}

function announceShare(box: TestBox, part: Partial<LimitShareGossip>): void {
  const gossip: LimitShareGossip = { boxes: 1, listRevision: 5, dividedForMs: undefined, ...part };
  const changes: Partial<PeerMessage> = { sequence: Math.round(box.nowMs) + 1, part: gossip };
  box.take({ type: 'peerMessage', message: peerMessage(changes) });
}

function isSent(box: TestBox, exchangeId: number): boolean {
  const request = facts({ requestId: `r${exchangeId}` });
  return (
    ofType(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send').length > 0
  );
}

test('a joining box holds no share before all others have read a list that contains it', () => {
  const box = createJoiningBox();
  passWith(box, 4000, { listRevision: 4 });
  expect(isSent(box, 1)).to.equal(false);
  passWith(box, 100, { listRevision: 5 });
  expect(isSent(box, 2)).to.equal(true);
});

test('a joining box holds no share while a listed box is silent', () => {
  const box = createJoiningBox();
  passWith(box, 20_000, undefined);
  expect(isSent(box, 1)).to.equal(false);
});

test('a joining box sends nothing until others have divided by it for a window', () => {
  const box = createJoiningBox();
  passWith(box, 4000, { dividedForMs: 1000 });
  expect(box.state.part.opening?.kind).to.equal('joined');
  expect(isSent(box, 1)).to.equal(false);
  passWith(box, 6000, { dividedForMs: 5000 });
  expect(isSent(box, 2)).to.equal(false);
  passWith(box, 2500, { dividedForMs: 9000 });
  expect(isSent(box, 3)).to.equal(true);
});

test('a box that holds a share registers it until the list shows it', () => {
  const box = createJoiningBox();
  passWith(box, 3000, {});
  const entered = [box.pass(TICK_MS), box.pass(2500)].flatMap((done) => ofType(done, 'enterBox'));
  expect(entered.length).to.be.within(1, 2);
  expect(entered.every(({ holdsPart, boxId }) => holdsPart && boxId === 'box-1')).to.equal(true);
  list(box, { ownRevision: 6, holdsPart: true });
  expect(ofType(box.pass(3000), 'enterBox')).to.have.length(0);
});

test('a restarted box holds its share once it has the list, even if others are silent', () => {
  const box = createJoiningBox();
  list(box, { ownRevision: 6, holdsPart: true });
  expect(box.state.part.opening?.kind).to.equal('earlierLife');
  box.pass(2000);
  expect(isSent(box, 1)).to.equal(true);
});

test('a box reports since when it has divided by more boxes', () => {
  const box = createJoiningBox();
  list(box, { ownRevision: 6, holdsPart: true });
  box.pass(2000);
  const more = { ...OTHER, boxId: 'box-3', host: '127.0.0.3' };
  const changes = [{ boxId: 'box-3', address: more, holdsPart: false, revision: 7 }];
  box.take({ type: 'peersListed', changes, whole: false, revision: 7 });
  const announced = ofType(box.pass(300), 'sendPeers').flatMap(({ message }) =>
    message.kind === 'news' ? [message.part] : [],
  );
  expect(announced[0]).to.deep.equal({ boxes: 1, listRevision: 7, dividedForMs: 300 });
});

test('a box that is removed from the list drops its share', () => {
  const box = createJoiningBox();
  list(box, { ownRevision: 6, holdsPart: true });
  box.pass(500);
  list(box, { ownRevision: undefined });
  expect(isSent(box, 1)).to.equal(false);
});

test('a box without the store that does not reach all others drops its share after five minutes', () => {
  const box = createJoiningBox();
  listBoxes(box, [OTHER]);
  passWith(box, 1000, {});
  box.pass(290_000);
  expect(box.state.part.opening).not.to.equal(undefined);
  box.pass(10_000);
  expect(box.state.part.opening).to.equal(undefined);
});

test('a box that reaches all others keeps its share without the store', () => {
  const box = createJoiningBox();
  listBoxes(box, [OTHER]);
  box.pass(310_000 - TICK_MS);
  announceShare(box, {});
  box.pass(TICK_MS);
  expect(box.state.part.opening).not.to.equal(undefined);
});

test('the holder of the lease removes a box from the list that is silent for ten minutes', () => {
  const box = createJoiningBox();
  const passAsHolder = (atMs: number) => {
    box.state.lease.held = { fence: 1, sinceMs: 0, grantedAtMs: atMs, unfencedFromMs: atMs };
    box.state.lease.pending = { sentAtMs: atMs, kind: 'write' };
    box.nowMs = atMs;
    return ofType(box.pass(TICK_MS), 'enterBox');
  };
  expect(passAsHolder(590_000)).to.have.length(0);
  const gone = passAsHolder(651_000);
  expect(gone.map(({ boxId, address }) => [boxId, address])).to.deep.equal([['box-2', undefined]]);
});

test('a box that is missing from a restored backup keeps its share, and no other box gets more', () => {
  const box = createJoiningBox();
  box.take({ type: 'storeEra', era: 1 });
  passWith(box, 4000, { listRevision: 5 });
  list(box, { ownRevision: 5, holdsPart: true });
  const before = { divisor: box.state.part.divisor, opening: box.state.part.opening };
  box.take({ type: 'storeEra', era: 2 });
  const emptyList = { type: 'peersListed' as const, changes: [], whole: true, revision: 2 ** 42 };
  box.take(emptyList);
  expect({ divisor: box.state.part.divisor, opening: box.state.part.opening }).to.deep.equal(
    before,
  );
  expect(box.state.part.isRegistered).to.equal(false);
  passWith(box, 6000, { listRevision: 5 });
  box.take(emptyList);
  expect(box.state.part.opening).to.equal(undefined);
});

test('a joining box waits to be listed again after a restore of the store that lacks it', () => {
  const box = createJoiningBox();
  box.take({ type: 'storeEra', era: 1 });
  box.take({ type: 'storeEra', era: 2 });
  list(box, { ownRevision: undefined });
  passWith(box, 4500, { listRevision: 2 ** 42 });
  expect(isSent(box, 1)).to.equal(false);
});
