/**
 * Turns of the connections that bring the most, so that one server can't keep the thread from the others.
 *
 * An answer that has used its share of a turn is read on in a later one. A round of turns is followed by a longer pause,
 * so that all of them together leave the thread time for new requests.
 */
import { performance } from 'node:perf_hooks';

/** Longest time of a round, in ms: what other requests wait for at most, beside a single turn. */
const MAX_ROUND_MS = 5;
/**
 * Largest length of the pause after a round, as a multiple of it. It is as many times as long as answers wait: what the
 * system reads for each of them while it waits takes time beside the rounds.
 */
const MAX_PAUSE_RATIO = 8;

/** Queue of the answers that wait for their turn. */
export interface ReadTurns {
  /** Calls `readOn`, which reads until the share is used, in the next turn. */
  wait: (readOn: () => void) => void;
}

/** Creates an empty queue. */
export function createReadTurns(): ReadTurns {
  let waiting: (() => void)[] = [];
  let isPlanned = false;
  /** Time of the present round so far, in ms; it goes on over several passes of the event loop. */
  let roundMs = 0;
  let plannedAtMs = 0;

  const plan = (): void => {
    if (isPlanned || waiting.length === 0) return;
    isPlanned = true;
    const pauseMs =
      roundMs < MAX_ROUND_MS ? 0 : roundMs * Math.min(MAX_PAUSE_RATIO, waiting.length);
    if (pauseMs > 0) roundMs = 0;
    const play = (): void => {
      // A pause is not part of a round, but waiting for other work is.
      if (pauseMs > 0) plannedAtMs = performance.now();
      playTurns();
    };
    plannedAtMs = performance.now();
    if (pauseMs > 0) setTimeout(play, pauseMs);
    else setImmediate(play);
  };

  const playTurns = (): void => {
    const round = waiting;
    waiting = [];
    let played = 0;
    let passedMs = 0;
    while (played < round.length && roundMs + passedMs < MAX_ROUND_MS) {
      round[played]?.();
      played += 1;
      passedMs = performance.now() - plannedAtMs;
    }
    roundMs += passedMs;
    // Those that were not reached come before those that wait again.
    waiting = [...round.slice(played), ...waiting];
    isPlanned = false;
    plan();
  };

  return {
    wait(readOn) {
      waiting.push(readOn);
      plan();
    },
  };
}
