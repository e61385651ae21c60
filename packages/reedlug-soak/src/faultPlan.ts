/** Generates the faults of a run from its seed. Faults follow one another and may overlap. */
import { BoundedFeed } from 'reedlug-platform/standins';
import { createRandom, type Random } from 'reedlug-standins';
import { firstBoxes, LinkFault, Partition, type Fault, type PlannedFault } from './fault.js';

/**
 * Mean interval between the starts of faults, in ms; short enough that most faults overlap another
 * one.
 */
const MEAN_FAULT_INTERVAL_MS = 900;
/** Range of the duration of a fault, in ms. It spans the time bounds of the guarantees. */
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 4000;
/**
 * Time at the end of a run in which no fault starts, in ms, so that faults and requests in progress
 * can finish.
 */
const FAULT_FREE_END_MS = 3000;

/**
 * Probability that a run has a caller whose request crashes servers, and the range of its interval,
 * in ms.
 */
const CRASHING_CALLER_PROBABILITY = 0.5;
const MIN_CRASHING_INTERVAL_MS = 200;
const MAX_CRASHING_INTERVAL_MS = 1500;

/**
 * Probability that servers announce limits in a run, maximum number of them, and the limits, in
 * requests per second.
 */
const SERVER_LIMIT_PROBABILITY = 0.6;
const MAX_LIMITED_SERVERS = 3;
const SERVER_LIMITS: readonly number[] = [0, 0.4, 1, 1.2, 3];

/**
 * Probability that servers announce in a run, in responses alone, that they are draining or need a
 * pause, maximum number of such faults, and the header values of the pauses, in seconds. Some
 * values are malformed or extreme.
 */
const STATEMENT_PROBABILITY = 0.7;
const MAX_STATEMENT_FAULTS = 4;
const PAUSE_SECONDS: readonly string[] = [
  '0.2',
  '1',
  '3',
  '6',
  '10',
  '60',
  '1000000000',
  'soon',
  '-1',
];

/**
 * Probability that the store is restored from backups in a run, maximum number of restores, and the
 * range of the age of the backups, in ms.
 */
const RESTORE_PROBABILITY = 0.7;
const MAX_RESTORES = 3;
const MIN_BACKUP_AGE_MS = 500;
const MAX_BACKUP_AGE_MS = 10_000;

/** Probability that servers stall in a run, maximum number of stalls, and the longest, in ms. */
const STALL_PROBABILITY = 0.5;
const MAX_STALLS = 3;
const MAX_STALL_MS = 1200;

/**
 * Probability that boxes are partitioned from servers in a run, maximum number of partitions, the shares
 * of the servers, and the maximum duration, in ms. It spans the time by which boxes have recovered.
 */
const PARTITION_PROBABILITY = 0.7;
const MAX_PARTITIONS = 2;
const PARTITION_SHARES: readonly number[] = [0.34, 0.5, 1, 1];
const MAX_PARTITION_MS = 8000;

/** Probability that answers of the store are lost in a run as it changes, and maximum number of such moments. */
const LOST_ANSWER_PROBABILITY = 0.7;
const MAX_LOST_ANSWERS = 4;

const SKIPPED_RANDOM_VALUES = 32;

/** Returns the random numbers of a plan. Neighbouring seeds give similar first values, so these are skipped. */
export function createPlanRandom(seed: number): Random {
  const random = createRandom(seed);
  for (let index = 0; index < SKIPPED_RANDOM_VALUES; index += 1) random.unit();
  return random;
}

/** Generates the faults of a run; the same seed always gives the same faults. */
export function planFaults(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
  /** Number of availability zones, to which boxes belong in turn; two if omitted. */
  zones?: number;
  servers: number;
}): PlannedFault[] {
  const { seed, lengthMs, boxes, zones = 2, servers } = params;
  const random = createPlanRandom(seed);
  const planned: PlannedFault[] = [];
  let atMs = random.exponential(MEAN_FAULT_INTERVAL_MS);
  while (atMs < lengthMs - FAULT_FREE_END_MS) {
    const box = random.whole(0, boxes - 1);
    const server = random.whole(0, servers - 1);
    planned.push({ atMs: Math.round(atMs), fault: generateFault(random, box, server) });
    atMs += random.exponential(MEAN_FAULT_INTERVAL_MS);
  }
  // Generated last, so that each seed keeps its sequence of the faults above.
  if (random.chance(CRASHING_CALLER_PROBABILITY))
    planned.push(generateCrashingCaller(random, lengthMs));
  if (random.chance(SERVER_LIMIT_PROBABILITY))
    planned.push(...generateServerLimits(random, lengthMs, servers));
  if (random.chance(STATEMENT_PROBABILITY))
    planned.push(...generateServerStatements(random, lengthMs, servers));
  if (random.chance(RESTORE_PROBABILITY)) planned.push(...generateStoreRestores(random, lengthMs));
  if (random.chance(STALL_PROBABILITY)) planned.push(...generateStalls(random, lengthMs, servers));
  if (random.chance(PARTITION_PROBABILITY)) {
    planned.push(...generatePartitions(random, lengthMs, boxes));
  }
  if (random.chance(LOST_ANSWER_PROBABILITY)) {
    planned.push(...generateLostAnswers(random, { lengthMs, boxes, servers }));
  }
  // Runs with two zones keep the faults of their seeds.
  if (zones > 2) planned.push(generateZonePartition(random, { lengthMs, boxes, zones }));
  return planned;
}

function generateCrashingCaller(random: Random, lengthMs: number): PlannedFault {
  const everyMs = random.whole(MIN_CRASHING_INTERVAL_MS, MAX_CRASHING_INTERVAL_MS);
  const atMs = Math.round((random.unit() * lengthMs) / 3);
  return { atMs, fault: { kind: 'crashingCaller', everyMs } };
}

function generateServerLimits(random: Random, lengthMs: number, servers: number): PlannedFault[] {
  return Array.from({ length: random.whole(1, MAX_LIMITED_SERVERS) }, () => {
    const atMs = Math.round((random.unit() * lengthMs) / 3);
    const server = random.whole(0, servers - 1);
    const perSecond = random.pick(SERVER_LIMITS);
    const forMs = Math.round((lengthMs - atMs) * (0.5 + random.unit() / 2));
    return { atMs, fault: { kind: 'serverLimits', server, perSecond, forMs } };
  });
}

function generateServerStatements(
  random: Random,
  lengthMs: number,
  servers: number,
): PlannedFault[] {
  return Array.from({ length: random.whole(1, MAX_STATEMENT_FAULTS) }, () => {
    const atMs = Math.round(random.unit() * (lengthMs - FAULT_FREE_END_MS));
    const server = random.whole(0, servers - 1);
    const forMs = random.whole(MIN_FAULT_MS, MAX_FAULT_MS);
    const fault: Fault = random.chance(0.5)
      ? {
          kind: 'serverSaysLeaving',
          server,
          forMs: forMs + MAX_FAULT_MS,
          backAfterMs: MIN_FAULT_MS,
        }
      : { kind: 'serverRests', server, restSeconds: random.pick(PAUSE_SECONDS), forMs };
    return { atMs, fault };
  });
}

function generateStoreRestores(random: Random, lengthMs: number): PlannedFault[] {
  return Array.from({ length: random.whole(1, MAX_RESTORES) }, () => {
    const atMs = Math.round(random.unit() * (lengthMs - 2 * FAULT_FREE_END_MS));
    const fault: Fault = {
      kind: 'storeCopy',
      ageMs: random.whole(MIN_BACKUP_AGE_MS, MAX_BACKUP_AGE_MS),
      forMs: random.chance(0.3) ? random.whole(0, MAX_FAULT_MS) : random.whole(0, MIN_FAULT_MS * 3),
      againWithinMs: random.pick([0, 200, 1200]),
      otherWrites: random.pick([0, 3, 30, 500]),
    };
    return { atMs, fault };
  });
}

function generateStalls(random: Random, lengthMs: number, servers: number): PlannedFault[] {
  return Array.from({ length: random.whole(1, MAX_STALLS) }, () => ({
    atMs: Math.round(random.unit() * (lengthMs - FAULT_FREE_END_MS)),
    fault: {
      kind: 'serverStalls' as const,
      server: random.whole(0, servers - 1),
      forMs: random.whole(MIN_FAULT_MS, MAX_STALL_MS),
    },
  }));
}

function generatePartitions(random: Random, lengthMs: number, boxes: number): PlannedFault[] {
  return Array.from({ length: random.whole(1, MAX_PARTITIONS) }, () => ({
    atMs: Math.round(random.unit() * (lengthMs - 2 * FAULT_FREE_END_MS)),
    fault: {
      kind: 'serversPartitioned' as const,
      boxes: firstBoxes(random.whole(1, boxes)),
      share: random.pick(PARTITION_SHARES),
      how: random.pick(Object.values(Partition)),
      forMs: random.whole(MIN_FAULT_MS, MAX_PARTITION_MS),
    },
  }));
}

/** Returns a partition of all boxes of a zone, of all but one zone, or of a part of one. */
function generateZonePartition(
  random: Random,
  { lengthMs, boxes, zones }: { lengthMs: number; boxes: number; zones: number },
): PlannedFault {
  const zone = random.whole(0, zones - 1);
  const inZone = (box: number): boolean => box % zones === zone;
  const chosen = random.pick([
    (box: number) => inZone(box),
    (box: number) => !inZone(box),
    (box: number) => inZone(box) && box % (2 * zones) < zones,
  ]);
  return {
    atMs: Math.round(random.unit() * (lengthMs - MAX_PARTITION_MS)),
    fault: {
      kind: 'serversPartitioned',
      boxes: firstBoxes(boxes).filter(chosen),
      share: 1,
      how: random.pick(Object.values(Partition)),
      forMs: random.whole(MAX_PARTITION_MS / 2, MAX_PARTITION_MS),
    },
  };
}

/** Returns moments at which boxes lose what the store tells them of a change. */
function generateLostAnswers(
  random: Random,
  { lengthMs, boxes, servers }: { lengthMs: number; boxes: number; servers: number },
): PlannedFault[] {
  return Array.from({ length: random.whole(1, MAX_LOST_ANSWERS) }, () => {
    const atMs = Math.round(random.unit() * (lengthMs - FAULT_FREE_END_MS));
    const affected = random.chance(0.5) ? firstBoxes(boxes) : [random.whole(0, boxes - 1)];
    const server = random.whole(0, servers - 1);
    const leave: Fault = { kind: 'serverLeaves', server, backAfterMs: 500, onlyListed: true };
    const isLeave = random.chance(0.5);
    const change: Fault = isLeave ? leave : { kind: random.pick(['configure', 'revokeKey']) };
    const feed = isLeave ? BoundedFeed.servers : BoundedFeed.operators;
    const loss: Fault = random.chance(0.5)
      ? { kind: 'pollLost', boxes: affected, feed }
      : { kind: 'storeConnectionsSilent', boxes: affected };
    return [loss, change].map((fault) => ({ atMs, fault }));
  }).flat();
}

function generateFault(random: Random, box: number, server: number): Fault {
  const forMs = random.whole(MIN_FAULT_MS, MAX_FAULT_MS);
  const how = random.pick(Object.values(LinkFault));
  const kinds: readonly (() => Fault)[] = [
    () => ({ kind: 'pauseBox', box, forMs }),
    () => ({ kind: 'stopBox', box, backAfterMs: forMs }),
    () => ({ kind: 'stopBox', box, backAfterMs: forMs }),
    () => ({ kind: 'killBox', box, backAfterMs: forMs }),
    () => ({ kind: 'killAllBoxes', backAfterMs: MIN_FAULT_MS }),
    () => ({ kind: 'storeLink', box, how, forMs }),
    () => ({ kind: 'storeLink', box, how, forMs }),
    () => ({ kind: 'serverLink', server, how, forMs }),
    () => ({ kind: 'storeAway', forMs }),
    () => ({ kind: 'storeSlow', delayMs: random.whole(50, 400), forMs }),
    () => ({ kind: 'storeLosesAnswers', share: random.unit(), forMs }),
    () => ({ kind: 'serverCrash', server, backAfterMs: forMs }),
    () => ({ kind: 'serverLeaves', server, backAfterMs: forMs }),
    () => ({ kind: 'serverRestarts', server, backAfterMs: forMs }),
    () => ({ kind: 'oddEntry', odd: random.whole(0, 99) }),
    () => ({ kind: 'serverFails', server, how: random.pick(['fail', 'lose', 'refuse']), forMs }),
    () => ({ kind: 'configure' }),
    () => ({ kind: 'configure' }),
    () => ({ kind: 'revokeKey' }),
  ];
  return random.pick(kinds)();
}
