/** Tests that units of limits are counted exactly once over the boxes of a large fleet. */
import { expect } from 'chai';
import { createFleet, openStream, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { facts, ofType } from '../../../__tests__/__fixtures__/box.js';
import { fleetSize } from '../fleet.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Returns the units that a box believes the whole fleet to have admitted. */
function admittedAsKnownTo(fleet: TestFleet, boxId: string): number {
  const state = fleet.boxes.get(boxId)?.state;
  if (state === undefined) throw new Error(`no ${boxId}`);
  const fromBoxes = state.totalsFromBoxes.admitted.get('tiger') ?? 0;
  const fromHubs = state.totalsFromHubs.admitted.get('tiger') ?? 0;
  return (state.quotas.get('tiger')?.admitted ?? 0) + fromBoxes + fromHubs;
}

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
