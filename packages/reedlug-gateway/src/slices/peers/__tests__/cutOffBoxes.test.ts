import { hashId } from 'reedlug-coordination';
import { expect } from 'chai';
import {
  createServingBox,
  listBoxes,
  ofType,
  peerMessage,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { GossipScope, type PeerAddress, type PeerMessage } from '../../../types/peer.js';
import { buildGossip } from '../buildGossip.js';
import { connectingPeers } from '../connectingPeers.js';
import { cutOffGossip } from '../cutOffBoxes.js';

const OTHERS: readonly PeerAddress[] = Array.from({ length: 15 }, (_, index) => ({
  boxId: `box-${index + 2}`,
  host: `127.0.0.${index + 2}`,
  port: 7000,
  zone: 'zone-b',
  processorCores: 1,
}));

function askedIds(box: TestBox): string[] {
  const view = box.state.servers.get('records-2');
  if (view === undefined) throw new Error('no server');
  return connectingPeers(box.state, view, { nowMs: box.nowMs }).map(({ boxId }) => boxId);
}

function boxOfLargeFleet(): TestBox {
  const box = createServingBox();
  listBoxes(box, OTHERS);
  return box;
}

function isDue(box: TestBox): boolean {
  return ofType(box.pass(50), 'sendPeers').some(({ message }) => message.kind === 'news');
}

test('boxes that a hub says are cut off are not asked, until it is silent or says otherwise', () => {
  const box = boxOfLargeFleet();
  const hub = { boxId: 'box-2', scope: GossipScope.others } as const;
  const cutOffBoxes = OTHERS.slice(1).map(({ boxId }) => hashId(boxId));
  box.take({ type: 'peerMessage', message: peerMessage({ ...hub, cutOffBoxes }) });
  expect(askedIds(box)).to.deep.equal(['box-2']);
  box.take({ type: 'peerMessage', message: peerMessage({ ...hub, sequence: 2 }) });
  expect(askedIds(box).length).to.equal(OTHERS.length);
  box.take({ type: 'peerMessage', message: peerMessage({ ...hub, sequence: 3, cutOffBoxes }) });
  box.nowMs += 1100;
  expect(askedIds(box).length).to.equal(OTHERS.length);
});

test('a hub names the members and the boxes of other hubs that are cut off, and is named itself by its own flag', () => {
  const messages: PeerMessage[] = [
    peerMessage({ boxId: 'box-3', isCutOff: true }),
    peerMessage({ boxId: 'box-4' }),
    peerMessage({ boxId: 'box-5', scope: GossipScope.group, cutOffBoxes: [7] }),
  ];
  expect(cutOffGossip(messages)).to.deep.equal({ cutOffBoxes: [hashId('box-3'), 7] });
  const many = Array.from({ length: 300 }, (_, index) => index);
  expect(cutOffGossip([peerMessage({ cutOffBoxes: many })]).cutOffBoxes?.length).to.equal(256);
});

test('while no box is cut off, gossip does not grow', () => {
  expect(cutOffGossip([peerMessage(), peerMessage({ boxId: 'box-3' })])).to.deep.equal({});
  const box = boxOfLargeFleet();
  const step = { nowMs: 0, wallClockMs: 0, effects: [], faults: [] };
  expect(buildGossip(box.state, step).groupMessage()).not.to.have.property('cutOffBoxes');
});

test('a hub passes on at once that a member has lost its links or has them again', () => {
  const box = boxOfLargeFleet();
  box.pass(250);
  expect(box.state.hubId).to.equal(undefined);
  expect(isDue(box)).to.equal(false);
  box.take({ type: 'peerMessage', message: peerMessage({ boxId: 'box-3', isCutOff: true }) });
  expect(isDue(box)).to.equal(true);
  box.take({
    type: 'peerMessage',
    message: peerMessage({ boxId: 'box-3', isCutOff: true, sequence: 2 }),
  });
  expect(isDue(box)).to.equal(false);
  box.take({ type: 'peerMessage', message: peerMessage({ boxId: 'box-3', sequence: 3 }) });
  expect(isDue(box)).to.equal(true);
});
