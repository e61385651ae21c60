import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  listBoxes,
  ofType,
  only,
  peerMessage,
  server,
  settings,
  createBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../types/effect.js';
import type { PeerMessage } from '../../../types/peer.js';
import type { PeerView } from '../../../types/views.js';
import { nextRegistryUpdate } from '../registryGossip.js';
import { eventsOfSharedState, sharedStateOf } from '../sharedState.js';

test('a box that stays behind a peer requests the configuration from it', () => {
  const box = createServingBox();
  const newer = { configurationVersion: 5 };
  box.take({ type: 'peerMessage', message: peerMessage({ ...newer, sequence: 1 }) });
  expect(ofType(box.pass(50), 'askPeer')).to.have.length(0);
  expect(ofType(box.pass(350), 'askPeer')).to.have.length(1);
});

test('a configuration whose announcer missed the answer of the store is requested at once', () => {
  const box = createServingBox();
  const newer = { configurationVersion: 5, isConfigurationLate: true };
  const effects = box.take({ type: 'peerMessage', message: peerMessage(newer) });
  expect(ofType(effects, 'askPeer')).to.have.length(1);
});

for (const isLate of [true, false]) {
  test(`gossip says for a second whether the answer with a configuration was missed before: ${isLate}`, () => {
    const box = createServingBox();
    box.take({ type: 'peerMessage', message: peerMessage() });
    const active = configuration({ version: 5 });
    box.take({ type: 'configurationRead', configuration: active, source: 'store', isLate });
    const said = (effects: readonly Effect[]) =>
      ofType(effects, 'sendPeers').flatMap(({ message }) =>
        message.kind === 'news' ? [message.isConfigurationLate] : [],
      );
    expect(said(box.pass(200))).to.deep.equal([isLate ? true : undefined]);
    expect(said(box.pass(1000))).to.deep.equal([undefined]);
  });
}

test('an older configuration never comes into force', () => {
  const box = createServingBox();
  const take = (version: number, source: 'store' | 'peer'): void => {
    box.take({
      type: 'configurationRead',
      configuration: configuration({ version }),
      source,
    });
  };
  take(7, 'store');
  take(6, 'peer');
  expect(box.state.active?.configuration.version).to.equal(7);
});

/** Creates a box that shares limits with box-2, and functions to send it requests and to lend it units. */
function createSharingBox(spareUnits: number) {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  const { host, port, zone } = peerMessage();
  listBoxes(box, [{ boxId: 'box-2', host, port, zone, processorCores: 1 }]);
  box.take({
    type: 'peerMessage',
    message: peerMessage({ sequence: 1, room: { tiger: spareUnits } }),
  });
  const ask = (exchangeId: number, promptTokens: number) => {
    const request = facts({ requestId: `r${exchangeId}`, promptTokens, maxOutputTokens: 0 });
    return box.take({ type: 'requestArrived', exchangeId, facts: request });
  };
  const asked = (effects: readonly Effect[]) =>
    ofType(effects, 'sendPeers').flatMap(({ message }) =>
      message.kind === 'unitsAsked' ? [message] : [],
    );
  const lend = (askId: number, units: number) => {
    const lender = { boxId: 'box-2', host: '127.0.0.2', port: 7000 };
    const message = { kind: 'unitsLent' as const, ...lender, incarnation: 1, askId, units };
    return box.take({ type: 'unitsLent', message });
  };
  return { box, ask, asked, lend };
}

test('a box uses only its share of a limit, also when it receives nothing from others', () => {
  const { ask } = createSharingBox(0);
  // Half of the window's 88,200 units may be sent at once; divided between two boxes, 22,050 each.
  expect(ofType(ask(1, 20_000), 'send')).to.have.length(1);
  const refusal = ofType(ask(2, 3000), 'refuse')[0];
  expect(refusal?.status).to.equal(429);
  expect(refusal?.retryAfterMs).to.be.greaterThan(0);
});

test('a request beyond the share waits for units that a peer lends', () => {
  const { ask, asked, lend } = createSharingBox(20_000);
  const [unitRequest] = asked(ask(1, 30_000));
  expect(unitRequest?.units).to.be.closeTo(30_000 - 22_050, 1);
  const effects = lend(unitRequest?.askId ?? 0, unitRequest?.units ?? 0);
  expect(ofType(effects, 'send')).to.have.length(1);
});

test('a request that no peer has units for is refused at once', () => {
  const { ask, asked } = createSharingBox(5000);
  const effects = ask(1, 30_000);
  expect(asked(effects)).to.have.length(0);
  expect(only(effects, 'refuse').status).to.equal(429);
});

test('the wait for lent units ends after a time, and units that arrive later are discarded', () => {
  const { box, ask, asked, lend } = createSharingBox(20_000);
  const [unitRequest] = asked(ask(1, 30_000));
  const effects = [box.pass(50), box.pass(50), box.pass(50)].flat();
  expect(only(effects, 'refuse').status).to.equal(429);
  box.pass(500);
  lend(unitRequest?.askId ?? 0, unitRequest?.units ?? 0);
  expect(box.state.quotas.get('tiger')?.loans).to.deep.equal([]);
});

test('lent units that are not used are returned, and credited to the lender once', () => {
  const { box, ask, asked, lend } = createSharingBox(20_000);
  const [unitRequest] = asked(ask(1, 30_000));
  lend(unitRequest?.askId ?? 0, 4000);
  const effects = [box.pass(50), box.pass(50), box.pass(50)].flat();
  const returned = ofType(effects, 'sendPeers').flatMap(({ message }) =>
    message.kind === 'unitsReturned' ? [message] : [],
  );
  expect(returned.map(({ units }) => units)).to.deep.equal([4000]);
  const lender = createSharingBox(0);
  const [message] = returned;
  if (message === undefined || unitRequest === undefined) throw new Error('nothing came back');
  lender.box.take({ type: 'unitsAsked', message: { ...unitRequest, boxId: 'box-2', units: 4000 } });
  const charged = () => lender.box.state.quotas.get('tiger')?.charged.total;
  expect(charged()).to.equal(4000);
  for (let times = 0; times < 2; times += 1) {
    lender.box.take({ type: 'unitsReturned', message: { ...message, boxId: 'box-2' } });
    expect(charged()).to.equal(0);
  }
});

test('lent units are charged to the lender, whether they are used or not', () => {
  const { box, ask, asked } = createSharingBox(0);
  const lent = box.take({
    type: 'unitsAsked',
    message: {
      kind: 'unitsAsked',
      boxId: 'box-2',
      incarnation: 1,
      host: '127.0.0.2',
      port: 7000,
      askId: 1,
      workspace: 'tiger',
      units: 30_000,
      hops: 0,
    },
  });
  const { message } = only(lent, 'sendPeers');
  expect(message.kind === 'unitsLent' && message.units).to.be.closeTo(22_050, 1);
  const effects = ask(1, 1000);
  expect(asked(effects)).to.have.length(0);
  expect(only(effects, 'refuse').status).to.equal(429);
});

test('messages that overtake each other do not count twice', () => {
  const box = createServingBox();
  const take = (sequence: number, admitted: number): void => {
    const message = peerMessage({ sequence, admitted: { tiger: admitted } });
    box.take({ type: 'peerMessage', message });
  };
  take(1, 0);
  take(3, 2000);
  take(2, 1000);
  expect(box.state.peers.get('box-2')?.message?.sequence).to.equal(3);
});

test('a box without configuration refuses a request as not run after a short wait', () => {
  const box = createBox(settings());
  box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
  const effects = Array.from({ length: 6 }, () => box.pass(50)).flat();
  const refusal = only(effects, 'refuse');
  expect(refusal.status).to.equal(503);
  expect(refusal.retryAfterMs).to.equal(500);
});

test('a request that arrives before configuration and servers are known is sent once they are', () => {
  const box = createBox(settings());
  listBoxes(box);
  box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
  box.pass(100);
  const configurationIsThere = box.take({
    type: 'configurationRead',
    configuration: configuration(),
    source: 'store',
  });
  expect(ofType(configurationIsThere, 'send')).to.have.length(0);
  const changes = [{ id: 'records-1', entry: server('records-1') }];
  const serversAreThere = box.take({
    type: 'serversRead',
    whole: true,
    changes,
    revision: 1,
    source: 'store',
  });
  // The time that it waited counts against its deadline.
  expect(only(serversAreThere, 'send').order.deadlineMs).to.equal(500);
});

test('the request of a caller that leaves before the box has started is dropped', () => {
  const box = createBox(settings());
  box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
  box.take({ type: 'callerGone', exchangeId: 1 });
  expect(ofType(box.pass(400), 'refuse')).to.have.length(0);
});

test('a box that lacks only the configuration does not request the registry', () => {
  const box = createServingBox();
  const ask = (message: Partial<PeerMessage>): Effect[] => {
    sequence += 1;
    return box.take({ type: 'peerMessage', message: peerMessage({ sequence, ...message }) });
  };
  let sequence = 0;
  ask({ configurationVersion: 2, serversRevision: 1 });
  const asked = only(box.pass(400), 'askPeer');
  expect(asked.withServers).to.equal(false);
  ask({ configurationVersion: 2, serversRevision: 5 });
  const both = only(box.pass(500), 'askPeer');
  expect(both.withServers).to.equal(true);
  // A registry of 3,000 servers is 481 KB for each of 32 members of a hub; without it, some 20 KB are sent.
  const shared = sharedStateOf(box.state, asked.withServers);
  expect(eventsOfSharedState(shared).map(({ type }) => type)).to.deep.equal(['configurationRead']);
});

test('a box whose registry is as recent as that of its hub does not request it', () => {
  const hub = { registryNumber: undefined } as PeerView;
  const message = { incarnation: 1, registry: { lastNumber: 7, changes: [] } };
  const behind = { isUpToDate: false, readsStore: false };
  expect(nextRegistryUpdate({ ...hub }, message, behind).kind).to.equal('askWhole');
  const reading = { isUpToDate: false, readsStore: true };
  expect(nextRegistryUpdate({ ...hub }, message, reading).kind).to.equal('readStore');
  const known = { ...hub };
  const upToDate = { isUpToDate: true, readsStore: false };
  expect(nextRegistryUpdate(known, message, upToDate)).to.deep.equal({
    kind: 'apply',
    changes: [],
  });
  expect(known.registryNumber).to.equal(7);
  const restarted = { incarnation: 2, registry: { lastNumber: 8, changes: [] } };
  expect(nextRegistryUpdate(known, restarted, upToDate).kind).to.equal('askWhole');
});

test('messages of a peer that restarts after its wall clock was set back are accepted', () => {
  const box = createServingBox();
  box.take({ type: 'peerMessage', message: peerMessage({ incarnation: 5000, sequence: 9 }) });
  const receive = (): number | undefined => {
    box.take({ type: 'peerMessage', message: peerMessage({ incarnation: 2000, sequence: 1 }) });
    return box.state.peers.get('box-2')?.message?.incarnation;
  };
  // A datagram of an earlier incarnation that arrives late does not start a new one.
  expect(receive()).to.equal(5000);
  box.pass(1100);
  expect(receive()).to.equal(2000);
});
