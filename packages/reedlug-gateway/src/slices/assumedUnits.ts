/** What is supposed to have been admitted before a box's start, until the store or a peer tells it. */
import {
  addSpreadUnits,
  addSums,
  createUnitWindow,
  SUM_MS,
  unitsWithin,
} from '../policy/unitWindow.js';
import type { GatewayState } from '../state.js';
import type { WorkspaceSpec } from '../types/configuration.js';
import type { QuotaView } from '../types/views.js';
import { isYoung, SURE, windowLengthMs, withTolerance } from './limitTolerance.js';

/** Part of a limit that a box takes to have been used before its start, until the store or a peer that ran then tells it. */
const FRESH_USED_SHARE = 0.9;
/** Age of the stored sums up to which the loss alone explains it, in ms: a write each 0.5 s, a loss of power of up to 1.4 s, a start. */
const USUAL_ROW_AGE_MS = 2600;
/** Then, time before the loss whose admissions the sums lack, in ms: a write and the news before it. */
const UNKNOWN_MS = 800;
/** Shortest time for which a loss of all boxes keeps them away, in ms. */
const SHORTEST_LOSS_MS = 500;

/**
 * Sets what others and this box itself are supposed to have admitted before its
 * start: what the store says; before it answers, most of the limit, spread evenly.
 */
export function assumeUsed(
  state: GatewayState,
  quota: QuotaView,
  workspace: WorkspaceSpec,
  nowMs: number,
): void {
  quota.assumed = undefined;
  if (state.knowsLimits || !isYoung(state, nowMs)) return;
  const assumed = createUnitWindow(windowLengthMs(state));
  quota.assumed = assumed;
  const { limitWindowMs } = state.settings.bounds;
  const limit = (workspace.ratePerSecond * limitWindowMs) / 1000 + workspace.burst;
  const { storedLimits, storeEpochMs } = state;
  if (storedLimits === undefined || storeEpochMs === undefined) {
    return addSpreadUnits(assumed, limit * FRESH_USED_SHARE, state.startedAtMs);
  }
  const sums = storedLimits.admitted[workspace.name] ?? [];
  const storedAtMs = storedLimits.atStoreMs + storeEpochMs;
  addSums(assumed, sums, storedAtMs);
  const unknownMs = unknownSpanMs(state.startedAtMs - storedAtMs);
  // Boxes that knew all may have gone beyond the limit, as far as they use the tolerance.
  const room = withTolerance(state, limit, SURE) - unitsWithin(assumed, state.startedAtMs);
  const most = (Math.max(0, ...sums) * unknownMs) / SUM_MS;
  addSpreadUnits(assumed, Math.min(room, most), state.startedAtMs, unknownMs);
}

/**
 * Time before a box's start in which boxes may have admitted what the store does not
 * tell: a little after the holder's last write. Without a holder it goes on until the
 * loss, some hundred ms before the start.
 */
function unknownSpanMs(ageMs: number): number {
  const isUsual = ageMs <= USUAL_ROW_AGE_MS;
  return isUsual ? Math.min(ageMs, UNKNOWN_MS) : ageMs - SHORTEST_LOSS_MS;
}
