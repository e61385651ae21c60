/** Carries a planned fault out on the world and writes down whom it troubles, and how long. */
import { createRandom } from 'reedlug-check';
import type { Fault } from './faultPlan.js';
import type { SoakRecord, Span } from './soakRecord.js';
import { configure, crash, dropEntry, enter, revive, type SoakWorld } from './soakWorld.js';

/** How long a crashed server's entry stays, in ms: three heartbeats of the users' servers. */
const ENTRY_STAYS_MS = 1200;
/** How long a leaving server still serves, in ms: the users' bound and a little more. */
const LEAVES_AFTER_MS = 2600;

/** Seed of the draws of lost answers: which ones are lost depends on their order alone. */
const LOST_ANSWERS_SEED = 1;

const later = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Carries a fault out; resolves once it is over. */
export async function injectFault(
  world: SoakWorld,
  record: SoakRecord,
  fault: Fault,
): Promise<void> {
  switch (fault.kind) {
    case 'pauseBox':
      return troubling(record, [fault.box], async () => {
        world.boxes[fault.box]?.process.signal('SIGSTOP');
        await later(fault.forMs);
        world.boxes[fault.box]?.process.signal('SIGCONT');
      });
    case 'stopBox':
      return stopBox(world, record, fault);
    case 'killBox':
      return troubling(record, [fault.box], () => killBoxes(world, [fault.box], fault.backAfterMs));
    case 'killAllBoxes': {
      const all = [...world.boxes.keys()];
      return troubling(record, all, () => killBoxes(world, all, fault.backAfterMs));
    }
    case 'storeLink':
      return troubling(record, [fault.box], async () => {
        world.boxes[fault.box]?.storeLink.set(fault.how);
        await later(fault.forMs);
        world.boxes[fault.box]?.storeLink.set(undefined);
      });
    case 'serverLink':
      return troublingServers(record, async () => {
        world.servers[fault.server]?.proxy.set(fault.how);
        await later(fault.forMs);
        world.servers[fault.server]?.proxy.set(undefined);
      });
    case 'storeAway':
      return troubling(record, [...world.boxes.keys()], async () => {
        world.store.isAway = true;
        await later(fault.forMs);
        world.store.isAway = false;
      });
    case 'storeSlow':
      return troubling(record, [...world.boxes.keys()], async () => {
        world.store.delayMs = fault.delayMs;
        await later(fault.forMs);
        world.store.delayMs = 0;
      });
    case 'storeLosesAnswers':
      return troubling(record, [...world.boxes.keys()], async () => {
        const random = createRandom(LOST_ANSWERS_SEED);
        world.store.losesAnswer = () => random.chance(fault.share);
        await later(fault.forMs);
        world.store.losesAnswer = () => false;
      });
    case 'serverCrash':
      return troublingServers(record, () => crashServer(world, record, fault));
    case 'serverLeaves':
      return troublingServers(record, () => leave(world, record, fault));
    case 'serverFails':
      return troublingServers(record, async () => {
        const server = world.servers[fault.server];
        if (server === undefined) return;
        server.failing = fault.how;
        await later(fault.forMs);
        server.failing = undefined;
      });
    case 'configure':
      configure(world);
      record.configuredAtMs.set(world.version, performance.now());
      return;
    case 'revokeKey': {
      const [oldest, ...others] = [...world.keys, `key-${world.version + 1}`];
      world.keys = others;
      configure(world);
      record.configuredAtMs.set(world.version, performance.now());
      if (oldest !== undefined) record.revokedAtMs.set(oldest, performance.now());
      return;
    }
  }
}

/** Notes boxes as troubled from now until the fault is over. */
async function troubling(
  record: SoakRecord,
  boxes: readonly number[],
  act: () => Promise<void>,
): Promise<void> {
  const span = openSpan();
  for (const box of boxes) {
    record.troubles.set(box, [...(record.troubles.get(box) ?? []), span]);
  }
  await act();
  span.toMs = performance.now();
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
  for (const spans of [record.troubles, record.stops]) {
    spans.set(fault.box, [...(spans.get(fault.box) ?? []), span]);
  }
  box.process.signal('SIGTERM');
  await box.process.ended();
  await later(fault.backAfterMs);
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
  await later(backAfterMs);
  for (const { process } of killed) process.start();
}

async function crashServer(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverCrash' }>,
): Promise<void> {
  const server = world.servers[fault.server];
  if (server === undefined || record.leftAtMs.has(server.standin.id)) return;
  const id = crash(world, server);
  record.leftAtMs.set(id, performance.now() + ENTRY_STAYS_MS);
  await later(ENTRY_STAYS_MS);
  dropEntry(world, id);
  await later(fault.backAfterMs);
  await revive(world, server);
}

async function leave(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverLeaves' }>,
): Promise<void> {
  const server = world.servers[fault.server];
  if (server === undefined || record.leftAtMs.has(server.standin.id)) return;
  const { id } = server.standin;
  enter(world, server, true);
  record.leftAtMs.set(id, performance.now());
  await later(LEAVES_AFTER_MS);
  crash(world, server);
  dropEntry(world, id);
  await later(fault.backAfterMs);
  await revive(world, server);
}
