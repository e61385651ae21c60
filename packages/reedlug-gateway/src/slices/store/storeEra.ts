/**
 * Eras of the store. The store may be restored from a backup that is some seconds old: rows are
 * as they were then, and versions assigned since then are assigned again. Each restore starts
 * a new era, by which boxes detect it.
 */
import { recordLeaseEra } from 'reedlug-coordination';
import { forgetCrashRow } from '../crashes/crashRow.js';
import { forgetRecord } from '../rollouts/rollouts.js';
import { forgetStreamRows } from '../streamVersions/streamRows.js';
import { forgetCheckpoint } from '../usage/usage.js';
import { announceDecisions } from '../usage/usageDecisions.js';
import { log, type GatewayState, type Step } from '../../state.js';

/** Time from a restore of the store for which a whole collection may be that of the backup, in ms: what was lost is written again within 2 s, and the list of boxes is read a second later. */
const RESTORE_SETTLE_MS = 5000;

/** Returns whether an era is later than the known one; most answers carry the known one. */
export function isNewEra({ storeEra }: GatewayState, era: number): boolean {
  return storeEra === undefined || era > storeEra;
}

/** Handles the era in a peer's gossip: one that is new here counts once a second message states it. */
export function onPeerEra(
  state: GatewayState,
  step: Step,
  { era, source }: { era: number; source: string },
): void {
  if (!isNewEra(state, era)) return;
  if (state.eraOfOneMessage === era) return onStoreEra(state, step, { era, source });
  state.eraOfOneMessage = era;
}

/** Handles an era that the store states, or several messages of peers. */
export function onStoreEra(
  state: GatewayState,
  step: Step,
  { era, source }: { era: number; source: string },
): void {
  if (!isNewEra(state, era)) return;
  const before = state.storeEra;
  state.storeEra = era;
  state.eraOfOneMessage = undefined;
  state.eraKnown = {
    sinceMs: step.nowMs,
    reportedSinceWallClockMs: Number.POSITIVE_INFINITY,
  };
  recordLeaseEra(state.lease, { era, isFirst: before === undefined, nowMs: step.nowMs });
  if (before === undefined) return log(step, 'storeEraFirst', { era, source });
  state.storeRestoredAtMs = step.nowMs;
  log(step, 'storeCameBack', { era, before, source });
  step.effects.push({ type: 'readStoreAgain' });
  forgetCheckpoint(state);
  for (const view of state.rollouts.values()) forgetRecord(view);
  forgetCrashRow(state, step);
  forgetStreamRows(state, step.nowMs);
  state.clockRowIsLost = true;
  announceDecisions(state, step);
}

/** Returns whether a whole collection that is read now may lack entries, or contain entries that are gone, since it may be that of a backup. */
export function mayShowBackup({ storeRestoredAtMs }: GatewayState, nowMs: number): boolean {
  return nowMs - storeRestoredAtMs < RESTORE_SETTLE_MS;
}
