/** Generates faults and changes of software versions from a seed, in addition to the other faults of a run. */
import type { Random } from 'reedlug-standins';
import { createPlanRandom } from './faultPlan.js';
import type { Fault, PlannedFault } from './fault.js';

/** Mean interval between the starts of these faults, in ms. */
const MEAN_INTERVAL_MS = 1500;
/** Times at the start of a run without losses of all boxes, and at its end in which no fault starts, in ms. */
const FAULT_FREE_START_MS = 2000;
const FAULT_FREE_END_MS = 3000;
/** Range of the duration of a fault, in ms. */
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 3000;
/** Interval of the resets of a server, and between servers that are replaced, in ms. */
const RESET_INTERVAL_MS = 400;
const REPLACEMENT_INTERVAL_MS = 500;
/** Maximum number of losses of all boxes in a run, their mean interval, and the range of the time until the boxes start, in ms. */
const MAX_LOSSES = 3;
const MEAN_LOSS_INTERVAL_MS = 3000;
const MIN_LOSS_MS = 100;
const MAX_LOSS_MS = 1000;
/** Time for which a box process starts, in ms; a version may change until then without a box that sees it. */
const BOX_START_MS = 800;
/** Time before a loss at which a version may come up, in ms, too short for the boxes to write what they saw. */
const SHORTLY_BEFORE_MS = 60;
/** Seeds of other plans differ from this one by their offset. */
const SEED_OFFSET = 1000;

/** Returns software versions for servers in turn: of one to many servers each. */
export function drawVersions(seed: number): readonly string[] {
  const random = createPlanRandom(seed + SEED_OFFSET);
  return random.pick([
    ['v1', 'v2'],
    ['v1', 'v1', 'v2'],
    ['v1', 'v1', 'v1', 'v1', 'v1', 'v2'],
    ['v1', 'v2', 'v3'],
    ['v1'],
    ['v1'],
  ]);
}

/** Generates the faults of a run; the same seed always gives the same faults. */
export function planVersionFaults(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
  /** Indexes of the servers with software versions. */
  servers: readonly number[];
}): PlannedFault[] {
  const { seed, lengthMs, boxes, servers } = params;
  const random = createPlanRandom(seed + 2 * SEED_OFFSET);
  const planned: PlannedFault[] = [];
  let nextVersion = 4;
  let atMs = random.exponential(MEAN_INTERVAL_MS);
  while (atMs < lengthMs - FAULT_FREE_END_MS) {
    const fault = generateFault(random, { boxes, servers, newVersion: `v${nextVersion}` });
    planned.push({ atMs: Math.round(atMs), fault });
    nextVersion += 1;
    atMs += random.exponential(MEAN_INTERVAL_MS);
  }
  return [...planned, ...planVersionLosses({ seed, lengthMs })];
}

/**
 * Generates losses of all boxes, each with changes of the servers' versions that few boxes or none can see; the same
 * seed always gives the same ones.
 */
export function planVersionLosses({
  seed,
  lengthMs,
}: {
  seed: number;
  lengthMs: number;
}): PlannedFault[] {
  const random = createPlanRandom(seed + 3 * SEED_OFFSET);
  const planned: PlannedFault[] = [];
  const served = [...new Set(drawVersions(seed))];
  let atMs = FAULT_FREE_START_MS;
  for (let loss = random.whole(1, MAX_LOSSES); loss > 0; loss -= 1) {
    atMs += Math.round(random.exponential(MEAN_LOSS_INTERVAL_MS));
    if (atMs > lengthMs - FAULT_FREE_END_MS) return planned;
    const backAfterMs = random.whole(MIN_LOSS_MS, MAX_LOSS_MS);
    const from = random.chance(0.5) ? (served.at(-1) ?? '') : random.pick(served);
    const earlier = served.filter((version) => version !== from);
    const isNew = earlier.length === 0 || random.chance(0.6);
    const to = isNew ? `loss${loss}` : random.pick(earlier);
    const swap = { kind: 'versionSwapped' as const, from, to, keepsId: random.chance(0.5) };
    const meanwhileMs = atMs + random.whole(0, backAfterMs + BOX_START_MS);
    planned.push({ atMs, fault: { kind: 'killAllBoxes', backAfterMs } });
    if (random.chance(0.3)) {
      planned.push({ atMs: atMs - SHORTLY_BEFORE_MS, fault: { ...swap, share: 0.5 } });
    }
    planned.push({ atMs: meanwhileMs, fault: { ...swap, share: random.pick([0.5, 1]) } });
    planned.push(...generateStoreFault(random, atMs));
    served.push(to);
  }
  return planned;
}

/** Returns what happens to the store beside a loss of all boxes, in some cases nothing. */
function generateStoreFault(random: Random, atMs: number): PlannedFault[] {
  const forMs = random.whole(MIN_FAULT_MS, MAX_FAULT_MS);
  const copy = { ageMs: forMs, forMs: MIN_FAULT_MS, againWithinMs: 200, otherWrites: 30 };
  return random.pick<PlannedFault[]>([
    [],
    [],
    [{ atMs, fault: { kind: 'storeSlow', delayMs: MIN_FAULT_MS, forMs } }],
    [{ atMs, fault: { kind: 'storeAway', forMs } }],
    [{ atMs, fault: { kind: 'storeCopy', ...copy } }],
  ]);
}

function generateFault(
  random: Random,
  params: { boxes: number; servers: readonly number[]; newVersion: string },
): Fault {
  const { boxes, servers, newVersion } = params;
  const forMs = random.whole(MIN_FAULT_MS, MAX_FAULT_MS);
  const server = random.pick(servers);
  const version = random.pick(['v1', 'v2', 'v3']);
  const other = random.chance(0.5) ? newVersion : random.pick(['v1', 'v2']);
  const killed = Array.from({ length: boxes }, (_, box) => box).filter(() => random.chance(0.5));
  const kinds: readonly (() => Fault)[] = [
    () => ({ kind: 'killBoxes', boxes: killed, backAfterMs: forMs }),
    () => ({ kind: 'killBoxes', boxes: killed, backAfterMs: MIN_FAULT_MS }),
    () => ({ kind: 'killAllBoxes', backAfterMs: MIN_FAULT_MS }),
    () => ({ kind: 'serverResets', server, everyMs: RESET_INTERVAL_MS, forMs }),
    () => ({ kind: 'serverResets', server, everyMs: RESET_INTERVAL_MS, forMs }),
    () => ({ kind: 'versionEnds', version, backAs: other }),
    () => ({
      kind: 'versionReplaced',
      from: version,
      to: newVersion,
      everyMs: REPLACEMENT_INTERVAL_MS,
    }),
    () => ({ kind: 'boxesApart', forMs }),
    () => ({ kind: 'serverRestarts', server, backAfterMs: random.whole(0, forMs), version: other }),
    () => ({ kind: 'serverRestarts', server, backAfterMs: 0, version: other }),
  ];
  return random.pick(kinds)();
}
