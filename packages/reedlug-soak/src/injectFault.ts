/** Injects planned faults and records which boxes and servers they affect, and for how long. */
import { setTimeout as delay } from 'node:timers/promises';
import { isPollOf } from 'reedlug-platform/standins';
import { createRandom } from 'reedlug-standins';
import type { Fault } from './fault.js';
import {
  addSpan,
  startSpan,
  withBoxFault,
  withInterruption,
  withServerFault,
} from './faultSpans.js';
import {
  announceServerLimit,
  drainByStatement,
  ENTRY_LIFETIME_MS,
  registerInvalidEntry,
  replaceServer,
  requestPause,
  restartServer,
} from './serverFaults.js';
import { COLLECT_SIGNAL, JOIN_SIGNAL, SEPARATE_SIGNAL } from './linkVariables.js';
import type { SoakRecord } from './soakRecord.js';
import { configure } from './buildWorld.js';
import type { SoakBox, SoakWorld } from './soakWorld.js';
import { endVersion, replaceVersion, resetConnections, swapVersion } from './versionFaults.js';

/**
 * Seed that decides which responses of the store are lost. It is fixed, so that the choice depends
 * only on their order.
 */
const LOST_ANSWERS_SEED = 1;

/** Time from a loss to the collection of memory, in ms: the calls that follow it are open. */
const COLLECTION_DELAY_MS = 100;

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
    case 'killBoxes':
      return withInterruption(record, fault.boxes, () =>
        killBoxes(world, fault.boxes, fault.backAfterMs),
      );
    case 'boxesApart':
      return withBoxFault(record, [...world.boxes.keys()], async () => {
        for (const { process } of world.boxes) process.signal(SEPARATE_SIGNAL);
        await delay(fault.forMs);
        for (const { process } of world.boxes) process.signal(JOIN_SIGNAL);
      });
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
    case 'serversPartitioned':
      return partitionBoxes(world, record, fault);
    case 'serverStalls':
      return withServerFault(record, async () => {
        const proxy = world.servers[fault.server]?.proxy;
        proxy?.setStalled(true);
        await delay(fault.forMs);
        proxy?.setStalled(false);
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
    case 'pollLost':
      return loseInBoxes(world, fault.boxes, ({ storeLink }) =>
        storeLink.loseNextAnswer((line) => isPollOf(line, fault.feed)),
      );
    case 'storeConnectionsSilent':
      return loseInBoxes(world, fault.boxes, ({ storeLink }) => storeLink.silenceOpenConnections());
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
    case 'serverResets':
      return withServerFault(record, () => resetConnections(world, fault));
    case 'versionEnds':
      return withServerFault(record, () => endVersion(world, record, fault));
    case 'versionSwapped':
      return withServerFault(record, () => swapVersion(world, record, fault));
    case 'versionReplaced':
      return withServerFault(record, () => replaceVersion(world, record, fault));
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

/** Applies a loss at each of the boxes, whose memory is collected while they wait. */
async function loseInBoxes(
  world: SoakWorld,
  indexes: readonly number[],
  lose: (box: SoakBox) => void,
): Promise<void> {
  const boxes = indexes.map((index) => world.boxes[index]).filter((box) => box !== undefined);
  boxes.forEach(lose);
  await delay(COLLECTION_DELAY_MS);
  for (const { process } of boxes) process.signal(COLLECT_SIGNAL);
}

/** Partitions boxes from the first servers of each service. */
async function partitionBoxes(
  world: SoakWorld,
  record: SoakRecord,
  { boxes, share, how, forMs }: Extract<Fault, { kind: 'serversPartitioned' }>,
): Promise<void> {
  const isPartitioned = record.partitions.some(({ toMs }) => toMs === Number.POSITIVE_INFINITY);
  if (isPartitioned) return;
  const partitioned = world.boxes.filter((_, box) => boxes.includes(box));
  const ports = [...new Set(world.servers.map(({ service }) => service))].flatMap((service) => {
    const ofService = world.servers.filter((server) => server.service === service);
    return ofService.slice(0, Math.ceil(share * ofService.length)).map(({ proxy }) => proxy.port);
  });
  const span = { ...startSpan(), boxes: new Set(boxes) };
  record.partitions.push(span);
  await Promise.all(partitioned.map(({ serverLinks }) => serverLinks.partition(how, ports)));
  await delay(forMs);
  await Promise.all(partitioned.map(({ serverLinks }) => serverLinks.heal()));
  span.toMs = performance.now();
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
  const writes = lostWrites.map(async ({ isByOperator, isRemoval, again }) => {
    const afterMs = isRemoval ? ENTRY_LIFETIME_MS : random.unit() * fault.againWithinMs;
    if (afterMs > 0) await delay(afterMs);
    again();
    // The guarantee counts from the repeated write, as the store lost the first one.
    if (isByOperator) record.configuredAtMs.set(world.version, performance.now());
  });
  store.skipVersions(fault.otherWrites);
  await Promise.all(writes);
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
  const ended = box.process.ended();
  if (fault.againAfterMs !== undefined) {
    await delay(fault.againAfterMs);
    box.process.signal('SIGTERM');
  }
  await ended;
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
