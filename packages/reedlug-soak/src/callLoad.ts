/** Load of requests without streams that are taken up, and of the caller whose request crashes servers. */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from 'reedlug-standins';
import { FIRST_KEY, LIMITED_WORKSPACE, probePath } from './buildWorld.js';
import type { CallSpec, Callers } from './callers.js';
import { drawPatienceMs, type LeaveLoad } from './leavingCallers.js';
import { CallKind, type SoakRecord } from './soakRecord.js';
import { CRASHING_PATH } from './soakServers.js';
import type { SoakWorld } from './soakWorld.js';

/** Interval of the checks whether the crashing caller has started, in ms. */
const CRASHING_POLL_INTERVAL_MS = 100;
/** Share of each kind among the calls. */
const KIND_SHARES: readonly (readonly [CallKind, number])[] = [
  [CallKind.lookup, 0.35],
  [CallKind.notice, 0.35],
  [CallKind.draft, 0.2],
  [CallKind.probe, 0.1],
];

/** What the parts of the load use. */
export interface LoadContext {
  options: { seed: number; callsPerSecond: number; leaving?: LeaveLoad };
  world: SoakWorld;
  record: SoakRecord;
  callers: Callers;
  endMs: number;
}

/**
 * Sends the crashing request to random boxes, each time under a new id, once its caller has
 * started.
 */
export async function sendCrashingRequests({
  options,
  world,
  record,
  callers,
  endMs,
}: LoadContext): Promise<void> {
  const random = createRandom(options.seed + 2);
  const pendingCalls: Promise<void>[] = [];
  for (let number = 0; performance.now() < endMs; number += 1) {
    await delay(world.crashingIntervalMs ?? CRASHING_POLL_INTERVAL_MS);
    const box = random.whole(0, world.boxes.length - 1);
    const target = world.boxes[box]?.target;
    if (target === undefined || world.crashingIntervalMs === undefined) continue;
    const requestId = `c${options.seed}-${number}`;
    const key = world.keys.at(-1) ?? '';
    const spec = { requestId, kind: CallKind.crashing, box, key, path: CRASHING_PATH };
    pendingCalls.push(callers.call(spec, target).then((call) => void record.calls.push(call)));
  }
  await Promise.all(pendingCalls);
}

/** Sends requests of all kinds to random boxes until the end of the load. */
export async function sendRequests(context: LoadContext): Promise<void> {
  const { options, world, record, callers, endMs } = context;
  const random = createRandom(options.seed + 1);
  const pendingCalls: Promise<void>[] = [];
  for (let number = 0; performance.now() < endMs; number += 1) {
    await delay(random.exponential(1000 / options.callsPerSecond));
    const box = random.whole(0, world.boxes.length - 1);
    const target = world.boxes[box]?.target;
    if (target === undefined) continue;
    const spec = buildCallSpec({ world, box, number, seed: options.seed, fraction: random.unit() });
    const { leaving } = options;
    const patienceMs =
      leaving !== undefined && random.chance(leaving.share) ? drawPatienceMs(random) : undefined;
    pendingCalls.push(
      callers.call({ ...spec, patienceMs }, target).then((call) => void record.calls.push(call)),
    );
  }
  await Promise.all(pendingCalls);
}

function buildCallSpec(params: {
  world: SoakWorld;
  box: number;
  number: number;
  seed: number;
  fraction: number;
}): CallSpec {
  const { world, box, number, seed, fraction } = params;
  const requestId = `s${seed}-${number}`;
  const kind = pickKind(fraction);
  const key = world.keys.at(-1) ?? '';
  // Every seventh call uses the first key, to detect that it is still served after its revocation.
  const keyInUse = number % 7 === 0 ? FIRST_KEY : key;
  if (kind === CallKind.lookup && number % 2 === 0) {
    return { requestId, kind, box, key: LIMITED_WORKSPACE.key, path: `/${kind}/${number}` };
  }
  if (kind !== CallKind.probe) {
    return { requestId, kind, box, key: keyInUse, path: `/${kind}/${number}` };
  }
  const { version } = world;
  return { requestId, kind, box, key, path: probePath(version), version };
}

function pickKind(fraction: number): CallKind {
  let remaining = fraction;
  for (const [kind, share] of KIND_SHARES) {
    remaining -= share;
    if (remaining < 0) return kind;
  }
  return CallKind.lookup;
}
