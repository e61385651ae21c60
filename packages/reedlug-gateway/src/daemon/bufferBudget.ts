/** Bounds on the sum of what is buffered for answers, and for requests. */
import { totalmem } from 'node:os';
import { answersToGiveUp, type BufferedAnswer } from '../policy/answersToGiveUp.js';

/** Part of the budget that one answer uses. */
export interface AnswerHold {
  add: (bytes: number) => void;
  /** The answer is complete, and is not given up any more. */
  complete: () => void;
  /** The answer is buffered no more. */
  release: () => void;
}

/** Memory for answers. */
export interface AnswerBudget {
  /** Begins to count an answer, which is told if it is given up. */
  hold: (giveUp: () => void) => AnswerHold;
}

/** Creates the budget of all answers. */
export function createAnswerBudget(maxBytes: number): AnswerBudget {
  const answers = new Set<BufferedAnswer & { giveUp: () => void }>();
  let sumBytes = 0;
  return {
    hold(giveUp) {
      const answer = { bytes: 0, isComplete: false, giveUp };
      const release = (): void => {
        if (answers.delete(answer)) sumBytes -= answer.bytes;
      };
      answers.add(answer);
      return {
        add(bytes) {
          if (!answers.has(answer)) return;
          answer.bytes += bytes;
          sumBytes += bytes;
          if (sumBytes <= maxBytes) return;
          for (const given of answersToGiveUp(answers, maxBytes)) {
            if (!answers.delete(given)) continue;
            sumBytes -= given.bytes;
            given.giveUp();
          }
        },
        complete: () => void (answer.isComplete = true),
        release,
      };
    },
  };
}

/** Memory for the bodies of requests. */
export interface RequestBudget {
  /** Takes room for a part of a body; returns false if there is none. */
  take: (bytes: number) => boolean;
  release: (bytes: number) => void;
}

/** Creates the budget of all requests. */
export function createRequestBudget(maxBytes: number): RequestBudget {
  let sumBytes = 0;
  return {
    take(bytes) {
      if (sumBytes + bytes > maxBytes) return false;
      sumBytes += bytes;
      return true;
    },
    release: (bytes) => void (sumBytes -= bytes),
  };
}

/** Returns the memory that this process may use, in bytes. */
export function observedMemoryBytes(): number {
  const limitBytes = process.constrainedMemory() ?? 0;
  return limitBytes > 0 ? Math.min(limitBytes, totalmem()) : totalmem();
}
