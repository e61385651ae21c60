/**
 * Eras of the store. It may come back from a copy some seconds old: rows are as they were then,
 * and versions since then are given out again. A new era is how boxes know.
 */
import { noteLeaseEra } from 'reedlug-coordination';
import { forgetCrashRow } from './crashRow.js';
import { forgetRecord } from './rollouts.js';
import { forgetCheckpoint } from './usage.js';
import { tellDecisions } from './usageDecisions.js';
import { log, type GatewayState, type Step } from '../state.js';

/** Time from the store's return in which a whole collection may be that of the copy, in ms: what was lost is written again within 2 s, and the list of boxes is read a second later. */
const RESTORE_SETTLE_MS = 5000;

/** Whether an era is news: most answers tell the one that is known already. */
export function isNewEra({ storeEra }: GatewayState, era: number): boolean {
  return storeEra === undefined || era > storeEra;
}

/** Takes the era of an answer, or of a peer's news. */
export function onStoreEra(
  state: GatewayState,
  step: Step,
  { era, source }: { era: number; source: string },
): void {
  if (!isNewEra(state, era)) return;
  const before = state.storeEra;
  state.storeEra = era;
  state.eraKnown = {
    sinceMs: step.nowMs,
    reportedSinceWallClockMs: Number.POSITIVE_INFINITY,
  };
  noteLeaseEra(state.lease, { era, isFirst: before === undefined, nowMs: step.nowMs });
  if (before === undefined) return log(step, 'storeEraFirst', { era, source });
  state.storeRestoredAtMs = step.nowMs;
  log(step, 'storeCameBack', { era, before, source });
  step.effects.push({ type: 'readStoreAgain' });
  forgetCheckpoint(state);
  for (const view of state.rollouts.values()) forgetRecord(view);
  forgetCrashRow(state, step);
  state.clockRowIsLost = true;
  tellDecisions(state, step);
}

/** Whether a whole collection that is read now may lack what was there, and show what is gone. */
export function mayShowBackup({ storeRestoredAtMs }: GatewayState, nowMs: number): boolean {
  return nowMs - storeRestoredAtMs < RESTORE_SETTLE_MS;
}
