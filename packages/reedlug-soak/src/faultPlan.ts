/** The faults of a run, drawn from its seed: in series, and over one another. */
import { createRandom, type Random } from 'reedlug-standins';

/** How a link misbehaves. */
export const LinkFault = {
  /** Nothing comes through either way; connections stay open. */
  silent: 'silent',
  /** Bytes go out, but nothing comes back. */
  oneWay: 'oneWay',
  /** Open connections are reset and new ones too. */
  reset: 'reset',
  /** Every byte comes late. */
  slow: 'slow',
} as const;
export type LinkFault = (typeof LinkFault)[keyof typeof LinkFault];

/** A fault or a planned change; boxes and servers are named by their number. */
export type Fault =
  | { kind: 'pauseBox'; box: number; forMs: number }
  | { kind: 'stopBox'; box: number; backAfterMs: number }
  | { kind: 'killBox'; box: number; backAfterMs: number }
  | { kind: 'killAllBoxes'; backAfterMs: number }
  | { kind: 'storeLink'; box: number; how: LinkFault; forMs: number }
  | { kind: 'serverLink'; server: number; how: LinkFault; forMs: number }
  | { kind: 'storeAway'; forMs: number }
  /** It is away, and comes back from a copy of so long before; others use versions up at its return. */
  | { kind: 'storeCopy'; ageMs: number; forMs: number; againWithinMs: number; otherWrites: number }
  | { kind: 'storeSlow'; delayMs: number; forMs: number }
  | { kind: 'storeLosesAnswers'; share: number; forMs: number }
  | { kind: 'serverCrash'; server: number; backAfterMs: number }
  /** Its next life has its id. */
  | { kind: 'serverRestarts'; server: number; backAfterMs: number }
  /** Another writer's entry of the registry; `odd` is one of those that the injection knows. */
  | { kind: 'oddEntry'; odd: number }
  | { kind: 'serverLeaves'; server: number; backAfterMs: number }
  | { kind: 'serverFails'; server: number; how: 'fail' | 'lose' | 'refuse'; forMs: number }
  /** From now on a caller sends a request under which servers end, over and over. */
  | { kind: 'crashingCaller'; everyMs: number }
  /** It names a limit of requests a second in its answers. */
  | { kind: 'serverLimits'; server: number; perSecond: number; forMs: number }
  /** It says in its answers alone that it leaves, and begins another life under its id after a while. */
  | { kind: 'serverSaysLeaving'; server: number; forMs: number; backAfterMs: number }
  /** It refuses everything for a while and asks for rest; the value stands on the wire as it is. */
  | { kind: 'serverRests'; server: number; restSeconds: string; forMs: number }
  | { kind: 'configure' }
  | { kind: 'revokeKey' };

/** A fault with its time from the start of the load. */
export interface PlannedFault {
  atMs: number;
  fault: Fault;
}

/** Mean pause between faults, in ms: most overlap another one. */
const MEAN_FAULT_INTERVAL_MS = 900;
/** Length of a fault, in ms: around the bounds that the promises name. */
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 4000;
/** Quiet time at the end of a run, in ms, in which what is open ends. */
const FAULT_FREE_END_MS = 3000;

/** Share of the runs with a caller under whose request servers end, and how often it comes, in ms. */
const CRASHING_CALLER_PROBABILITY = 0.5;
const MIN_CRASHING_INTERVAL_MS = 200;
const MAX_CRASHING_INTERVAL_MS = 1500;

/** Share of the runs in which servers name limits, how many do at most, and the limits, in requests a second. */
const SERVER_LIMIT_PROBABILITY = 0.6;
const MAX_LIMITED_SERVERS = 3;
const SERVER_LIMITS: readonly number[] = [0, 0.4, 1, 1.2, 3];

/** Share of the runs in which servers leave or rest by their answers alone, how many do, and the rests. */
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

/** Share of the runs in which the store comes back from copies, how often at most, and how old those are, in ms. */
const RESTORE_PROBABILITY = 0.7;
const MAX_RESTORES = 3;
const MIN_BACKUP_AGE_MS = 500;
const MAX_BACKUP_AGE_MS = 10_000;

const SKIPPED_RANDOM_VALUES = 32;

/** Draws the faults of a run. */
export function planFaults(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
  servers: number;
}): PlannedFault[] {
  const { seed, lengthMs, boxes, servers } = params;
  const random = createRandom(seed);
  // The first draws of neighbouring seeds are alike.
  for (let index = 0; index < SKIPPED_RANDOM_VALUES; index += 1) random.unit();
  const planned: PlannedFault[] = [];
  let atMs = random.exponential(MEAN_FAULT_INTERVAL_MS);
  while (atMs < lengthMs - FAULT_FREE_END_MS) {
    const box = random.whole(0, boxes - 1);
    const server = random.whole(0, servers - 1);
    planned.push({ atMs: Math.round(atMs), fault: generateFault(random, box, server) });
    atMs += random.exponential(MEAN_FAULT_INTERVAL_MS);
  }
  // Drawn last, so that the other faults of a seed stay what they were.
  if (random.chance(CRASHING_CALLER_PROBABILITY))
    planned.push(generateCrashingCaller(random, lengthMs));
  if (random.chance(SERVER_LIMIT_PROBABILITY))
    planned.push(...generateServerLimits(random, lengthMs, servers));
  if (random.chance(STATEMENT_PROBABILITY))
    planned.push(...generateServerStatements(random, lengthMs, servers));
  if (random.chance(RESTORE_PROBABILITY)) planned.push(...generateStoreRestores(random, lengthMs));
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
