/**
 * Eras of the store. It may come back from a copy some seconds old: rows are as they were then,
 * and versions since then are given out again. A new era is how boxes know.
 */
import { noteLeaseEra } from 'reedlug-coordination';
import { log, type GatewayState, type Step } from '../state.js';

/** Takes the era of an answer, or of a peer's news. */
export function onStoreEra(
  state: GatewayState,
  step: Step,
  { era, source }: { era: number; source: string },
): void {
  const before = state.storeEra;
  if (before !== undefined && era <= before) return;
  state.storeEra = era;
  noteLeaseEra(state.lease, era, step.nowMs);
  if (before === undefined) return log(step, 'storeEraFirst', { era, source });
  log(step, 'storeCameBack', { era, before, source });
  step.effects.push({ type: 'readStoreAgain' });
}
