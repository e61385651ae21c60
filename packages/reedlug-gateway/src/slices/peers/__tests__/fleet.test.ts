import { expect } from 'chai';
import { createFleet, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { configuration, facts, ofType, only, server } from '../../../__tests__/__fixtures__/box.js';
import { ServerState, type ServerChange } from '../../../types/server.js';
import { countedPeers, fleetSize, followsStore, knownGroups } from '../fleet.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Starts a stream at a box that stays open until the test ends. */
function openStream(fleet: TestFleet, boxId: string, exchangeId: number): string {
  const box = fleet.boxes.get(boxId);
  const request = facts({
    requestId: `${boxId}-${exchangeId}`,
    path: '/draft/1',
    deadlineMs: 8000,
    promptTokens: 100,
    maxOutputTokens: 20,
  });
  const effects = box?.take({ type: 'requestArrived', exchangeId, facts: request }) ?? [];
  return only(effects, 'send').order.serverId;
}

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

test('units that one box admits count against the limit at every box, exactly once', () => {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(3000);
  // One request at each box, so that all boxes track the limit.
  let exchangeId = 0;
  for (const boxId of fleet.boxes.keys()) openStream(fleet, boxId, (exchangeId += 1));
  fleet.pass(20_000);
  openStream(fleet, 'box-0', 1000);
  fleet.pass(1000);
  const total = [...fleet.boxes.values()].map(({ state }) => {
    const { totalsFromBoxes, totalsFromHubs } = state;
    const own = state.quotas.get('tiger')?.admitted ?? 0;
    const fromBoxes = totalsFromBoxes.admitted.get('tiger') ?? 0;
    return own + fromBoxes + (totalsFromHubs.admitted.get('tiger') ?? 0);
  });
  // Streams that no server answers are sent once more, and each send counts.
  const sent = [...fleet.boxes.values()].map(({ state }) => state.quotas.get('tiger')?.admitted);
  const sum = sent.reduce<number>((units, own) => units + (own ?? 0), 0);
  expect(sum).to.be.at.least(61 * 120);
  expect(Math.max(...total)).to.equal(sum);
  expect(Math.min(...total)).to.equal(sum);
});

test('a request larger than the limit shares of many boxes borrows units through their hubs', () => {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(3000);
  const sendRequest = (exchangeId: number, promptTokens: number) => {
    const path = '/draft/1';
    const request = facts({ requestId: `large-${exchangeId}`, path, promptTokens });
    const longRequest = { ...request, deadlineMs: 8000, maxOutputTokens: 0 };
    return fleet.take('box-7', { type: 'requestArrived', exchangeId, facts: longRequest });
  };
  // The burst of one share is 809 of the 97,020 units of the window.
  expect(ofType(sendRequest(1, 20_000), 'send')).to.have.length(1);
  const charged = [...fleet.boxes.values()].map(
    ({ state }) => state.quotas.get('tiger')?.charged.total ?? 0,
  );
  expect(charged.filter((units) => units > 0).length).to.be.greaterThan(20);
  const sum = charged.reduce((units, own) => units + own, 0);
  expect(sum).to.be.within(20_000, 20_100);
  // Half of the window may be sent at once: a second such request fits, a third does not.
  expect(ofType(sendRequest(2, 20_000), 'send')).to.have.length(1);
  expect(ofType(sendRequest(3, 20_000), 'send')).to.have.length(0);
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

test('usage of a large fleet reaches the holder of the lease', () => {
  const fleet = createFleet({ boxes: 40, zones: ZONES });
  const holder = fleet.boxes.get('box-5');
  if (holder === undefined) throw new Error('no holder');
  holder.state.lease.held = { fence: 1, sinceMs: 0, grantedAtMs: 0, unfencedFromMs: 0 };
  holder.state.lease.pending = { sentAtMs: 0, kind: 'write' };
  for (const box of fleet.boxes.values()) {
    box.take({ type: 'storeClock', storeNowMs: 0 });
    box.state.agreedClockOffsetMs = 0;
  }
  fleet.pass(1500);
  const box = fleet.boxes.get('box-20');
  const request = facts({ requestId: 'counted' });
  const arrived = box?.take({ type: 'requestArrived', exchangeId: 1, facts: request }) ?? [];
  const { attemptId } = only(arrived, 'send');
  box?.take({ type: 'attemptAnswered', exchangeId: 1, attemptId, verdict: 'success', status: 200 });
  fleet.pass(900);
  const counts = holder.state.usage.get(0)?.byBox.get('box-20/1');
  expect(counts).to.deep.equal({ tiger: 1 });
});

test('the checkpoint of a large fleet fits a row of the store', () => {
  const fleet = createFleet({ boxes: 330, zones: ZONES });
  const holder = fleet.boxes.get('box-5');
  if (holder === undefined) throw new Error('no holder');
  const workspaces = Array.from({ length: 16 }, (_, index) => `workspace-${index}`);
  const counts = Object.fromEntries(workspaces.map((name) => [name, 123]));
  const [workspace] = holder.state.active?.configuration.workspaces ?? [];
  if (workspace === undefined) throw new Error('no workspace');
  holder.take({
    type: 'configurationRead',
    configuration: {
      ...(holder.state.active as NonNullable<typeof holder.state.active>).configuration,
      version: 2,
      workspaces: workspaces.map((name) => ({ ...workspace, name })),
    },
    source: 'store',
  });
  holder.take({ type: 'storeClock', storeNowMs: 0 });
  holder.state.agreedClockOffsetMs = 0;
  holder.state.lease.held = { fence: 1, sinceMs: 0, grantedAtMs: 0, unfencedFromMs: 0 };
  for (const boxId of fleet.boxes.keys()) {
    const usage = { 0: counts, 1: counts, 2: counts };
    const name = `front-kirikkale-of-the-north-${boxId}`;
    holder.take({
      type: 'peerUsage',
      message: { kind: 'usage', boxId: name, incarnation: 1_764_687_548_000, usage },
    });
  }
  const row = holder
    .pass(600)
    .flatMap((effect) => (effect.type === 'requestTable' ? [effect] : []))
    .find(({ purpose }) => purpose.kind === 'checkpoint');
  expect(row).not.to.equal(undefined);
  expect(JSON.stringify(row?.op).length).to.be.lessThan(65_536);
});

/** Delivers a change of the registry to the boxes that follow the store, and returns how many there are. */
function changeRegistry(fleet: TestFleet, change: ServerChange, revision: number): number {
  let readers = 0;
  for (const box of fleet.boxes.values()) {
    if (!followsStore(box.state, box.nowMs)) continue;
    readers += 1;
    box.take({ type: 'storeContact', reachable: true });
    const changes = [change];
    box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
  }
  return readers;
}

/** Creates a fleet whose hubs have just been in contact with the store. */
function createFollowingFleet(): TestFleet {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(1000);
  for (const box of fleet.boxes.values()) box.take({ type: 'storeContact', reachable: true });
  fleet.pass(1500);
  return fleet;
}

test('only hubs follow the store, and their members learn that a server is draining', () => {
  const fleet = createFollowingFleet();
  const entry = server('engine-2', { service: 'engines', state: ServerState.leaving });
  expect(changeRegistry(fleet, { id: 'engine-2', entry }, 2)).to.equal(ZONES.length);
  fleet.pass(500);
  for (const [boxId, { state }] of fleet.boxes) {
    expect(state.servers.get('engine-2')?.leaving, boxId).to.equal(true);
  }
});

test('a server that a hub removes is removed by its members too', () => {
  const fleet = createFollowingFleet();
  changeRegistry(fleet, { id: 'engine-2', entry: undefined }, 2);
  fleet.pass(500);
  for (const [boxId, { state }] of fleet.boxes) {
    expect(state.servers.has('engine-2'), boxId).to.equal(false);
  }
});

test('a member whose hub has lost contact with the store follows the store itself', () => {
  const fleet = createFollowingFleet();
  fleet.pass(4000);
  const followers = [...fleet.boxes.values()].filter((box) => followsStore(box.state, box.nowMs));
  expect(followers).to.have.length(60);
});

test('a member that missed changes of its hub requests the whole registry', () => {
  const fleet = createFollowingFleet();
  const [boxId, member] = [...fleet.boxes].find(([, { state }]) => state.hubId !== undefined) ?? [];
  const hub = member?.state.peers.get(member.state.hubId ?? '');
  if (member === undefined || hub?.message === undefined) throw new Error('no member');
  const message = {
    ...hub.message,
    sequence: hub.message.sequence + 1,
    registry: { lastNumber: 50, changes: [] },
  };
  const effects = member.take({ type: 'peerMessage', message });
  expect(
    effects.filter(({ type }) => type === 'askPeer'),
    boxId,
  ).to.have.length(1);
});

test('two boxes that lack the same configuration both request it', () => {
  const fleet = createFleet({ boxes: 3, zones: ZONES });
  const newest = fleet.boxes.get('box-0');
  newest?.take({
    type: 'configurationRead',
    configuration: configuration({ version: 9 }),
    source: 'store',
  });
  const requesters = new Set<string>();
  for (let passedMs = 0; passedMs < 1500; passedMs += 50) {
    fleet.pass(50);
    for (const [boxId, effects] of fleet.effects) {
      if (effects.some(({ type }) => type === 'askPeer')) requesters.add(boxId);
    }
    for (const [boxId, effects] of fleet.answered) {
      if (effects.some(({ type }) => type === 'askPeer')) requesters.add(boxId);
    }
  }
  expect([...requesters].sort()).to.deep.equal(['box-1', 'box-2']);
});

/** Returns the units that a box believes the whole fleet to have admitted. */
function admittedAsKnownTo(fleet: TestFleet, boxId: string): number {
  const state = fleet.boxes.get(boxId)?.state;
  if (state === undefined) throw new Error(`no ${boxId}`);
  const fromBoxes = state.totalsFromBoxes.admitted.get('tiger') ?? 0;
  const fromHubs = state.totalsFromHubs.admitted.get('tiger') ?? 0;
  return (state.quotas.get('tiger')?.admitted ?? 0) + fromBoxes + fromHubs;
}

test('restarts of one box after another count no units twice against a limit', () => {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(3000);
  const ids = [...fleet.boxes.keys()];
  let exchangeId = 0;
  let admitted = 0;
  const admitOne = (): void => {
    exchangeId += 1;
    const boxId = ids[(exchangeId * 7) % ids.length] ?? '';
    const box = fleet.boxes.get(boxId);
    const before = box?.state.quotas.get('tiger')?.admitted ?? 0;
    const request = facts({ requestId: `turn-${exchangeId}` });
    box?.take({ type: 'requestArrived', exchangeId, facts: request });
    admitted += (box?.state.quotas.get('tiger')?.admitted ?? 0) - before;
  };
  const watcher = 'box-59';
  for (let round = 0; round < 40; round += 1) admitOne();
  fleet.pass(1500);
  const seenBefore = admittedAsKnownTo(fleet, watcher);
  const admittedBefore = admitted;
  for (let turn = 0; turn < 30; turn += 1) {
    fleet.restart(ids[turn] ?? '');
    for (let step = 0; step < 20; step += 1) {
      admitOne();
      fleet.pass(50);
    }
  }
  fleet.pass(2000);
  const seen = admittedAsKnownTo(fleet, watcher) - seenBefore;
  expect(seen / (admitted - admittedBefore)).to.be.within(0.85, 1.1);
});

test('after the loss of a hub no box is counted twice', () => {
  const fleet = createFleet({ boxes: 90, zones: ZONES });
  fleet.pass(3000);
  const hubId = fleet.boxes.get('box-0')?.state.hubId ?? 'box-0';
  fleet.kill(hubId);
  const ids = [...fleet.boxes.keys()];
  const watcher = ids.find((id) => fleet.boxes.get(id)?.state.settings.box.zone === 'zone-b') ?? '';
  const seenBefore = admittedAsKnownTo(fleet, watcher);
  let admitted = 0;
  for (let step = 0; step < 60; step += 1) {
    const box = fleet.boxes.get(ids[(step * 11) % ids.length] ?? '');
    const before = box?.state.quotas.get('tiger')?.admitted ?? 0;
    box?.take({
      type: 'requestArrived',
      exchangeId: step,
      facts: facts({ requestId: `l${step}` }),
    });
    admitted += (box?.state.quotas.get('tiger')?.admitted ?? 0) - before;
    fleet.pass(50);
    for (const { state } of fleet.boxes.values()) {
      expect(fleetSize(state)).to.be.at.most(90);
    }
  }
  fleet.pass(1500);
  const seen = admittedAsKnownTo(fleet, watcher) - seenBefore;
  expect(seen / admitted).to.be.within(0.5, 1.02);
});

test('a hub that resumes after a pause does not repeat totals that were sent without it', () => {
  const fleet = createFleet({ boxes: 60, zones: ZONES });
  fleet.pass(3000);
  const member = [...fleet.boxes.values()].find(({ state }) => state.hubId !== undefined);
  const hubId = member?.state.hubId ?? '';
  const watcher = 'box-59';
  const seenBefore = admittedAsKnownTo(fleet, watcher);
  let admitted = 0;
  const ids = [...fleet.boxes.keys()].filter((id) => id !== hubId);
  const serve = (steps: number, from: number): void => {
    for (let step = 0; step < steps; step += 1) {
      const box = fleet.boxes.get(ids[(step * 7) % ids.length] ?? '');
      const before = box?.state.quotas.get('tiger')?.admitted ?? 0;
      const exchangeId = from + step;
      const request = facts({ requestId: `p${exchangeId}` });
      box?.take({ type: 'requestArrived', exchangeId, facts: request });
      admitted += (box?.state.quotas.get('tiger')?.admitted ?? 0) - before;
      fleet.pass(50);
    }
  };
  const paused = fleet.boxes.get(hubId);
  fleet.kill(hubId);
  serve(80, 0);
  if (paused === undefined) throw new Error('no hub');
  paused.nowMs = fleet.boxes.get(watcher)?.nowMs ?? 0;
  fleet.boxes.set(hubId, paused);
  serve(60, 1000);
  fleet.pass(1500);
  const seen = admittedAsKnownTo(fleet, watcher) - seenBefore;
  expect(seen / admitted).to.be.within(0.6, 1.02);
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
