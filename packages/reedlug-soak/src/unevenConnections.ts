/**
 * Load of streams on new connections, of which a load balancer hands most to one box for a while: to
 * another one once that box has not been ready twice in a row.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from 'reedlug-standins';
import type { Span } from './soakRecord.js';
import type { SoakBox, SoakWorld } from './soakWorld.js';
import type { CalledStream, StreamTry } from './calledStream.js';
import { callStream } from './streamCallers.js';

/** Interval of the load balancer's health checks, in ms, their timeout, and failed checks after which it removes a box. */
const HEALTH_CHECK_INTERVAL_MS = 1000;
const HEALTH_CHECK_TIMEOUT_MS = 1000;
const MAX_MISSED_CHECKS = 2;
/** Share of the new connections that go to one box, and factor on their number meanwhile. */
const UNEVEN_SHARE = 0.9;
const UNEVEN_FACTOR = 1.5;
/** Prompt of the streams: one part that all share, and their own. */
const PROMPT_PARTS = 'aa01:300,cc01:100';

/** Load, and the time in which most connections go to one box, from the start of the load. */
export interface UnevenLoad {
  perSecond: number;
  fromMs: number;
  forMs: number;
}

/** Calls streams until a time; returns them in the order of their starts. */
export async function callUnevenly(
  { world, endMs, seed }: { world: SoakWorld; endMs: number; seed: number },
  load: UnevenLoad,
): Promise<CalledStream[]> {
  const random = createRandom(seed + 5);
  const startMs = performance.now();
  const balancer = startBalancer(world.boxes);
  const calls: Promise<CalledStream>[] = [];
  for (let number = 0; performance.now() < endMs; number += 1) {
    const sinceMs = performance.now() - startMs - load.fromMs;
    const isUneven = sinceMs >= 0 && sinceMs < load.forMs;
    await delay(random.exponential(1000 / (load.perSecond * (isUneven ? UNEVEN_FACTOR : 1))));
    calls.push(
      callStream({
        name: `f${seed}-${number}`,
        key: world.keys.at(-1) ?? '',
        targets: world.boxes.map(({ target }) => target),
        leavesAfterEvents: undefined,
        promptParts: PROMPT_PARTS,
        firstBox: isUneven && random.chance(UNEVEN_SHARE) ? balancer.firstReady() : undefined,
        random,
      }),
    );
  }
  balancer.stop();
  return Promise.all(calls);
}

function startBalancer(boxes: readonly SoakBox[]): { firstReady: () => number; stop: () => void } {
  const missed = boxes.map(() => 0);
  let isStopped = false;
  for (const [index, box] of boxes.entries()) {
    void (async () => {
      while (!isStopped) {
        const isReady = await checkReadiness(box);
        missed[index] = isReady ? 0 : (missed[index] ?? 0) + 1;
        await delay(HEALTH_CHECK_INTERVAL_MS);
      }
    })();
  }
  return {
    firstReady: () =>
      Math.max(
        0,
        missed.findIndex((count) => count < MAX_MISSED_CHECKS),
      ),
    stop() {
      isStopped = true;
    },
  };
}

async function checkReadiness({ readiness: { host, port } }: SoakBox): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(HEALTH_CHECK_TIMEOUT_MS);
    return (await fetch(`http://${host}:${port}/ready`, { signal })).ok;
  } catch {
    // A box that does not answer in time is not ready.
    return false;
  }
}

/** First attempts of streams, those of them that were served, and those that nobody answered. */
export interface FirstAttemptCounts {
  served: number;
  total: number;
  unanswered: number;
}

/**
 * Counts the first attempts of a span that the users count: not those whose connection was refused or
 * closed without a response if a later attempt got one, and none refused for a limit.
 */
export function firstAttemptsIn(
  streams: readonly CalledStream[],
  { fromMs, toMs }: Span,
  silenceMs: number,
): FirstAttemptCounts {
  const counted = streams.filter(({ tries }) => {
    const [first, ...later] = tries;
    if (first === undefined || first.sentAtMs < fromMs || first.sentAtMs >= toMs) return false;
    const isUnread = first.status === undefined && later.some(({ status }) => status !== undefined);
    return first.status !== 429 && !(isUnread && !isSilent(first, silenceMs));
  });
  const firsts = counted.map(({ tries }) => tries[0] as StreamTry);
  return {
    served: firsts.filter(({ events }) => events.length > 0).length,
    total: firsts.length,
    unanswered: firsts.filter((attempt) => isSilent(attempt, silenceMs)).length,
  };
}

function isSilent({ status, sentAtMs, endedAtMs }: StreamTry, silenceMs: number): boolean {
  return status === undefined && endedAtMs - sentAtMs >= silenceMs;
}
