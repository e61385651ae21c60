import { expect } from 'chai';
import {
  createServingBox,
  facts,
  peerMessage,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { createFleet, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { buildGossip } from '../../peers/buildGossip.js';
import { standingOf, standingsOf } from '../standings.js';
import { fleetWork, recordWork } from '../workSums.js';

const SERVICE = 'engines';
const LOAD = { shareCapacity: true };
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Records work of a workspace at a box, of which nothing or all is admitted. */
function request(box: TestBox, workspace: string, work: number, isAdmitted = true): void {
  const record = {
    service: SERVICE,
    workspace,
    facts: facts({ promptTokens: work, maxOutputTokens: 0 }),
  };
  recordWork(box.state, record, { prefillTokens: work, isAdmitted }, box.nowMs);
}

function requestedAt(box: TestBox, workspace: string): number {
  return fleetWork(box.state, SERVICE, box.nowMs).get(workspace)?.requested ?? 0;
}

function standingAt(box: TestBox, workspace: string): string | undefined {
  return standingOf(box.state, { service: SERVICE, workspace }, box.nowMs)?.kind;
}

function createSharingFleet(boxes: number): TestFleet {
  const fleet = createFleet({ boxes, zones: ZONES, load: LOAD });
  fleet.pass(4000);
  return fleet;
}

function boxesOf(fleet: TestFleet): TestBox[] {
  return [...fleet.boxes.values()];
}

/** A flood refused in part at every box, beside the usual requests of another workspace. */
function flood(fleet: TestFleet): void {
  for (const box of boxesOf(fleet)) {
    request(box, 'flood', 10_000, false);
    request(box, 'flood', 4000);
    request(box, 'usual', 1000);
  }
}

for (const boxes of [5, 24]) {
  test(`${boxes} boxes agree on the sums and on who is over its share`, () => {
    const fleet = createSharingFleet(boxes);
    flood(fleet);
    fleet.pass(1000);
    const total = boxes * 14_000 * 0.5 ** (1000 / 3000);
    for (const box of boxesOf(fleet)) {
      expect(requestedAt(box, 'flood')).to.be.closeTo(total, total * 0.1);
      expect(standingAt(box, 'flood')).to.equal('over');
      expect(standingAt(box, 'usual')).to.equal('under');
      expect(standingAt(box, 'unheard-of')).to.equal('under');
    }
  });
}

test('while a hub is replaced, its group is counted twice for a moment at most, and standings stay', () => {
  const fleet = createSharingFleet(24);
  const hub = boxesOf(fleet).find(({ state }) => state.hubId !== undefined)?.state.hubId ?? '';
  expect(hub).to.not.equal('');
  flood(fleet);
  fleet.pass(600);
  fleet.kill(hub);
  for (let passed = 0; passed < 3000; passed += 200) {
    for (const box of boxesOf(fleet)) request(box, 'usual', 100);
    fleet.pass(200);
    const total = 24 * 14_000 * 0.5 ** ((600 + passed + 200) / 3000);
    // The last sums of a hub count for 1,000 ms, and its group has another hub after 700 ms.
    const isReplaced = passed + 200 > 1400;
    const most = total * (isReplaced ? 1.05 : 1.05 + 8 / 24);
    for (const box of boxesOf(fleet)) {
      expect(requestedAt(box, 'flood')).to.be.within(isReplaced ? total * 0.8 : 1, most);
      expect(standingAt(box, 'flood')).to.equal('over');
      expect(standingAt(box, 'usual')).to.equal('under');
    }
  }
});

test('lost datagrams make sums older, not larger', () => {
  const fleet = createSharingFleet(24);
  let sent = 0;
  // Loses three of ten datagrams.
  fleet.network.isLost = () => (sent += 7) % 10 < 3;
  flood(fleet);
  fleet.pass(1500);
  const total = 24 * 14_000 * 0.5 ** (1500 / 3000);
  for (const box of boxesOf(fleet)) {
    expect(requestedAt(box, 'flood')).to.be.within(total * 0.8, total * 1.15);
  }
});

test('a datagram that arrives twice or after a later one changes nothing', () => {
  const box = createServingBox(settings({}, LOAD));
  const message = (sequence: number, requested: number) =>
    peerMessage({
      sequence,
      workloads: [{ service: SERVICE, workspace: 'flood', requested, admitted: 0 }],
    });
  for (const [sequence, requested] of [
    [2, 500],
    [2, 500],
    [1, 9000],
  ] as const) {
    box.take({ type: 'peerMessage', message: message(sequence, requested) });
  }
  expect(requestedAt(box, 'flood')).to.equal(500);
});

test('while a zone is cut off, each side uses the sums of its own boxes, and both agree again afterwards', () => {
  const fleet = createSharingFleet(24);
  const zoneOf = (boxId: string): string | undefined =>
    fleet.boxes.get(boxId)?.state.settings.box.zone;
  fleet.network.isLost = (from, to) => (zoneOf(from) === 'zone-a') !== (zoneOf(to) === 'zone-a');
  fleet.pass(3000);
  // Nearly all requests of the workspace reach the zone that is cut off.
  for (const box of boxesOf(fleet)) {
    const isCut = box.state.settings.box.zone === 'zone-a';
    request(box, 'flood', isCut ? 10_000 : 100, !isCut);
    request(box, 'flood', isCut ? 4000 : 100);
    request(box, 'usual', 1000);
  }
  fleet.pass(1000);
  for (const box of boxesOf(fleet)) {
    const isCut = box.state.settings.box.zone === 'zone-a';
    expect(standingAt(box, 'flood')).to.equal(isCut ? 'over' : 'even');
    expect(standingAt(box, 'usual')).to.equal(isCut ? 'under' : 'even');
  }
  fleet.network.isLost = () => false;
  fleet.pass(3000);
  for (const box of boxesOf(fleet)) expect(standingAt(box, 'flood')).to.equal('over');
});

test('a box that restarts gets the sums from its hub', () => {
  const fleet = createSharingFleet(24);
  flood(fleet);
  fleet.pass(600);
  const member = boxesOf(fleet).find(({ state }) => state.hubId !== undefined);
  const boxId = member?.state.settings.box.id ?? '';
  fleet.restart(boxId);
  fleet.pass(1500);
  const box = fleet.boxes.get(boxId);
  expect(box && standingAt(box, 'flood')).to.equal('over');
});

test('when all boxes restart, shares start out even', () => {
  const fleet = createSharingFleet(6);
  flood(fleet);
  fleet.pass(600);
  for (const boxId of [...fleet.boxes.keys()]) fleet.restart(boxId);
  fleet.pass(1000);
  for (const box of boxesOf(fleet)) expect(standingAt(box, 'flood')).to.equal('even');
});

test('what older boxes send is missing, and the others are judged by what is known', () => {
  const box = createServingBox(settings({}, LOAD));
  box.take({ type: 'peerMessage', message: peerMessage({ boxId: 'box-2' }) });
  request(box, 'flood', 900, false);
  request(box, 'flood', 300);
  request(box, 'usual', 100);
  expect(standingAt(box, 'flood')).to.equal('over');
  expect(standingAt(box, 'usual')).to.equal('under');
});

test('of more than 64 workspaces the heaviest are told, and the others count as under their shares', () => {
  const fleet = createSharingFleet(5);
  const [first, second] = boxesOf(fleet);
  if (first === undefined || second === undefined) throw new Error('no boxes');
  for (let index = 0; index < 100; index += 1) request(first, `small-${index}`, 10 + index);
  request(first, 'flood', 90_000, false);
  request(first, 'flood', 9000);
  const step = { nowMs: first.nowMs, wallClockMs: 0, effects: [], faults: [] };
  const { workloads = [] } = buildGossip(first.state, step).ownMessage();
  expect(workloads).to.have.length(64);
  expect(workloads[0]?.workspace).to.equal('flood');
  fleet.pass(500);
  expect(standingAt(second, 'flood')).to.equal('over');
  expect(standingAt(second, 'small-99')).to.equal('under');
  expect(standingAt(second, 'small-0')).to.equal('under');
});

test('a box without the switches records and sends nothing', () => {
  const box = createServingBox();
  request(box, 'flood', 900, false);
  const step = { nowMs: box.nowMs, wallClockMs: 0, effects: [], faults: [] };
  expect(buildGossip(box.state, step).ownMessage().workloads).to.equal(undefined);
  expect(standingAt(box, 'flood')).to.equal(undefined);
  expect(box.state.workspaceShares.size).to.equal(0);
});

test('a workspace that stops flooding is no longer over its share after some half-lives', () => {
  const box = createServingBox(settings({}, LOAD));
  request(box, 'flood', 10_000, false);
  request(box, 'flood', 5000);
  request(box, 'usual', 1000);
  expect(standingAt(box, 'flood')).to.equal('over');
  for (let passed = 0; passed < 24_000; passed += 500) {
    box.pass(500);
    request(box, 'flood', 500);
    request(box, 'usual', 500);
  }
  expect(standingAt(box, 'flood')).to.equal('even');
  expect(standingsOf(box.state, SERVICE, box.nowMs).standings.size).to.equal(0);
});
