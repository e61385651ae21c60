import { expect } from 'chai';
import { createTestBox, reportServer, testDraft, type TestBox } from './__fixtures__/testBox.js';
import { chooseServer } from '../policy/routing.js';
import { spareCapacity, updateSharingBoxes } from '../policy/windows.js';
import { createRecord } from '../slices/requestRecords.js';

function receiveHeartbeat(box: TestBox, nowMs: number): void {
  box.send(nowMs, {
    type: 'peerMessage',
    from: 'box-2',
    message: {
      kind: 'heartbeat',
      incarnation: 1,
      zone: 'zone-a',
      revision: 0,
      draining: false,
      demands: [],
      poolLoads: [],
    },
  });
}

function receiveLoadUpdate(box: TestBox, nowMs: number, news: 'hot' | 'cool'): void {
  const update = { serverId: 'engine-1', incarnation: 1, news, leavesInMs: undefined };
  box.send(nowMs, {
    type: 'peerMessage',
    from: 'box-2',
    message: { kind: 'serverNews', news: [update] },
  });
}

function capacity(box: TestBox, nowMs: number): number {
  const view = box.state.servers.get('engine-1');
  return view === undefined ? 0 : spareCapacity(box.state, view, 'patient', nowMs);
}

test('a box uses only its exact share of a hot engine', () => {
  const box = createTestBox();
  receiveHeartbeat(box, 10);
  updateSharingBoxes(box.state);
  expect(capacity(box, 20)).equal(4);
  receiveLoadUpdate(box, 20, 'hot');
  expect(capacity(box, 30)).equal(2);
  receiveLoadUpdate(box, 40, 'cool');
  expect(capacity(box, 50)).equal(4);
});

test('a box uses part of the window of an engine without a fresh report', () => {
  const box = createTestBox();
  expect(capacity(box, 60_000)).equal(4);
  receiveHeartbeat(box, 60_000);
  updateSharingBoxes(box.state);
  expect(capacity(box, 60_000)).equal(2);
});

test('routing considers only engines that a plan allows', () => {
  const box = createTestBox();
  box.state.epochMs = 1000;
  const move = {
    toSite: 'new',
    startsAtEpochMs: 0,
    endsAtEpochMs: 500,
    steps: 1,
    haltedAtShare: undefined,
  };
  box.state.config.items.set('poolMove/draft', {
    value: move,
    revision: 1,
    planId: 'p',
    author: 'o',
  });
  const record = createRecord(testDraft('d1'), 10);
  expect(chooseServer(box.state, record, 10)).equal(undefined);
  const moved = box.state.servers.get('engine-2');
  if (moved === undefined) throw new Error('no engine-2');
  moved.spec = { ...moved.spec, zone: 'zone-b' };
  reportServer(box, 20, 'engine-2');
  expect(chooseServer(box.state, record, 20)?.spec.id).equal('engine-2');
});

test('updates from another site are forwarded to the own site once', () => {
  const box = createTestBox();
  receiveHeartbeat(box, 10);
  const moved = box.state.servers.get('engine-2');
  if (moved === undefined) throw new Error('no engine-2');
  box.send(20, {
    type: 'peerMessage',
    from: 'box-far',
    message: {
      kind: 'heartbeat',
      incarnation: 1,
      zone: 'zone-b',
      revision: 0,
      draining: false,
      demands: undefined,
      poolLoads: [],
    },
  });
  const item = {
    serverId: 'engine-2',
    incarnation: 5,
    news: 'live',
    leavesInMs: undefined,
  } as const;
  const message = { kind: 'serverNews', news: [item] } as const;
  const first = box.send(30, { type: 'peerMessage', from: 'box-far', message });
  expect(first.filter((effect) => effect.type === 'sendPeer')).length(1);
  const second = box.send(40, { type: 'peerMessage', from: 'box-far', message });
  expect(second.filter((effect) => effect.type === 'sendPeer')).deep.equal([]);
});

test('the location of a prefix at a draining engine is dropped', () => {
  const box = createTestBox();
  const reclaimNotice = { type: 'reclaimNoticed', serverId: 'engine-1', incarnation: 1 } as const;
  box.state.prefixLocations.set(7, { serverId: 'engine-1', tokens: 100 });
  box.send(10, { ...reclaimNotice, leavesAtMs: 9000 });
  const record = createRecord(testDraft('d1'), 20);
  expect(chooseServer(box.state, record, 20)?.spec.id).equal('engine-2');
  expect(box.state.prefixLocations.has(7)).equal(false);
});
