/** Reading of one answer: it stops while its listener holds it, and while other answers have their turn. */
import type { Dispatcher } from 'undici';
import type { ReadTurns } from './readTurns.js';

/** Bytes, and pieces or events, that are read of an answer before others have their turn. */
const MAX_TURN_BYTES = 65_536;
const MAX_TURN_PIECES = 256;

/** Reading of an answer. */
export interface ReadShare {
  begin: (controller: Dispatcher.DispatchController) => void;
  /** Number of events that one call may read. */
  maxEvents: () => number;
  /** Counts what was read; the rest is read in a later turn once the share is used. */
  use: (bytes: number, pieces: number) => void;
  /** Stops reading until it is resumed; returns false if it is held already. */
  hold: () => boolean;
  /** Reads on in the next turn. */
  resume: () => void;
  /** Reads what is left at once, since the connection has ended: no more than a connection buffers. */
  end: () => void;
  isPaused: () => boolean;
}

/**
 * Creates the reading of an answer. `onTurn` handles what is left of the turn before, and returns false if more of it is
 * left for a further turn, or if the outcome of the answer is known.
 */
export function createReadShare(turns: ReadTurns, onTurn: () => boolean): ReadShare {
  let controller: Dispatcher.DispatchController | undefined;
  let usedBytes = 0;
  let usedPieces = 0;
  let isHeld = false;
  let awaitsTurn = false;
  let hasEnded = false;

  const awaitTurn = (): void => {
    if (awaitsTurn || hasEnded) return;
    awaitsTurn = true;
    turns.wait(() => {
      awaitsTurn = false;
      // What is left may hold the answer.
      if (hasEnded) return;
      if (!isHeld && onTurn() && !isHeld) controller?.resume();
    });
  };

  return {
    begin: (started) => void (controller = started),
    maxEvents: () => (hasEnded ? Number.POSITIVE_INFINITY : MAX_TURN_PIECES),
    use(bytes, pieces) {
      usedBytes += bytes;
      usedPieces += pieces;
      if (usedBytes < MAX_TURN_BYTES && usedPieces < MAX_TURN_PIECES) return;
      usedBytes = 0;
      usedPieces = 0;
      if (hasEnded) return;
      controller?.pause();
      awaitTurn();
    },
    hold() {
      if (controller === undefined || isHeld || hasEnded) return false;
      isHeld = true;
      controller.pause();
      return true;
    },
    resume() {
      isHeld = false;
      awaitTurn();
    },
    end() {
      hasEnded = true;
      onTurn();
      controller?.resume();
    },
    isPaused: () => controller?.paused === true,
  };
}
