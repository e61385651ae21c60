/**
 * Whether this box has read what has arrived.
 *
 * A turn of the event loop reads the bytes of a connection, and the end behind them one turn later; timers run without
 * regard to what lies unread. While the thread is on time this makes no difference. Once it was late or had no time to
 * spare, what is decided waits until further turns have read what came meanwhile: the end of a caller's connection, a
 * server's answer.
 */
import type { ThreadLoad } from '../types/threadLoad.js';
import { READ_TURNS } from '../policy/heldRequests.js';
import { BUSY_SHARE } from '../policy/overload.js';

/** How late the thread may be before what it decides waits, in ms: one tick, which a collection of garbage may take. */
export const MAX_LATE_MS = 50;

/** Turns of the event loop, counted while this box may be behind. */
export interface ReadProgress {
  /** Whether something may lie unread that came before what was read last. */
  isBehind: () => boolean;
  /** Number of turns counted so far. */
  turn: () => number;
  /** Calls `run` at the end of a later turn. */
  afterTurns: (turns: number, run: () => void) => void;
  /** Calls `run` at once, or once what has arrived by now has been read. */
  afterReads: (run: () => void) => void;
  /** Takes what has just been read as a sign that more lies unread: a turn accepts only one connection. */
  expectMore: () => void;
  /** How late the thread is, in ms; while this box is behind, how late it has been at most since then. */
  lateMs: () => number;
  /** Records the load that a tick measured. */
  recordLoad: (load: ThreadLoad) => void;
}

interface Waiting {
  dueTurn: number;
  run: () => void;
}

/** Creates the progress of a thread that is on time; `lateMs` returns how late its next tick is. */
export function createReadProgress(lateMs: () => number): ReadProgress {
  let turn = 0;
  let behindUntilTurn = 0;
  let isTurnPlanned = false;
  let isBusy = false;
  let hasBeenIdle = false;
  let greatestLateMs = 0;
  /** True at the end of a turn, when what has been waited for has been read. */
  let isRead = false;
  let waiting: Waiting[] = [];

  const planTurn = (): void => {
    if (isTurnPlanned) return;
    isTurnPlanned = true;
    setImmediate(endTurn);
  };

  const expectMore = (): void => {
    behindUntilTurn = turn + READ_TURNS;
    planTurn();
  };

  /** Notes how late the thread is before it decides anything more. */
  const becomeBehind = (byMs: number): void => {
    greatestLateMs = turn < behindUntilTurn ? Math.max(greatestLateMs, byMs) : byMs;
    expectMore();
  };

  const endTurn = (): void => {
    isTurnPlanned = false;
    turn += 1;
    const due = waiting.filter(({ dueTurn }) => dueTurn <= turn);
    waiting = waiting.filter(({ dueTurn }) => dueTurn > turn);
    isRead = true;
    let done = 0;
    try {
      for (const { run } of due) {
        done += 1;
        run();
      }
    } finally {
      isRead = false;
      // One that throws does not keep the others from their turn.
      waiting = [...due.slice(done), ...waiting];
      if (turn < behindUntilTurn || waiting.length > 0) planTurn();
    }
  };

  const isBehind = (): boolean => {
    if (isRead) return false;
    if (turn < behindUntilTurn) return true;
    const byMs = lateMs();
    if (!isBusy && byMs <= MAX_LATE_MS) return false;
    becomeBehind(byMs);
    return true;
  };

  const afterTurns = (turns: number, run: () => void): void => {
    waiting.push({ dueTurn: turn + turns, run });
    planTurn();
  };

  return {
    isBehind,
    turn: () => turn,
    afterTurns,
    afterReads(run) {
      if (isBehind()) afterTurns(READ_TURNS, run);
      else run();
    },
    expectMore,
    lateMs: () => (turn < behindUntilTurn ? Math.max(greatestLateMs, lateMs()) : lateMs()),
    recordLoad(load) {
      const hasNoTime = load.busyShare >= BUSY_SHARE;
      hasBeenIdle ||= !hasNoTime;
      // Where the load can't be measured, the thread never seems to be idle.
      isBusy = hasNoTime && hasBeenIdle;
      if (load.lateMs > MAX_LATE_MS) becomeBehind(load.lateMs);
    },
  };
}
