/**
 * Exceptions within a step of the reducer. Each ends a part of the step alone: the other parts run, and what was
 * decided before stays decided, since the state has changed accordingly.
 */
import type { Step } from './state.js';

/** Exception of a part of a step, and the request that the part handled, if it was one. */
export interface StepFault {
  error: unknown;
  exchangeId: number | undefined;
}

/** Runs a part of a step; records what it throws as a fault of the step. */
export function runPart(step: Step, run: () => void, exchangeId?: number): void {
  try {
    run();
  } catch (error) {
    step.faults.push({ error, exchangeId });
  }
}
