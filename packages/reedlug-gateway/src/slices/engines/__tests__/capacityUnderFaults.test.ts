/**
 * Orders of engines over time, against a simulated platform in virtual time: engines become
 * ready after their boot time, zones are reclaimed, and orders for reclaimable engines are
 * refused for a while after that.
 */
import { expect } from 'chai';
import {
  configuration,
  createBox,
  ofType,
  server,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { passAsHolder, takeLease } from '../../../__tests__/__fixtures__/lease.js';
import { ServerState, type ServerEntry } from '../../../types/server.js';

const TICK_MS = 50;
const BOOT_MS = 4000;
const NOTICE_MS = 2000;
const HEARTBEAT_MS = 1200;
const SLOTS = 24;
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
/** Prompt tokens per second for each open request, at which prefill and slots need about equally many engines. */
const TOKENS_PER_OPEN_REQUEST = 1500;

interface Scene {
  box: TestBox;
  /** Requests in progress over all boxes. */
  open: number;
  /** Accepted orders, by zone and kind. */
  wanted: Map<string, number>;
  starting: { dueMs: number; entry: ServerEntry }[];
  /** Released engines, which announce after a heartbeat that they drain. */
  released: { announcedAtMs: number; entry: ServerEntry }[];
  /** Time from an engine's start until its entry is read. */
  entryDelayMs: number;
  /** Time until which no zone has reclaimable engines. */
  outOfCapacityUntilMs: number;
  orders: number;
  nextId: number;
}

function keyOf(zone: string, reclaimable: boolean): string {
  return `${zone} ${reclaimable}`;
}

/** Creates a lease holder whose service started with on-demand engines and has `open` requests in progress. */
function startScene(open: number): Scene {
  const box = createBox();
  const [records, engines] = configuration().services;
  if (records === undefined || engines?.scaling === undefined) throw new Error('no services');
  const zonePrices = ZONES.map((zone) => ({ zone, price: 1 }));
  const scaling = { ...engines.scaling, maxPerZone: 10, bootMs: BOOT_MS, zonePrices };
  const services = [records, { ...engines, scaling }];
  box.take({
    type: 'configurationRead',
    configuration: { ...configuration(), services },
    source: 'store',
  });
  const scene: Scene = {
    box,
    open: 0,
    wanted: new Map(),
    starting: [],
    released: [],
    entryDelayMs: 0,
    outOfCapacityUntilMs: 0,
    orders: 0,
    nextId: 0,
  };
  const entries = ZONES.flatMap((zone) =>
    Array.from({ length: 4 }, () => createEngine(scene, zone, false)),
  );
  sendRegistryChanges(scene, entries);
  takeLease(box);
  scene.open = open;
  return scene;
}

function createEngine(scene: Scene, zone: string, reclaimable: boolean): ServerEntry {
  scene.nextId += 1;
  return server(`engine-${scene.nextId}`, { service: 'engines', zone, reclaimable, slots: SLOTS });
}

function sendRegistryChanges(
  scene: Scene,
  entries: readonly ServerEntry[],
  gone: readonly string[] = [],
): void {
  const changes = [
    ...entries.map((entry) => ({ id: entry.id, entry })),
    ...gone.map((id) => ({ id, entry: undefined })),
  ];
  if (changes.length === 0) return;
  scene.box.take({ type: 'serversRead', whole: false, changes, revision: 1, source: 'store' });
}

function readyEngines(scene: Scene): ServerEntry[] {
  return [...scene.box.state.servers.values()]
    .filter(({ leaving }) => !leaving)
    .map(({ entry }) => entry);
}

/** Runs one tick: load, plans, and what the platform does with the orders. */
function tick(scene: Scene): void {
  const { box } = scene;
  const serving = readyEngines(scene);
  for (const view of box.state.servers.values()) {
    view.running = view.leaving ? 0 : scene.open / serving.length;
  }
  box.state.workTokens += (scene.open * TOKENS_PER_OPEN_REQUEST * TICK_MS) / 1000;
  for (const { callId, call } of ofType(passAsHolder(box, TICK_MS), 'callCloud')) {
    if (call.kind !== 'orderEngines') continue;
    scene.orders += 1;
    const key = keyOf(call.zone, call.reclaimable);
    const isMore = call.wanted > countOf(scene, call.zone, call.reclaimable);
    const isRefused = call.reclaimable && isMore && box.nowMs < scene.outOfCapacityUntilMs;
    if (!isRefused) scene.wanted.set(key, call.wanted);
    box.take({ type: 'cloudAnswered', callId, outcome: isRefused ? 'refused' : 'done' });
  }
  applyOrders(scene);
}

function countOf(scene: Scene, zone: string, reclaimable: boolean): number {
  const isOne = (entry: ServerEntry): boolean =>
    entry.zone === zone && entry.reclaimable === reclaimable;
  return (
    readyEngines(scene).filter(isOne).length +
    scene.starting.filter(({ entry }) => isOne(entry)).length
  );
}

function applyOrders(scene: Scene): void {
  const { box } = scene;
  for (const zone of ZONES) {
    for (const reclaimable of [true, false]) {
      const wanted = scene.wanted.get(keyOf(zone, reclaimable));
      if (wanted === undefined) continue;
      const ready = readyEngines(scene).filter(
        (entry) => entry.zone === zone && entry.reclaimable === reclaimable,
      );
      for (const entry of ready.slice(wanted)) releaseEngine(scene, entry);
      const isOutOfCapacity = reclaimable && box.nowMs < scene.outOfCapacityUntilMs;
      while (!isOutOfCapacity && countOf(scene, zone, reclaimable) < wanted) {
        const entry = createEngine(scene, zone, reclaimable);
        scene.starting.push({ dueMs: box.nowMs + BOOT_MS + scene.entryDelayMs, entry });
      }
    }
  }
  announceReleased(scene);
  const due = scene.starting.filter(({ dueMs }) => dueMs <= box.nowMs);
  scene.starting = scene.starting.filter(({ dueMs }) => dueMs > box.nowMs);
  sendRegistryChanges(
    scene,
    due.map(({ entry }) => entry),
  );
}

function releaseEngine(scene: Scene, entry: ServerEntry): void {
  if (scene.released.some((known) => known.entry.id === entry.id)) return;
  scene.released.push({ announcedAtMs: scene.box.nowMs + HEARTBEAT_MS, entry });
}

function announceReleased(scene: Scene): void {
  const { nowMs } = scene.box;
  const leaving = scene.released.filter(({ announcedAtMs }) => announcedAtMs <= nowMs);
  scene.released = scene.released.filter(({ announcedAtMs }) => announcedAtMs > nowMs);
  sendRegistryChanges(
    scene,
    leaving.map(({ entry }) => ({ ...entry, state: ServerState.leaving })),
  );
}

/** Advances the time and calls `each` after every tick. */
function pass(scene: Scene, ms: number, each: () => void = () => undefined): void {
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    tick(scene);
    each();
  }
}

/** Reclaims all reclaimable engines of a zone after their notice; no zone has any for a while. `othersArrive` keeps those that are starting in other zones. */
function reclaimZone(scene: Scene, zone: string, othersArrive = false): void {
  const reclaimed = readyEngines(scene).filter((entry) => entry.zone === zone && entry.reclaimable);
  sendRegistryChanges(
    scene,
    reclaimed.map((entry) => ({ ...entry, state: ServerState.leaving })),
  );
  scene.outOfCapacityUntilMs = scene.box.nowMs + 13_000;
  scene.starting = scene.starting.filter(
    ({ entry }) => !entry.reclaimable || (othersArrive && entry.zone !== zone),
  );
  scene.wanted.set(keyOf(zone, true), 0);
  pass(scene, NOTICE_MS);
  sendRegistryChanges(
    scene,
    [],
    reclaimed.map(({ id }) => id),
  );
}

/** Returns the share of the slots that is in use. */
function utilization(scene: Scene): number {
  return scene.open / (readyEngines(scene).length * SLOTS);
}

test('periodic load changes cause few orders', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.orders = 0;
  let highest = 0;
  for (let second = 0; second < 80; second += 1) {
    scene.open = 60 * (1 + 0.3 * Math.sin((second * 2 * Math.PI) / 40));
    pass(scene, 1000);
    highest = Math.max(highest, utilization(scene));
  }
  expect(highest).to.be.lessThan(0.5);
  // In two periods, some zones get one more engine and release it again.
  expect(scene.orders).to.be.lessThan(14);
});

test('a burst of 1.7 times the load leaves slots free', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.open = 60 * 1.7;
  let highest = 0;
  pass(scene, 8000, () => (highest = Math.max(highest, utilization(scene))));
  expect(highest).to.be.lessThan(0.65);
});

test('one reclaimed zone leaves the engines that are needed', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  reclaimZone(scene, 'zone-b');
  let highest = 0;
  pass(scene, 20_000, () => (highest = Math.max(highest, utilization(scene))));
  expect(highest).to.be.lessThan(0.55);
});

test('two zones reclaimed in turn, without replacement, leave slots free', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  let highest = 0;
  const observe = (): void => void (highest = Math.max(highest, utilization(scene)));
  reclaimZone(scene, 'zone-b');
  pass(scene, 4000, observe);
  reclaimZone(scene, 'zone-d');
  pass(scene, 15_000, observe);
  expect(highest).to.be.lessThan(0.7);
});

test('engines starting in other zones become ready although a zone is reclaimed', () => {
  const scene = startScene(40);
  pass(scene, 30_000);
  scene.open = 300;
  pass(scene, 2000);
  const coming = scene.starting.filter(({ entry }) => entry.zone !== 'zone-b').length;
  expect(coming).to.be.greaterThan(5);
  const there = readyEngines(scene).filter(({ zone }) => zone !== 'zone-b').length;
  reclaimZone(scene, 'zone-b', true);
  pass(scene, BOOT_MS);
  // When a refusal of more engines cancelled the starting ones, 5 of 17 were left.
  expect(readyEngines(scene).filter(({ reclaimable }) => reclaimable)).to.have.length(
    there + coming,
  );
});

test('released engines do not count as a reclaim', () => {
  const scene = startScene(120);
  pass(scene, 30_000);
  scene.open = 30;
  for (let passed = 0; scene.released.length === 0; passed += TICK_MS) {
    expect(passed).to.be.lessThan(120_000);
    tick(scene);
  }
  // The load rises again while they drain.
  scene.open = 400;
  pass(scene, 3000);
  const { outOfCapacityUntilMs, reclaimsExpectedUntilMs } = scene.box.state;
  expect([...reclaimsExpectedUntilMs]).to.deep.equal([]);
  expect([...outOfCapacityUntilMs]).to.deep.equal([]);
});

test('engines that register late are not released', () => {
  const scene = startScene(40);
  pass(scene, 30_000);
  scene.entryDelayMs = 2600;
  scene.open = 200;
  const lowered = (): boolean =>
    [...scene.wanted].some(([key, wanted]) => {
      const before = highest.get(key) ?? 0;
      highest.set(key, Math.max(before, wanted));
      return key.endsWith('true') && wanted < before;
    });
  const highest = new Map<string, number>();
  let times = 0;
  pass(scene, 12_000, () => (times += lowered() ? 1 : 0));
  expect(times).to.equal(0);
  expect(readyEngines(scene).filter(({ reclaimable }) => reclaimable).length).to.be.greaterThan(12);
});

test('a reclaim does not make orders oscillate', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.orders = 0;
  reclaimZone(scene, 'zone-b');
  pass(scene, 30_000);
  expect(scene.orders).to.be.lessThan(32);
});

test('a new lease holder in the middle of a reclaim releases no engine', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  reclaimZone(scene, 'zone-b');
  const { lease } = scene.box.state;
  const held = lease.held;
  if (held === undefined) throw new Error('no lease');
  lease.held = undefined;
  // No box holds the lease for a while; this box still tracks the need.
  for (let passed = 0; passed < 3000; passed += TICK_MS) scene.box.pass(TICK_MS);
  const before = readyEngines(scene).length;
  lease.held = { ...held, fence: held.fence + 1, grantedAtMs: scene.box.nowMs };
  pass(scene, 3000, () => expect(readyEngines(scene).length).to.be.at.least(before));
});

test('without load only a few engines are left after a while', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.open = 0;
  pass(scene, 120_000);
  expect(readyEngines(scene).length).to.be.within(3, 6);
});
