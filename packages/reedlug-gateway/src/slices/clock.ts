/**
 * One wall clock for all boxes, from the store's steady clock.
 *
 * The time of day of a box may jump. The first box to start enters in a row how
 * far its wall clock was ahead of the store's clock; all boxes use that figure.
 */
import type { EventOf } from '../types/event.js';
import { dutyFence } from './dutyLease.js';
import { startDelayMs } from './fleet.js';
import { log, requestTable, type GatewayState, type Step } from '../state.js';
import { checkStoreEpoch } from './suspension.js';

/** Key of the row in the table. */
const CLOCK_KEY = 'clock-offset';
/** Pause between tries to agree, in ms. */
const CLOCK_RETRY_MS = 1000;

interface ClockRow {
  offsetMs: number;
}

/** Wall-clock time by the agreed offset; by this box's own clock before there is one. */
export function agreedWallClockMs(state: GatewayState, step: Step): number {
  const { storeEpochMs, agreedClockOffsetMs } = state;
  if (storeEpochMs === undefined || agreedClockOffsetMs === undefined) return step.wallClockMs;
  return step.nowMs - storeEpochMs + agreedClockOffsetMs;
}

/** Notes the store's clock; the least delay gives the truest figure. */
export function onStoreClock(state: GatewayState, step: Step, event: EventOf<'storeClock'>): void {
  const epochMs = step.nowMs - event.storeNowMs;
  checkStoreEpoch(state, step, epochMs);
  state.storeEpochMs = Math.min(state.storeEpochMs ?? epochMs, epochMs);
}

/** Proposes this box's offset while none is agreed; the holder of the lease enters again what the store lost. */
export function clockTick(state: GatewayState, step: Step): void {
  if (state.storeEpochMs === undefined) return;
  const mustRestoreRow = state.clockRowIsLost && dutyFence(state, step.nowMs) !== undefined;
  if (state.agreedClockOffsetMs !== undefined && !mustRestoreRow) return;
  if (step.nowMs - state.startedAtMs < startDelayMs(state)) return;
  if (step.nowMs - state.clockRequestedAtMs < CLOCK_RETRY_MS) return;
  state.clockRequestedAtMs = step.nowMs;
  const ownOffsetMs = step.wallClockMs - (step.nowMs - state.storeEpochMs);
  const offsetMs = state.agreedClockOffsetMs ?? ownOffsetMs;
  const value: ClockRow = { offsetMs };
  const writes = [{ key: CLOCK_KEY, expectVersion: 0, value }];
  requestTable(step, { kind: 'clock' }, { kind: 'transact', writes });
}

/** Takes the row, whoever wrote it. */
export function onClockRow(state: GatewayState, step: Step, event: EventOf<'tableAnswered'>): void {
  const { answer } = event;
  if (answer.kind === 'unknown') return;
  const row = answer.rows.find((candidate) => candidate.key === CLOCK_KEY);
  if (row !== undefined) state.clockRowIsLost = false;
  if (row?.value !== undefined) adoptClockOffset(state, step, (row.value as ClockRow).offsetMs);
}

/** Uses an agreed offset, from the row or from a peer. */
export function adoptClockOffset(state: GatewayState, step: Step, offsetMs: number): void {
  if (state.agreedClockOffsetMs !== undefined) return;
  state.agreedClockOffsetMs = offsetMs;
  log(step, 'clockAgreed', { offsetMs: Math.round(offsetMs) });
}
