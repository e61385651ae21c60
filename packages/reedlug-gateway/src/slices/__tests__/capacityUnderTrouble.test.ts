/**
 * Orders of engines over time, before a platform under virtual time: engines come
 * after their boot, zones are taken back, and reclaimable ones are then refused.
 */
import { expect } from 'chai';
import {
  configuration,
  createBox,
  ofType,
  server,
  type TestBox,
} from '../../__tests__/__fixtures__/box.js';
import { passAsHolder, takeLease } from '../../__tests__/__fixtures__/lease.js';
import { ServerState, type ServerEntry } from '../../types/server.js';

const TICK_MS = 50;
const BOOT_MS = 4000;
const NOTICE_MS = 2000;
const HEARTBEAT_MS = 1200;
const SLOTS = 24;
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
/** Tokens to be read a second for each open request: so reading and places ask for about as much. */
const TOKENS_PER_OPEN_REQUEST = 1500;

interface Scene {
  box: TestBox;
  /** Requests in progress over all boxes. */
  open: number;
  /** Orders taken, by zone and kind. */
  wanted: Map<string, number>;
  starting: { dueMs: number; entry: ServerEntry }[];
  /** Engines that were given up: they say that they leave after a heartbeat. */
  givenUp: { saysAtMs: number; entry: ServerEntry }[];
  /** From an engine's start until its entry is read. */
  entryDelayMs: number;
  /** Until when no reclaimable engine is to be had anywhere. */
  dryUntilMs: number;
  orders: number;
  nextId: number;
}

function keyOf(zone: string, reclaimable: boolean): string {
  return `${zone} ${reclaimable}`;
}

/** A holder whose service began with on-demand engines, and has callers. */
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
    givenUp: [],
    entryDelayMs: 0,
    dryUntilMs: 0,
    orders: 0,
    nextId: 0,
  };
  const entries = ZONES.flatMap((zone) =>
    Array.from({ length: 4 }, () => engine(scene, zone, false)),
  );
  tellRegistry(scene, entries);
  takeLease(box);
  scene.open = open;
  return scene;
}

function engine(scene: Scene, zone: string, reclaimable: boolean): ServerEntry {
  scene.nextId += 1;
  return server(`engine-${scene.nextId}`, { service: 'engines', zone, reclaimable, slots: SLOTS });
}

function tellRegistry(
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

function ready(scene: Scene): ServerEntry[] {
  return [...scene.box.state.servers.values()]
    .filter(({ leaving }) => !leaving)
    .map(({ entry }) => entry);
}

/** One tick: load, plans, and what the platform makes of the orders. */
function tick(scene: Scene): void {
  const { box } = scene;
  const serving = ready(scene);
  for (const view of box.state.servers.values()) {
    view.running = view.leaving ? 0 : scene.open / serving.length;
  }
  box.state.workTokens += (scene.open * TOKENS_PER_OPEN_REQUEST * TICK_MS) / 1000;
  for (const { callId, call } of ofType(passAsHolder(box, TICK_MS), 'callCloud')) {
    if (call.kind !== 'orderEngines') continue;
    scene.orders += 1;
    const key = keyOf(call.zone, call.reclaimable);
    const isMore = call.wanted > countOf(scene, call.zone, call.reclaimable);
    const isRefused = call.reclaimable && isMore && box.nowMs < scene.dryUntilMs;
    if (!isRefused) scene.wanted.set(key, call.wanted);
    box.take({ type: 'cloudAnswered', callId, outcome: isRefused ? 'refused' : 'done' });
  }
  followOrders(scene);
}

function countOf(scene: Scene, zone: string, reclaimable: boolean): number {
  const isOne = (entry: ServerEntry): boolean =>
    entry.zone === zone && entry.reclaimable === reclaimable;
  return (
    ready(scene).filter(isOne).length + scene.starting.filter(({ entry }) => isOne(entry)).length
  );
}

function followOrders(scene: Scene): void {
  const { box } = scene;
  for (const zone of ZONES) {
    for (const reclaimable of [true, false]) {
      const wanted = scene.wanted.get(keyOf(zone, reclaimable));
      if (wanted === undefined) continue;
      const there = ready(scene).filter(
        (entry) => entry.zone === zone && entry.reclaimable === reclaimable,
      );
      for (const entry of there.slice(wanted)) giveUp(scene, entry);
      const isDry = reclaimable && box.nowMs < scene.dryUntilMs;
      while (!isDry && countOf(scene, zone, reclaimable) < wanted) {
        const entry = engine(scene, zone, reclaimable);
        scene.starting.push({ dueMs: box.nowMs + BOOT_MS + scene.entryDelayMs, entry });
      }
    }
  }
  tellGivenUp(scene);
  const due = scene.starting.filter(({ dueMs }) => dueMs <= box.nowMs);
  scene.starting = scene.starting.filter(({ dueMs }) => dueMs > box.nowMs);
  tellRegistry(
    scene,
    due.map(({ entry }) => entry),
  );
}

function giveUp(scene: Scene, entry: ServerEntry): void {
  if (scene.givenUp.some((known) => known.entry.id === entry.id)) return;
  scene.givenUp.push({ saysAtMs: scene.box.nowMs + HEARTBEAT_MS, entry });
}

function tellGivenUp(scene: Scene): void {
  const { nowMs } = scene.box;
  const leaving = scene.givenUp.filter(({ saysAtMs }) => saysAtMs <= nowMs);
  scene.givenUp = scene.givenUp.filter(({ saysAtMs }) => saysAtMs > nowMs);
  tellRegistry(
    scene,
    leaving.map(({ entry }) => ({ ...entry, state: ServerState.leaving })),
  );
}

/** Lets time pass; `each` is called after every tick. */
function pass(scene: Scene, ms: number, each: () => void = () => undefined): void {
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    tick(scene);
    each();
  }
}

/** Takes all reclaimable engines of a zone back after their notice; there are none for a while. Those that are starting elsewhere come or not. */
function takeBack(scene: Scene, zone: string, othersCome = false): void {
  const taken = ready(scene).filter((entry) => entry.zone === zone && entry.reclaimable);
  tellRegistry(
    scene,
    taken.map((entry) => ({ ...entry, state: ServerState.leaving })),
  );
  scene.dryUntilMs = scene.box.nowMs + 13_000;
  scene.starting = scene.starting.filter(
    ({ entry }) => !entry.reclaimable || (othersCome && entry.zone !== zone),
  );
  scene.wanted.set(keyOf(zone, true), 0);
  pass(scene, NOTICE_MS);
  tellRegistry(
    scene,
    [],
    taken.map(({ id }) => id),
  );
}

/** Share of the places that is taken. */
function use(scene: Scene): number {
  return scene.open / (ready(scene).length * SLOTS);
}

test('a wave of the load moves few engines', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.orders = 0;
  let highest = 0;
  for (let second = 0; second < 80; second += 1) {
    scene.open = 60 * (1 + 0.3 * Math.sin((second * 2 * Math.PI) / 40));
    pass(scene, 1000);
    highest = Math.max(highest, use(scene));
  }
  expect(highest).to.be.lessThan(0.5);
  // Two waves: some zones get one engine more and give it back.
  expect(scene.orders).to.be.lessThan(14);
});

test('a burst of 1.7 times the load leaves places free', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.open = 60 * 1.7;
  let highest = 0;
  pass(scene, 8000, () => (highest = Math.max(highest, use(scene))));
  expect(highest).to.be.lessThan(0.65);
});

test('one zone taken back leaves what is needed', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  takeBack(scene, 'zone-b');
  let highest = 0;
  pass(scene, 20_000, () => (highest = Math.max(highest, use(scene))));
  expect(highest).to.be.lessThan(0.55);
});

test('two zones taken back in turn, without replacement, leave places free', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  let highest = 0;
  const see = (): void => void (highest = Math.max(highest, use(scene)));
  takeBack(scene, 'zone-b');
  pass(scene, 4000, see);
  takeBack(scene, 'zone-d');
  pass(scene, 15_000, see);
  expect(highest).to.be.lessThan(0.7);
});

test('engines on their way to other zones come although a zone is taken back', () => {
  const scene = startScene(40);
  pass(scene, 30_000);
  scene.open = 300;
  pass(scene, 2000);
  const coming = scene.starting.filter(({ entry }) => entry.zone !== 'zone-b').length;
  expect(coming).to.be.greaterThan(5);
  const there = ready(scene).filter(({ zone }) => zone !== 'zone-b').length;
  takeBack(scene, 'zone-b', true);
  pass(scene, BOOT_MS);
  // Cancelled with the refusal of more, 5 of 17 were left.
  expect(ready(scene).filter(({ reclaimable }) => reclaimable)).to.have.length(there + coming);
});

test('engines that were given up are no reclaim', () => {
  const scene = startScene(120);
  pass(scene, 30_000);
  scene.open = 30;
  for (let passed = 0; scene.givenUp.length === 0; passed += TICK_MS) {
    expect(passed).to.be.lessThan(120_000);
    tick(scene);
  }
  // The load rises again while they are on their way out.
  scene.open = 400;
  pass(scene, 3000);
  const { outOfCapacityUntilMs, reclaimsExpectedUntilMs } = scene.box.state;
  expect([...reclaimsExpectedUntilMs]).to.deep.equal([]);
  expect([...outOfCapacityUntilMs]).to.deep.equal([]);
});

test('engines that enter themselves late are not given up', () => {
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
  expect(ready(scene).filter(({ reclaimable }) => reclaimable).length).to.be.greaterThan(12);
});

test('a reclaim does not make orders swing', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.orders = 0;
  takeBack(scene, 'zone-b');
  pass(scene, 30_000);
  expect(scene.orders).to.be.lessThan(32);
});

test('a holder that comes in the middle of a reclaim orders no engine away', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  takeBack(scene, 'zone-b');
  const { lease } = scene.box.state;
  const held = lease.held;
  if (held === undefined) throw new Error('no lease');
  lease.held = undefined;
  // Nobody holds the lease for a while; this box goes on to follow the need.
  for (let passed = 0; passed < 3000; passed += TICK_MS) scene.box.pass(TICK_MS);
  const before = ready(scene).length;
  lease.held = { ...held, fence: held.fence + 1, grantedAtMs: scene.box.nowMs };
  pass(scene, 3000, () => expect(ready(scene).length).to.be.at.least(before));
});

test('without load a few engines are left after a while', () => {
  const scene = startScene(60);
  pass(scene, 30_000);
  scene.open = 0;
  pass(scene, 120_000);
  expect(ready(scene).length).to.be.within(3, 6);
});
