/** Helper that creates log effects. */
import type { Step } from '../state.js';

/** Adds a log line to the effects. */
export function log(
  step: Step,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>>,
): void {
  step.effects.push({ type: 'log', event, fields });
}
