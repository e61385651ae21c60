/** Injects planned faults and records which boxes and servers they affect, and for how long. */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from 'reedlug-standins';
import { enterMalformedServer, removeServerEntry } from 'reedlug-platform/standins';
import type { Fault } from './faultPlan.js';
import type { SoakRecord, Span } from './soakRecord.js';
import {
  configure,
  registerServer,
  startNextIncarnation,
  type SoakServer,
  type SoakWorld,
} from './soakWorld.js';

/**
 * Time for which the registry entry of a crashed server remains, in ms: three heartbeats of the
 * users' backend servers.
 */
const ENTRY_LIFETIME_MS = 1200;
/**
 * Time for which a draining server still serves, in ms: slightly longer than the bound `drainMs`
 * that the users require.
 */
const DRAIN_TIME_MS = 2600;

/**
 * Time from the start of a crashing request to the crash, and downtime of the server after it, in
 * ms.
 */
const CRASH_AFTER_MS = 60;
const CRASH_DOWNTIME_MS = 2500;

/** Registry entries from other writers; none of them describes a valid server. */
const INVALID_ENTRIES: readonly unknown[] = [
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

/**
 * Seed that decides which responses of the store are lost. It is fixed, so that the choice depends
 * only on their order.
 */
const LOST_ANSWERS_SEED = 1;

/** Injects a fault; resolves once the fault has ended. */
export async function injectFault(
  world: SoakWorld,
  record: SoakRecord,
  fault: Fault,
): Promise<void> {
  switch (fault.kind) {
    case 'pauseBox':
      return withInterruption(record, [fault.box], async () => {
        world.boxes[fault.box]?.process.signal('SIGSTOP');
        await delay(fault.forMs);
        world.boxes[fault.box]?.process.signal('SIGCONT');
      });
    case 'stopBox':
      return stopBox(world, record, fault);
    case 'killBox':
      return withInterruption(record, [fault.box], () =>
        killBoxes(world, [fault.box], fault.backAfterMs),
      );
    case 'killAllBoxes': {
      const all = [...world.boxes.keys()];
      return withInterruption(record, all, () => killBoxes(world, all, fault.backAfterMs));
    }
    case 'storeLink':
      return withBoxFault(record, [fault.box], async () => {
        world.boxes[fault.box]?.storeLink.setFault(fault.how);
        await delay(fault.forMs);
        world.boxes[fault.box]?.storeLink.setFault(undefined);
      });
    case 'serverLink':
      return withServerFault(record, async () => {
        const span = startSpan();
        record.linkTroubles.push(span);
        world.servers[fault.server]?.proxy.setFault(fault.how);
        await delay(fault.forMs);
        world.servers[fault.server]?.proxy.setFault(undefined);
        span.toMs = performance.now();
      });
    case 'storeAway':
      return withBoxFault(record, [...world.boxes.keys()], async () => {
        world.store.isDown = true;
        await delay(fault.forMs);
        world.store.isDown = false;
      });
    case 'storeCopy':
      return withBoxFault(record, [...world.boxes.keys()], () =>
        restoreStore(world, record, fault),
      );
    case 'storeSlow':
      return withBoxFault(record, [...world.boxes.keys()], async () => {
        world.store.delayMs = fault.delayMs;
        await delay(fault.forMs);
        world.store.delayMs = 0;
      });
    case 'storeLosesAnswers':
      return withBoxFault(record, [...world.boxes.keys()], async () => {
        const random = createRandom(LOST_ANSWERS_SEED);
        world.store.dropsAnswer = () => random.chance(fault.share);
        await delay(fault.forMs);
        world.store.dropsAnswer = () => false;
      });
    case 'oddEntry':
      return registerInvalidEntry(world, fault.odd);
    case 'serverRestarts':
      return withServerFault(record, () => restartServer(world, record, fault));
    case 'serverCrash':
    case 'serverLeaves':
      return withServerFault(record, () => replaceServer(world, record, fault));
    case 'serverFails':
      return withServerFault(record, async () => {
        const server = world.servers[fault.server];
        if (server === undefined) return;
        server.failureMode = fault.how;
        await delay(fault.forMs);
        server.failureMode = undefined;
      });
    case 'serverLimits':
      return announceServerLimit(world, fault);
    case 'serverSaysLeaving':
      return withServerFault(record, () => drainByStatement(world, record, fault));
    case 'serverRests':
      return withServerFault(record, () => requestPause(world, fault));
    case 'crashingCaller':
      world.crashingIntervalMs = fault.everyMs;
      return;
    case 'configure':
      return publishNextConfiguration(world, record);
    case 'revokeKey': {
      const [oldest, ...others] = [...world.keys, `key-${world.version + 1}`];
      world.keys = others;
      publishNextConfiguration(world, record);
      if (oldest !== undefined) record.revokedAtMs.set(oldest, performance.now());
      return;
    }
  }
}

function publishNextConfiguration(world: SoakWorld, record: SoakRecord): void {
  configure(world);
  record.configuredAtMs.set(world.version, performance.now());
}

/**
 * Restores the store from a backup; the operator and the servers repeat the writes that were lost.
 */
async function restoreStore(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'storeCopy' }>,
): Promise<void> {
  const { store } = world;
  store.goDown();
  await delay(fault.forMs);
  const lostWrites = store.restoreFromBackup(fault.ageMs);
  const random = createRandom(fault.ageMs);
  const writes = lostWrites.map(async ({ table, isRemoval, again }) => {
    const afterMs = isRemoval ? ENTRY_LIFETIME_MS : random.unit() * fault.againWithinMs;
    if (afterMs > 0) await delay(afterMs);
    again();
    // The guarantee counts from the repeated write, as the store lost the first one.
    if (table === 'op') record.configuredAtMs.set(world.version, performance.now());
  });
  store.skipVersions(fault.otherWrites);
  await Promise.all(writes);
}

/** Records a fault for the boxes from now until `inject` resolves. */
async function withBoxFault(
  record: SoakRecord,
  boxes: readonly number[],
  inject: () => Promise<void>,
): Promise<void> {
  const span = startSpan();
  addSpan(record.troubles, boxes, span);
  await inject();
  span.toMs = performance.now();
}

/** Records a fault, and also an interruption, for boxes whose processes pause or end. */
async function withInterruption(
  record: SoakRecord,
  boxes: readonly number[],
  inject: () => Promise<void>,
): Promise<void> {
  const span = startSpan();
  addSpan(record.interruptions, boxes, span);
  await withBoxFault(record, boxes, inject);
  span.toMs = performance.now();
}

function addSpan(spans: Map<number, Span[]>, boxes: readonly number[], span: Span): void {
  for (const box of boxes) spans.set(box, [...(spans.get(box) ?? []), span]);
}

async function withServerFault(record: SoakRecord, inject: () => Promise<void>): Promise<void> {
  const span = startSpan();
  record.serverTroubles.push(span);
  await inject();
  span.toMs = performance.now();
}

function startSpan(): Span {
  return { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY };
}

async function stopBox(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'stopBox' }>,
): Promise<void> {
  const box = world.boxes[fault.box];
  if (box === undefined || !box.process.isRunning()) return;
  const span = startSpan();
  for (const spans of [record.troubles, record.stops, record.interruptions]) {
    addSpan(spans, [fault.box], span);
  }
  box.process.signal('SIGTERM');
  await box.process.ended();
  await delay(fault.backAfterMs);
  box.process.start();
  span.toMs = performance.now();
}

async function killBoxes(
  world: SoakWorld,
  boxIndexes: readonly number[],
  backAfterMs: number,
): Promise<void> {
  const killed = boxIndexes
    .map((boxIndex) => world.boxes[boxIndex])
    .filter((box) => box !== undefined);
  for (const { process } of killed) process.signal('SIGKILL');
  await Promise.all(killed.map(({ process }) => process.ended()));
  await delay(backAfterMs);
  for (const { process } of killed) process.start();
}

/** Crashes a server while it runs the crashing request, then restarts it under its id. */
export async function crashUnderRequest(
  world: SoakWorld,
  record: SoakRecord,
  server: SoakServer,
): Promise<void> {
  const { standin } = server;
  await delay(CRASH_AFTER_MS);
  if (server.standin !== standin || standin.isClosed()) return;
  record.crashesAtMs.push(performance.now());
  const fault = { kind: 'serverRestarts' as const, backAfterMs: CRASH_DOWNTIME_MS };
  await withServerFault(record, () =>
    restartServer(world, record, { ...fault, server: world.servers.indexOf(server) }),
  );
}

/** Makes a server announce a limit for `forMs`. Its next incarnation does not announce it. */
async function announceServerLimit(
  world: SoakWorld,
  { server, perSecond, forMs }: Extract<Fault, { kind: 'serverLimits' }>,
): Promise<void> {
  const standin = world.servers[server]?.standin;
  if (standin === undefined) return;
  standin.limitPerSecond = perSecond;
  await delay(forMs);
  standin.limitPerSecond = undefined;
}

/**
 * Makes a server announce in its responses that it is draining. It continues to serve, then
 * restarts under its id.
 */
async function drainByStatement(
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

/**
 * Makes a server refuse every request for `forMs` and ask for a pause in its refusals. An
 * incarnation that starts meanwhile refuses too, but asks for no pause.
 */
async function requestPause(
  world: SoakWorld,
  { server, restSeconds, forMs }: Extract<Fault, { kind: 'serverRests' }>,
): Promise<void> {
  const pausedServer = world.servers[server];
  if (pausedServer === undefined) return;
  const { standin } = pausedServer;
  standin.restSeconds = restSeconds;
  pausedServer.failureMode = 'refuse';
  await delay(forMs);
  standin.restSeconds = undefined;
  pausedServer.failureMode = undefined;
}

/**
 * Crashes a server without notice. Its registry entry remains, and its next incarnation has the
 * same id.
 */
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
  // Another fault may have ended this incarnation meanwhile.
  if (server.standin === standin && !record.leftAtMs.has(standin.id)) {
    await startNextIncarnation(world, server, true);
  }
}

function registerInvalidEntry(world: SoakWorld, entryIndex: number): void {
  const value = INVALID_ENTRIES[entryIndex % INVALID_ENTRIES.length];
  enterMalformedServer(world.store, `odd-${entryIndex}`, value);
}

/** Crashes or drains a server, then starts its next incarnation under a new id. */
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
      record.leftAtMs.set(standin.id, performance.now() + ENTRY_LIFETIME_MS);
      await delay(ENTRY_LIFETIME_MS);
      break;
    case 'serverLeaves':
      standin.saysLeaving = true;
      registerServer(world, server, true);
      record.leftAtMs.set(standin.id, performance.now());
      await delay(DRAIN_TIME_MS);
      standin.close();
      break;
  }
  removeServerEntry(world.store, standin.id);
  await delay(fault.backAfterMs);
  await startNextIncarnation(world, server, false);
}
