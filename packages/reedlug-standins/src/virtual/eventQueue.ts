/** Virtual time: runs actions in the order of their time, then of their scheduling. */
import TinyQueue from 'tinyqueue';

interface Entry {
  atMs: number;
  order: number;
  run: () => void;
}

/** A queue of actions on virtual time. */
export interface EventQueue {
  nowMs: () => number;
  /** Schedules an action; a past time means now. */
  at: (atMs: number, run: () => void) => void;
  /** Runs the next action due by `untilMs`; without one, moves to that time and returns false. */
  runNext: (untilMs: number) => boolean;
}

/** Returns a queue at time 0. */
export function createEventQueue(): EventQueue {
  let nowMs = 0;
  let order = 0;
  const queue = new TinyQueue<Entry>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  return {
    nowMs: () => nowMs,
    at(atMs, run) {
      order += 1;
      queue.push({ atMs: Math.max(atMs, nowMs), order, run });
    },
    runNext(untilMs) {
      const next = queue.peek();
      if (next === undefined || next.atMs > untilMs) {
        nowMs = Math.max(nowMs, untilMs);
        return false;
      }
      queue.pop();
      nowMs = next.atMs;
      next.run();
      return true;
    },
  };
}
