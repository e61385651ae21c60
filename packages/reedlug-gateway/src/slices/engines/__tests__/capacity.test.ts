import { expect } from 'chai';
import {
  configuration,
  createBox,
  createServingBox,
  facts,
  ofType,
  server,
  type TestBox,
  limitStatement,
  pauseStatement,
  statementsEvent,
} from '../../../__tests__/__fixtures__/box.js';
import { callsOf, passAsHolder, takeLease } from '../../../__tests__/__fixtures__/lease.js';
import type { CloudCall } from '../../../types/effect.js';
import { ServerState, type ServerEntry } from '../../../types/server.js';
import type { ServerStatement } from '../../../types/serverStatement.js';

type Order = Extract<CloudCall, { kind: 'orderEngines' }>;

function ordersOf(box: TestBox, ms: number): Order[] {
  return callsOf(box.pass(ms), 'orderEngines').map(({ call }) => call);
}

function sum(orders: readonly Order[], reclaimable: boolean): number {
  const ofKind = orders.filter((order) => order.reclaimable === reclaimable);
  return ofKind.reduce((total, { wanted }) => total + wanted, 0);
}

test('without the lease nothing is ordered', () => {
  const box = createServingBox();
  expect(ordersOf(box, 500)).to.have.length(0);
});

test('at the start reclaimable engines are ordered, with on-demand ones only until they are ready', () => {
  const box = createServingBox();
  takeLease(box);
  const first = ordersOf(box, 300);
  expect(sum(first, true)).to.be.at.least(2);
  expect(sum(first, false)).to.equal(2);
  const entries = ['a', 'b', 'c'].map((id) =>
    server(id, { service: 'engines', reclaimable: true, zone: 'zone-a' }),
  );
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  const then = ordersOf(box, 300);
  expect(sum(then, false)).to.equal(0);
  expect(then.some(({ reclaimable }) => !reclaimable)).to.equal(true);
});

test('an accepted order is not sent again under the same fence', () => {
  const box = createServingBox();
  takeLease(box);
  const calls = ofType(box.pass(300), 'callCloud');
  for (const { callId } of calls) box.take({ type: 'cloudAnswered', callId, outcome: 'done' });
  expect(ordersOf(box, 300)).to.have.length(0);
});

test('an order that was not accepted is sent again after a pause', () => {
  const box = createServingBox();
  takeLease(box);
  const calls = ofType(box.pass(300), 'callCloud');
  for (const { callId } of calls)
    box.take({ type: 'cloudAnswered', callId, outcome: 'unavailable' });
  expect(ordersOf(box, 300)).to.have.length(0);
  box.pass(300);
  expect(ordersOf(box, 500)).to.have.length(calls.length);
});

test('a zone that refuses a reclaimable engine gets no further order for a while', () => {
  const box = createServingBox();
  takeLease(box);
  const calls = ofType(box.pass(300), 'callCloud');
  for (const { callId, call } of calls) {
    const isRefused = call.kind === 'orderEngines' && call.reclaimable && call.zone === 'zone-a';
    box.take({ type: 'cloudAnswered', callId, outcome: isRefused ? 'refused' : 'done' });
  }
  const next = ordersOf(box, 300).filter(({ reclaimable }) => reclaimable);
  expect(next.find(({ zone }) => zone === 'zone-a')?.wanted).to.equal(0);
  // The maximum of zone-b is four engines, one of which is its on-demand engine.
  expect(box.state.orders.get('engines zone-b reclaimable')?.call.wanted).to.equal(3);
  expect(next.find(({ zone }) => zone === 'zone-b')).to.equal(undefined);
});

test('on-demand engines are ordered at once when a full zone loses its reclaimable ones', () => {
  const box = createServingBox();
  const entries = ['a', 'b', 'c', 'd'].map((id) =>
    server(id, { service: 'engines', reclaimable: true, zone: 'zone-a' }),
  );
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  takeLease(box);
  for (const { callId } of ofType(box.pass(300), 'callCloud')) {
    box.take({ type: 'cloudAnswered', callId, outcome: 'done' });
  }
  const gone = [...box.state.servers.values()].filter(({ entry }) => entry.service === 'engines');
  const removed = gone.map(({ entry }) => ({ id: entry.id, entry: undefined }));
  box.take({ type: 'serversRead', whole: false, changes: removed, revision: 3, source: 'store' });
  const orders = ordersOf(box, 300);
  expect(sum(orders, false)).to.be.at.least(2);
  expect(orders.find(({ zone, reclaimable }) => reclaimable && zone === 'zone-a')?.wanted).to.equal(
    0,
  );
});

test('a crash is no reclaim: only engines that announce draining cause a reserve', () => {
  const reserveAfter = (state: ServerState | undefined): boolean => {
    const box = createServingBox();
    const entryOf = (id: string, change: Partial<ServerEntry> = {}): ServerEntry =>
      server(id, { service: 'engines', reclaimable: true, zone: 'zone-a', ...change });
    const read = (ids: readonly string[], change?: Partial<ServerEntry>): void => {
      const changes = ids.map((id) => ({
        id,
        entry: state === undefined && change !== undefined ? undefined : entryOf(id, change),
      }));
      box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
    };
    read(['a', 'b', 'c', 'd']);
    takeLease(box);
    for (const { callId } of ofType(box.pass(300), 'callCloud')) {
      box.take({ type: 'cloudAnswered', callId, outcome: 'done' });
    }
    read(['a', 'b', 'c', 'd'], { state: ServerState.leaving });
    box.pass(300);
    return (box.state.reclaimsExpectedUntilMs.get('engines') ?? 0) > box.nowMs;
  };
  expect(reserveAfter(ServerState.leaving)).to.equal(true);
  expect(reserveAfter(undefined)).to.equal(false);
});

/** Creates the first holder of the lease, `ms` after its start. */
function startHolder(ms: number): TestBox {
  const box = createServingBox();
  takeLease(box);
  // The lease fixture advances the clock, so the start time is set to the requested age.
  box.state.startedAtMs = box.nowMs - ms;
  return box;
}

function sendRequest(box: TestBox, exchangeId: number): void {
  const request = facts({
    requestId: `request-${exchangeId}`,
    path: '/draft/1',
    deadlineMs: 8000,
    promptTokens: 400,
    maxOutputTokens: 10,
  });
  box.take({ type: 'requestArrived', exchangeId, facts: request });
}

test('at a first start most on-demand engines are released before any request arrives', () => {
  const orders = ordersOf(startHolder(500), 300);
  expect(sum(orders, false)).to.equal(2);
  expect(sum(orders, true)).to.equal(6);
});

test('at a first start the number of engines follows from the limits', () => {
  const orderedFor = (ratePerSecond: number): number => {
    const box = createBox();
    applyLargeZoneConfiguration(box, ratePerSecond);
    box.take({ type: 'serversRead', whole: true, changes: [], revision: 1, source: 'store' });
    takeLease(box);
    box.state.startedAtMs = box.nowMs - 500;
    return sum(ordersOf(box, 300), true);
  };
  expect(orderedFor(10_000)).to.equal(6);
  // 13 engines that read 60 tokens per ms at a utilization of 0.38 can read half of the limit.
  expect(orderedFor(600_000)).to.be.within(13, 22);
  expect(orderedFor(60_000_000)).to.equal(30);
  expect(orderedFor(0)).to.equal(6);
});

test('engines ordered at a first start stay ordered while they register', () => {
  const box = createBox();
  applyLargeZoneConfiguration(box, 600_000);
  box.take({ type: 'serversRead', whole: true, changes: [], revision: 1, source: 'store' });
  takeLease(box);
  box.state.startedAtMs = box.nowMs - 500;
  const first = sum(ordersOf(box, 300), true);
  const entry = server('first-to-come', { service: 'engines', reclaimable: true });
  const changes = [{ id: entry.id, entry }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  passAsHolder(box, 4000);
  const wanted = [...box.state.orders.values()].map(({ call }) => call);
  expect(sum(wanted, true)).to.equal(first);
});

test('at a first start engines that register late are counted', () => {
  const box = createBox();
  applyLargeZoneConfiguration(box);
  box.take({ type: 'serversRead', whole: true, changes: [], revision: 0, source: 'store' });
  takeLease(box);
  box.state.startedAtMs = box.nowMs;
  for (let index = 0; index < 20; index += 1) {
    // One entry every 0.1 s, as with heartbeats of 1.2 s and the store's delay.
    const entry = server(`engine-${index}`, { service: 'engines', zone: 'zone-a' });
    const changes = [{ id: entry.id, entry }];
    const revision = index + 1;
    box.take({ type: 'serversRead', whole: index === 0, changes, revision, source: 'store' });
    passAsHolder(box, 100);
  }
  passAsHolder(box, 900);
  const wanted = [...box.state.orders.values()].map(({ call }) => call);
  expect(sum(wanted, true)).to.equal(20);
  expect(sum(wanted, false)).to.equal(2);
});

/** Applies a configuration whose zones may hold many engines. */
function applyLargeZoneConfiguration(box: TestBox, ratePerSecond = 10_000): void {
  const [records, engines] = configuration().services;
  if (records === undefined || engines?.scaling === undefined) throw new Error('no services');
  const enginesService = { ...engines, scaling: { ...engines.scaling, maxPerZone: 30 } };
  const workspaces = configuration().workspaces.map((spec) => ({ ...spec, ratePerSecond }));
  const changed = { ...configuration(), services: [records, enginesService], workspaces };
  box.take({ type: 'configurationRead', configuration: changed, source: 'store' });
}

test('at a first start as many reclaimable engines are ordered as there were on-demand ones', () => {
  const box = createBox();
  applyLargeZoneConfiguration(box);
  const changes = Array.from({ length: 20 }, (_, index) => {
    const id = `engine-${index}`;
    return { id, entry: server(id, { service: 'engines', zone: 'zone-a' }) };
  });
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  takeLease(box);
  box.state.startedAtMs = box.nowMs - 500;
  box.pass(300);
  // The platform stops the released ones.
  const gone = changes.slice(2).map(({ id }) => ({ id, entry: undefined }));
  box.take({ type: 'serversRead', whole: false, changes: gone, revision: 2, source: 'store' });
  passAsHolder(box, 4000);
  const wanted = [...box.state.orders.values()].map(({ call }) => call);
  expect(sum(wanted, true)).to.equal(20);
  expect(sum(wanted, false)).to.equal(2);
});

test('at a first start with load, orders wait until the registry has filled', () => {
  const box = startHolder(500);
  sendRequest(box, 1);
  expect(ordersOf(box, 300)).to.have.length(0);
  const later = callsOf(passAsHolder(box, 3500), 'orderEngines');
  expect(later.length).to.be.greaterThan(0);
});

test('a later holder does not order before the registry has filled', () => {
  const box = startHolder(500);
  if (box.state.lease.held !== undefined) box.state.lease.held.fence = 2;
  expect(ordersOf(box, 300)).to.have.length(0);
});

test('a box without the lease tracks the need, for when it acquires the lease', () => {
  const box = createServingBox();
  for (let exchangeId = 1; exchangeId <= 200; exchangeId += 1) sendRequest(box, exchangeId);
  for (let step = 0; step < 20; step += 1) box.pass(300);
  expect(box.state.stabilizedNeeds.get('engines')?.usual.value).to.be.greaterThan(3);
});

test('the initial engines stay until the load has been measured for five seconds', () => {
  const wantedAfter = (ms: number): number => {
    const box = startHolder(5000);
    sendRequest(box, 1);
    passAsHolder(box, ms);
    const orders = [...box.state.orders.values()].map(({ call }) => call);
    return sum(orders, true);
  };
  expect(wantedAfter(3000)).to.equal(6);
  // The minimum of two, and as many again in the zone that may be lost.
  expect(wantedAfter(7000)).to.equal(4);
});

test('engines that limit their rate or pause count by what they accept: others are ordered instead', () => {
  const wantedWith = (statement: ServerStatement | undefined): number => {
    const box = createServingBox();
    const entries = ['a', 'b', 'c', 'd'].map((id) =>
      server(id, { service: 'engines', reclaimable: true, zone: 'zone-a' }),
    );
    const changes = entries.map((entry) => ({ id: entry.id, entry }));
    box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
    const { services, ...others } = configuration({ version: 2 });
    const largeServices = services.map((service) => ({
      ...service,
      scaling: service.scaling && { ...service.scaling, maxPerZone: 40 },
    }));
    const largeConfiguration = { ...others, services: largeServices };
    box.take({ type: 'configurationRead', configuration: largeConfiguration, source: 'store' });
    takeLease(box);
    const incarnations = entries.map(({ id }) => ({ serverId: id, bornAtMs: undefined }));
    if (statement !== undefined) {
      box.take(statementsEvent(...incarnations.map((known) => ({ ...known, statement }))));
    }
    for (let turn = 0; turn < 40; turn += 1) {
      const request = facts({ requestId: `r${turn}`, path: '/draft/1', deadlineMs: 60_000 });
      box.take({ type: 'requestArrived', exchangeId: 100 + turn, facts: request });
    }
    passAsHolder(box, 7000);
    const orders = [...box.state.orders.values()].map(({ call }) => call);
    return orders.reduce((sum, { wanted }) => sum + wanted, 0);
  };
  const usual = wantedWith(undefined);
  expect(wantedWith(limitStatement(1))).to.be.above(usual);
  expect(wantedWith(limitStatement(1_000_000))).to.equal(usual);
  expect(wantedWith(pauseStatement(30_000))).to.be.above(usual);
  // The pause ends before another engine would be ready.
  expect(wantedWith(pauseStatement(3000))).to.equal(usual);
});
