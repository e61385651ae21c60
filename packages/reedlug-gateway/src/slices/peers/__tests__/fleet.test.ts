import { expect } from 'chai';
import { createFleet, openStream, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { facts, ofType, only } from '../../../__tests__/__fixtures__/box.js';
import { countedPeers, knownGroups } from '../fleet.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Returns how many streams a box believes others to have open at all servers. */
function runningElsewhere(fleet: TestFleet, boxId: string): number {
  const box = fleet.boxes.get(boxId);
  if (box === undefined) throw new Error(`no ${boxId}`);
  let running = 0;
  for (const { message } of countedPeers(box.state, box.nowMs)) {
    for (const load of Object.values(message.loads)) running += load.running;
  }
  return running;
}

test('each box of a large fleet counts the load of all others exactly once', () => {
  const fleet = createFleet({ boxes: 90, zones: ZONES });
  fleet.pass(3000);
  for (const boxId of ['box-0', 'box-1', 'box-44', 'box-89']) openStream(fleet, boxId, 1);
  fleet.pass(1000);
  for (const boxId of fleet.boxes.keys()) {
    const own = ['box-0', 'box-1', 'box-44', 'box-89'].includes(boxId) ? 1 : 0;
    expect(runningElsewhere(fleet, boxId), boxId).to.equal(4 - own);
  }
});

test('a box of a large fleet receives few datagrams, a hub a few hundred a second', () => {
  const fleet = createFleet({ boxes: 300, zones: ZONES });
  fleet.pass(3000);
  fleet.received.clear();
  fleet.pass(2000);
  const perSecond = [...fleet.received.values()].map((count) => count / 2).sort((a, b) => a - b);
  expect(perSecond[150]).to.be.lessThan(8);
  expect(perSecond.at(-1)).to.be.lessThan(260);
});

test('boxes of a large fleet know which zones are silent', () => {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(5000);
  const silentZones = (): string[][] =>
    [...fleet.boxes.values()].map(({ state }) => [...state.silentZones]);
  expect(silentZones().every((zones) => zones.length === 0)).to.equal(true);
  for (const [boxId, { state }] of fleet.boxes) {
    if (state.settings.box.zone === 'zone-b') fleet.kill(boxId);
  }
  fleet.pass(2000);
  expect(silentZones()).to.deep.equal(Array(40).fill(['zone-b']));
});

test('boxes of a small fleet know which zones are silent', () => {
  const fleet = createFleet({ boxes: 6, zones: ZONES });
  fleet.pass(5000);
  fleet.kill('box-1');
  fleet.pass(2000);
  expect([...(fleet.boxes.get('box-0')?.state.silentZones ?? [])]).to.deep.equal([]);
  fleet.kill('box-4');
  fleet.pass(2000);
  expect([...(fleet.boxes.get('box-0')?.state.silentZones ?? [])]).to.deep.equal(['zone-b']);
});

test('a fleet of few boxes has no hubs', () => {
  const fleet = createFleet({ boxes: 8, zones: ZONES });
  fleet.pass(3000);
  openStream(fleet, 'box-3', 1);
  fleet.pass(400);
  expect(runningElsewhere(fleet, 'box-0')).to.equal(1);
  expect([...fleet.boxes.values()].every(({ state }) => state.hubId === undefined)).to.equal(true);
});

test('after the loss of a hub the gossip of its members arrives again within two seconds', () => {
  const fleet = createFleet({ boxes: 90, zones: ZONES });
  fleet.pass(3000);
  const hubId = fleet.boxes.get('box-0')?.state.hubId ?? 'box-0';
  fleet.kill(hubId);
  fleet.pass(2000);
  const member = [...fleet.boxes].find(([, { state }]) => state.settings.box.zone === 'zone-a');
  openStream(fleet, member?.[0] ?? '', 1);
  fleet.pass(1000);
  for (const boxId of fleet.boxes.keys()) {
    const expected = boxId === member?.[0] ? 0 : 1;
    expect(runningElsewhere(fleet, boxId), boxId).to.equal(expected);
  }
});

test('a hub removes silent boxes of its own group from the list, and no others', () => {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(3000);
  const hub = [...fleet.boxes.values()].find(({ state }) => state.hubId === undefined);
  if (hub === undefined) throw new Error('no hub');
  const { own } = knownGroups(hub.state);
  const silent = own.at(-1)?.boxId ?? '';
  fleet.kill(silent);
  // Boxes of other groups never send to this one.
  const silentPeers = [...hub.state.peers.values()].filter(
    ({ boxId }) => boxId === silent || !own.some((member) => member.boxId === boxId),
  );
  for (const peer of silentPeers) peer.lastReceivedAtMs = hub.nowMs - 600_000;
  hub.state.part.goneBoxesCheckedAtMs = hub.nowMs - 60_000;
  const effects = hub.pass(50);
  expect(ofType(effects, 'enterBox').map(({ boxId }) => boxId)).to.deep.equal([silent]);
});

test('in a fleet with hubs, gossip about a crash reaches each box within a quarter of a second', () => {
  const fleet = createFleet({ boxes: 69, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  const request = facts({ digest: 'bad', path: '/draft/1', deadlineMs: 8000, promptTokens: 900 });
  const arrived = fleet.take('box-7', { type: 'requestArrived', exchangeId: 1, facts: request });
  const { attemptId } = only(arrived, 'send');
  const ids = { exchangeId: 1, attemptId };
  const lost = fleet.take('box-7', { type: 'attemptLost', ...ids, reason: 'reset' });
  const { life } = only(lost, 'probeServer');
  fleet.take('box-7', { type: 'serverProbed', life, outcome: 'refused' });
  const before = [...fleet.received.values()].reduce((sum, count) => sum + count, 0);
  fleet.pass(250);
  const knowing = [...fleet.boxes.values()].filter(({ state }) => state.crashSuspects.size > 0);
  expect(knowing).to.have.lengthOf(69);
  // Regular gossip counts too: each box sends to its hub and receives from it five times a second.
  const received = [...fleet.received.values()].reduce((sum, count) => sum + count, 0) - before;
  expect(received).to.be.below(69 * 12);
});
