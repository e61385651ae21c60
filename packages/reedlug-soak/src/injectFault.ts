/** Carries a planned fault out on the world and writes down whom it troubles, and how long. */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from 'reedlug-standins';
import { enterMalformedServer, removeServerEntry } from 'reedlug-platform/standins';
import type { Fault } from './faultPlan.js';
import type { SoakRecord, Span } from './soakRecord.js';
import { configure, enter, revive, type SoakServer, type SoakWorld } from './soakWorld.js';

/** How long a crashed server's entry stays, in ms: three heartbeats of the users' servers. */
const ENTRY_STAYS_MS = 1200;
/** How long a leaving server still serves, in ms: the users' bound and a little more. */
const LEAVES_AFTER_MS = 2600;

/** How long a server runs a request under which it ends, and how long it is away, in ms. */
const CRASH_AFTER_MS = 60;
const CRASHED_FOR_MS = 2500;

/** Entries of the registry by other writers: none names a server. */
const ODD_ENTRIES: readonly unknown[] = [
  null,
  [],
  'records',
  7,
  {},
  { service: 'records', address: 5, zone: 'zone-a', slots: 4, state: 'ready' },
  { service: 'records', address: '127.0.0.1:99999', zone: 'zone-a', slots: 4, state: 'ready' },
  { service: 'records', address: '127.0.0.1:9', zone: 'zone-a', slots: '4', state: 'ready' },
  { service: 'records', address: '127.0.0.1:9', zone: 'zone-a', slots: 4, state: 'resting' },
  {
    service: 'records',
    address: '127.0.0.1:9',
    zone: 'zone-a',
    slots: 4,
    state: 'ready',
    born: 'x',
  },
];

/** Seed of the draws of lost answers: which ones are lost depends on their order alone. */
const LOST_ANSWERS_SEED = 1;

/** Carries a fault out; resolves once it is over. */
export async function injectFault(
  world: SoakWorld,
  record: SoakRecord,
  fault: Fault,
): Promise<void> {
  switch (fault.kind) {
    case 'pauseBox':
      return interrupting(record, [fault.box], async () => {
        world.boxes[fault.box]?.process.signal('SIGSTOP');
        await delay(fault.forMs);
        world.boxes[fault.box]?.process.signal('SIGCONT');
      });
    case 'stopBox':
      return stopBox(world, record, fault);
    case 'killBox':
      return interrupting(record, [fault.box], () =>
        killBoxes(world, [fault.box], fault.backAfterMs),
      );
    case 'killAllBoxes': {
      const all = [...world.boxes.keys()];
      return interrupting(record, all, () => killBoxes(world, all, fault.backAfterMs));
    }
    case 'storeLink':
      return troubling(record, [fault.box], async () => {
        world.boxes[fault.box]?.storeLink.set(fault.how);
        await delay(fault.forMs);
        world.boxes[fault.box]?.storeLink.set(undefined);
      });
    case 'serverLink':
      return troublingServers(record, async () => {
        const span = openSpan();
        record.linkTroubles.push(span);
        world.servers[fault.server]?.proxy.set(fault.how);
        await delay(fault.forMs);
        world.servers[fault.server]?.proxy.set(undefined);
        span.toMs = performance.now();
      });
    case 'storeAway':
      return troubling(record, [...world.boxes.keys()], async () => {
        world.store.isDown = true;
        await delay(fault.forMs);
        world.store.isDown = false;
      });
    case 'storeCopy':
      return troubling(record, [...world.boxes.keys()], () => copyStore(world, record, fault));
    case 'storeSlow':
      return troubling(record, [...world.boxes.keys()], async () => {
        world.store.delayMs = fault.delayMs;
        await delay(fault.forMs);
        world.store.delayMs = 0;
      });
    case 'storeLosesAnswers':
      return troubling(record, [...world.boxes.keys()], async () => {
        const random = createRandom(LOST_ANSWERS_SEED);
        world.store.dropsAnswer = () => random.chance(fault.share);
        await delay(fault.forMs);
        world.store.dropsAnswer = () => false;
      });
    case 'oddEntry':
      return enterOdd(world, fault.odd);
    case 'serverRestarts':
      return troublingServers(record, () => restartServer(world, record, fault));
    case 'serverCrash':
    case 'serverLeaves':
      return troublingServers(record, () => replaceServer(world, record, fault));
    case 'serverFails':
      return troublingServers(record, async () => {
        const server = world.servers[fault.server];
        if (server === undefined) return;
        server.failing = fault.how;
        await delay(fault.forMs);
        server.failing = undefined;
      });
    case 'serverLimits':
      return limitServer(world, fault);
    case 'serverSaysLeaving':
      return troublingServers(record, () => leaveUnlisted(world, record, fault));
    case 'serverRests':
      return troublingServers(record, () => restServer(world, fault));
    case 'crashingCaller':
      world.crashingEveryMs = fault.everyMs;
      return;
    case 'configure':
      return enterNextVersion(world, record);
    case 'revokeKey': {
      const [oldest, ...others] = [...world.keys, `key-${world.version + 1}`];
      world.keys = others;
      enterNextVersion(world, record);
      if (oldest !== undefined) record.revokedAtMs.set(oldest, performance.now());
      return;
    }
  }
}

function enterNextVersion(world: SoakWorld, record: SoakRecord): void {
  configure(world);
  record.configuredAtMs.set(world.version, performance.now());
}

/** The store comes back from a copy; what the operator and the servers wrote since is written again. */
async function copyStore(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'storeCopy' }>,
): Promise<void> {
  const { store } = world;
  store.goDown();
  await delay(fault.forMs);
  const lost = store.restoreFromBackup(fault.ageMs);
  const random = createRandom(fault.ageMs);
  const writes = lost.map(async ({ table, isRemoval, again }) => {
    const afterMs = isRemoval ? ENTRY_STAYS_MS : random.unit() * fault.againWithinMs;
    if (afterMs > 0) await delay(afterMs);
    again();
    // The acknowledgement that counts is the one that the store has not lost.
    if (table === 'op') record.configuredAtMs.set(world.version, performance.now());
  });
  store.skipVersions(fault.otherWrites);
  await Promise.all(writes);
}

/** Notes boxes as troubled from now until the fault is over. */
async function troubling(
  record: SoakRecord,
  boxes: readonly number[],
  act: () => Promise<void>,
): Promise<void> {
  const span = openSpan();
  noteSpan(record.troubles, boxes, span);
  await act();
  span.toMs = performance.now();
}

/** The same where the processes of the boxes stand still or end. */
async function interrupting(
  record: SoakRecord,
  boxes: readonly number[],
  act: () => Promise<void>,
): Promise<void> {
  const span = openSpan();
  noteSpan(record.interruptions, boxes, span);
  await troubling(record, boxes, act);
  span.toMs = performance.now();
}

function noteSpan(spans: Map<number, Span[]>, boxes: readonly number[], span: Span): void {
  for (const box of boxes) spans.set(box, [...(spans.get(box) ?? []), span]);
}

async function troublingServers(record: SoakRecord, act: () => Promise<void>): Promise<void> {
  const span = openSpan();
  record.serverTroubles.push(span);
  await act();
  span.toMs = performance.now();
}

function openSpan(): Span {
  return { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY };
}

async function stopBox(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'stopBox' }>,
): Promise<void> {
  const box = world.boxes[fault.box];
  if (box === undefined || !box.process.isRunning()) return;
  const span = openSpan();
  for (const spans of [record.troubles, record.stops, record.interruptions]) {
    noteSpan(spans, [fault.box], span);
  }
  box.process.signal('SIGTERM');
  await box.process.ended();
  await delay(fault.backAfterMs);
  box.process.start();
  span.toMs = performance.now();
}

async function killBoxes(
  world: SoakWorld,
  numbers: readonly number[],
  backAfterMs: number,
): Promise<void> {
  const killed = numbers.map((number) => world.boxes[number]).filter((box) => box !== undefined);
  for (const { process } of killed) process.signal('SIGKILL');
  await Promise.all(killed.map(({ process }) => process.ended()));
  await delay(backAfterMs);
  for (const { process } of killed) process.start();
}

/** A server ends under the request that it runs, and starts again under its id. */
export async function endUnderRequest(
  world: SoakWorld,
  record: SoakRecord,
  server: SoakServer,
): Promise<void> {
  const { standin } = server;
  await delay(CRASH_AFTER_MS);
  if (server.standin !== standin || standin.isClosed()) return;
  record.crashesAtMs.push(performance.now());
  const fault = { kind: 'serverRestarts' as const, backAfterMs: CRASHED_FOR_MS };
  await troublingServers(record, () =>
    restartServer(world, record, { ...fault, server: world.servers.indexOf(server) }),
  );
}

/** A server names a limit, for as long as this life of it lasts. */
async function limitServer(
  world: SoakWorld,
  { server, perSecond, forMs }: Extract<Fault, { kind: 'serverLimits' }>,
): Promise<void> {
  const standin = world.servers[server]?.standin;
  if (standin === undefined) return;
  standin.limitPerSecond = perSecond;
  await delay(forMs);
  standin.limitPerSecond = undefined;
}

/** A server says that it leaves, serves on, and begins another life under its id. */
async function leaveUnlisted(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverSaysLeaving' }>,
): Promise<void> {
  const standin = world.servers[fault.server]?.standin;
  if (standin === undefined) return;
  standin.saysLeaving = true;
  await delay(fault.forMs);
  if (world.servers[fault.server]?.standin !== standin) return;
  const { server, backAfterMs } = fault;
  return restartServer(world, record, { kind: 'serverRestarts', server, backAfterMs });
}

/** A server refuses everything for a while and asks for rest, for as long as this life of it lasts. */
async function restServer(
  world: SoakWorld,
  { server, restSeconds, forMs }: Extract<Fault, { kind: 'serverRests' }>,
): Promise<void> {
  const resting = world.servers[server];
  if (resting === undefined) return;
  const { standin } = resting;
  standin.restSeconds = restSeconds;
  resting.failing = 'refuse';
  await delay(forMs);
  standin.restSeconds = undefined;
  resting.failing = undefined;
}

/** Ends a server without a word; its next life has its id and its entry. */
async function restartServer(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverRestarts' }>,
): Promise<void> {
  const server = world.servers[fault.server];
  if (server === undefined || record.leftAtMs.has(server.standin.id)) return;
  const { standin } = server;
  standin.close();
  await delay(fault.backAfterMs);
  // Another fault may have ended this life meanwhile.
  if (server.standin === standin && !record.leftAtMs.has(standin.id)) {
    await revive(world, server, true);
  }
}

function enterOdd(world: SoakWorld, odd: number): void {
  const value = ODD_ENTRIES[odd % ODD_ENTRIES.length];
  enterMalformedServer(world.store, `odd-${odd}`, value);
}

/** Ends a server, with notice or without, and starts its next life after a while. */
async function replaceServer(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverCrash' | 'serverLeaves' }>,
): Promise<void> {
  const server = world.servers[fault.server];
  if (server === undefined || record.leftAtMs.has(server.standin.id)) return;
  const { standin } = server;
  switch (fault.kind) {
    case 'serverCrash':
      standin.close();
      record.leftAtMs.set(standin.id, performance.now() + ENTRY_STAYS_MS);
      await delay(ENTRY_STAYS_MS);
      break;
    case 'serverLeaves':
      standin.saysLeaving = true;
      enter(world, server, true);
      record.leftAtMs.set(standin.id, performance.now());
      await delay(LEAVES_AFTER_MS);
      standin.close();
      break;
  }
  removeServerEntry(world.store, standin.id);
  await delay(fault.backAfterMs);
  await revive(world, server, false);
}
