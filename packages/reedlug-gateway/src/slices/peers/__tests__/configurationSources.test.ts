import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  ofType,
  only,
  peerMessage,
  settings,
} from '../../../__tests__/__fixtures__/box.js';
import { createFleet, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import type { Effect } from '../../../types/effect.js';
import { followsStore, knownGroups } from '../fleet.js';
import {
  configurationHolders,
  isConfigurationOverdue,
  isKnownBox,
} from '../configurationSources.js';

const BOUND_MS = 3000;

/** Returns a fleet with hubs, one of its members, and that member's hub, which announces a newer version than it sends. */
function fleetWithNewerHub() {
  const fleet = createFleet({ boxes: 60, zones: ['zone-a', 'zone-b'] });
  fleet.pass(3000);
  const found = [...fleet.boxes].find(([, { state }]) => state.hubId !== undefined);
  const hub = found?.[1].state.peers.get(found[1].state.hubId ?? '');
  if (found === undefined || hub?.message === undefined) throw new Error('no member');
  const [boxId, member] = found;
  const message = { ...hub.message, sequence: hub.message.sequence + 1, configurationVersion: 9 };
  const effects = member.take({ type: 'peerMessage', message });
  return { fleet, boxId, member, hub, effects };
}

function fail(fleet: TestFleet, boxId: string, peer: { host: string; port: number }): Effect[] {
  const box = fleet.boxes.get(boxId);
  const event = { type: 'configurationTransferFailed', peer, version: 9, reason: 'busy' } as const;
  return box?.take(event) ?? [];
}

test('a newer version is requested from the hub that announces it', () => {
  const { hub, effects } = fleetWithNewerHub();
  const asked = only(effects, 'askPeer');
  expect(asked).to.deep.include({ peer: hub.address, configurationVersion: 9 });
});

test('a member whose hub does not send a version asks another box of its group and reads the store', () => {
  const { fleet, boxId, member, hub } = fleetWithNewerHub();
  expect(isConfigurationOverdue(member.state, member.nowMs)).to.equal(false);
  const followedStore = followsStore(member.state, member.nowMs);
  const { peer } = only(fail(fleet, boxId, hub.address), 'askPeer');
  const own = knownGroups(member.state).own.map(({ host }) => host);
  expect(own).to.include(peer.host);
  expect([hub.address.host, member.state.settings.box.ip]).not.to.include(peer.host);
  expect(isConfigurationOverdue(member.state, member.nowMs)).to.equal(true);
  // Where the registry comes from does not change.
  expect(followsStore(member.state, member.nowMs)).to.equal(followedStore);
});

test('a failure at a box that has announced nothing newer is not followed by a further request', () => {
  const { fleet, boxId, hub } = fleetWithNewerHub();
  const { peer } = only(fail(fleet, boxId, hub.address), 'askPeer');
  expect(ofType(fail(fleet, boxId, peer), 'askPeer')).to.deep.equal([]);
});

test('two boxes that announce a version and do not send it are not asked in turn without a pause', () => {
  const fleet = createFleet({ boxes: 4, zones: ['zone-a'] });
  fleet.pass(3000);
  const [entry] = [...fleet.boxes];
  if (entry === undefined) throw new Error('no box');
  const [boxId, box] = entry;
  const [first, second] = [...box.state.peers.values()];
  if (first?.message === undefined || second?.message === undefined) throw new Error('no peers');
  for (const { message } of [first, second]) {
    if (message === undefined) continue;
    const newer = { ...message, sequence: message.sequence + 1, configurationVersion: 9 };
    box.take({ type: 'peerMessage', message: newer });
  }
  const asked = only(fail(fleet, boxId, first.address), 'askPeer');
  expect(asked.peer).to.deep.equal(second.address);
  expect(ofType(fail(fleet, boxId, second.address), 'askPeer')).to.deep.equal([]);
});

test('members ask different boxes of their group', () => {
  const { fleet, member, hub } = fleetWithNewerHub();
  const asked = new Set<string>();
  for (const [boxId, { state, take }] of fleet.boxes) {
    if (state.hubId !== member.state.hubId) continue;
    const message = state.peers.get(hub.boxId)?.message;
    if (message === undefined) continue;
    const sequence = message.sequence + 1;
    take({ type: 'peerMessage', message: { ...message, sequence, configurationVersion: 9 } });
    for (const { peer } of ofType(fail(fleet, boxId, hub.address), 'askPeer')) asked.add(peer.host);
  }
  expect(asked.size).to.be.above(5);
});

test('the store is read once a version is late, and no longer when it is in force', () => {
  const box = createServingBox(settings({ configurationMs: BOUND_MS }));
  let sequence = 0;
  const announce = (): void => {
    sequence += 1;
    box.take({ type: 'peerMessage', message: peerMessage({ sequence, configurationVersion: 2 }) });
  };
  announce();
  for (let passedMs = 0; passedMs < BOUND_MS / 2; passedMs += 100) {
    box.pass(100);
    announce();
  }
  expect(isConfigurationOverdue(box.state, box.nowMs)).to.equal(false);
  box.pass(BOUND_MS / 2 - 500);
  announce();
  expect(isConfigurationOverdue(box.state, box.nowMs)).to.equal(true);
  box.take({
    type: 'configurationRead',
    configuration: configuration({ version: 2 }),
    source: 'store',
  });
  expect(isConfigurationOverdue(box.state, box.nowMs)).to.equal(false);
});

test('a box that announced a version and fell silent does not keep others reading the store', () => {
  const { fleet, boxId, member, hub } = fleetWithNewerHub();
  fail(fleet, boxId, hub.address);
  member.nowMs += 1500;
  expect(isConfigurationOverdue(member.state, member.nowMs)).to.equal(false);
});

test('a hub refers to its members that have its version', () => {
  const { fleet, member } = fleetWithNewerHub();
  const hubBox = fleet.boxes.get(member.state.hubId ?? '');
  if (hubBox === undefined) throw new Error('no hub');
  const before = configurationHolders(hubBox.state, hubBox.nowMs);
  expect(before.length).to.be.above(10);
  expect(
    before.every(
      (address) =>
        isKnownBox(member.state, address) || address.host === member.state.settings.box.ip,
    ),
  ).to.equal(true);
  hubBox.take({
    type: 'configurationRead',
    configuration: configuration({ version: 9 }),
    source: 'store',
  });
  expect(configurationHolders(hubBox.state, hubBox.nowMs)).to.deep.equal([]);
  expect(isKnownBox(member.state, { host: '192.0.2.1', port: 7000 })).to.equal(false);
});
