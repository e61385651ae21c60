/** Callers of streams whose prompts share parts, one of which crashes the servers that answer it. */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, type Random } from 'reedlug-standins';
import { createPlanRandom } from './faultPlan.js';
import type { SoakRecord } from './soakRecord.js';
import { CRASHING_PART } from './soakServers.js';
import type { SoakWorld } from './soakWorld.js';
import { callStream } from './streamCallers.js';

/** Load of streams with prompt parts. */
export interface PartLoad {
  soundPerSecond: number;
  /** Streams with the part that crashes servers; none if 0. */
  crashingPerSecond: number;
  /** Number of such streams that come at one moment. */
  copies?: number;
  /** Where their prompts hold the part. */
  position: 'first' | 'middle';
  /** Time until a server writes the first event of a stream, in ms. */
  firstEventMs: number;
  /** Whether the answers end with their connections. */
  endsWithConnection?: boolean;
  /** Largest number of attempts of a caller of such a stream. */
  crashingTries?: number;
}

/** Share of drawn loads without the part, with several copies at a moment, with slow first events, and whose answers end with their connections. */
const SOUND_PROBABILITY = 0.2;
const COPIES_PROBABILITY = 0.3;
const SLOW_PROBABILITY = 0.3;
const ENDS_WITH_CONNECTION_PROBABILITY = 0.3;
/** Time until the first event of a stream, usually and if it is slow, in ms. */
const FIRST_EVENT_MS = 80;
const SLOW_FIRST_EVENT_MS = 500;

/** Returns a load drawn from the seed. */
export function drawPartLoad(seed: number, soundPerSecond: number): PartLoad {
  const random = createPlanRandom(seed + 11);
  return {
    soundPerSecond,
    crashingPerSecond: random.chance(SOUND_PROBABILITY) ? 0 : 1 + random.unit() * 4,
    copies: random.chance(COPIES_PROBABILITY) ? random.whole(2, 10) : 1,
    position: random.pick(['first', 'middle']),
    firstEventMs: random.chance(SLOW_PROBABILITY) ? SLOW_FIRST_EVENT_MS : FIRST_EVENT_MS,
    endsWithConnection: random.chance(ENDS_WITH_CONNECTION_PROBABILITY),
    crashingTries: random.whole(1, 4),
  };
}

/** Number of different middle parts of the prompts. */
const MIDDLE_PARTS = 4;

/** Parts of a load in progress. */
interface PartContext {
  world: SoakWorld;
  record: SoakRecord;
  endMs: number;
  seed: number;
}

/** Calls streams with prompt parts at random boxes. */
export async function callPartStreams(context: PartContext, load: PartLoad): Promise<void> {
  const { soundPerSecond, crashingPerSecond, copies = 1 } = load;
  const series = [
    callSeries(context, load, { perSecond: soundPerSecond, copies: 1, isCrashing: false }),
  ];
  if (crashingPerSecond > 0) {
    series.push(
      callSeries(context, load, { perSecond: crashingPerSecond, copies, isCrashing: true }),
    );
  }
  await Promise.all(series);
}

async function callSeries(
  { world, record, endMs, seed }: PartContext,
  load: PartLoad,
  { perSecond, copies, isCrashing }: { perSecond: number; copies: number; isCrashing: boolean },
): Promise<void> {
  const name = isCrashing ? 'x' : 'p';
  const random = createRandom(seed + name.charCodeAt(0));
  const pending: Promise<void>[] = [];
  for (let number = 0; performance.now() < endMs; number += copies) {
    const intervalMs = (1000 * copies) / perSecond;
    await delay(copies > 1 ? intervalMs : random.exponential(intervalMs));
    for (let copy = 0; copy < copies; copy += 1) {
      const called = callStream({
        name: `${name}${seed}-${number + copy}`,
        key: world.keys.at(-1) ?? '',
        targets: world.boxes.map(({ target }) => target),
        leavesAfterEvents: undefined,
        promptParts: promptPartsOf(random, number + copy, isCrashing ? load.position : undefined),
        maxTries: isCrashing ? (load.crashingTries ?? 1) : undefined,
        random,
      });
      pending.push(called.then((stream) => void record.partStreams.push({ isCrashing, stream })));
    }
  }
  await Promise.all(pending);
}

/** Returns the parts of a prompt as on the wire; the last one is its own. */
function promptPartsOf(
  random: Random,
  number: number,
  crashingAt: PartLoad['position'] | undefined,
): string {
  const shared = ['aa01:300', `bb0${random.whole(1, MIDDLE_PARTS)}:200`];
  const crashing = `${CRASHING_PART}:150`;
  if (crashingAt === 'first') shared.unshift(crashing);
  if (crashingAt === 'middle') shared.push(crashing);
  return [...shared, `cc${number.toString(16)}:100`].join(',');
}
