/**
 * Exceptions within a step of the reducer. Each ends a part of the step alone: the other parts run, and what was
 * decided before stays decided, since the state has changed accordingly.
 */
import type { Step } from './state.js';

/** Runs a part of a step; records what it throws as a fault of the step. */
export function runPart(step: Step, run: () => void, exchangeId?: number): void {
  try {
    run();
  } catch (error) {
    step.faults.push({ error, exchangeId });
  }
}
