/**
 * One wall clock for all boxes, based on the store's monotonic clock.
 *
 * The wall clock of a single box may jump. The first box to start writes to the shared
 * table how far its wall clock is ahead of the store's clock; all boxes use that offset.
 */
import type { EventOf } from '../../types/event.js';
import { dutyFence } from './dutyLease.js';
import { startDelayMs } from '../peers/fleet.js';
import { isFiniteNumber } from './rowValues.js';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import { checkStoreEpoch } from '../lifecycle/suspension.js';

/** Key of the table row that holds the agreed offset. */
const CLOCK_KEY = 'clock-offset';
/** Interval between attempts to write the row, in ms. */
const CLOCK_RETRY_MS = 1000;

interface ClockRow {
  offsetMs: number;
}

/** Returns the wall-clock time by the agreed offset, or by this box's own clock while no offset is agreed. */
export function agreedWallClockMs(state: GatewayState, step: Step): number {
  const { storeEpochMs, agreedClockOffsetMs } = state;
  if (storeEpochMs === undefined || agreedClockOffsetMs === undefined) return step.wallClockMs;
  return step.nowMs - storeEpochMs + agreedClockOffsetMs;
}

/** Records the store's clock; the answer with the least delay gives the most accurate value. */
export function onStoreClock(state: GatewayState, step: Step, event: EventOf<'storeClock'>): void {
  const epochMs = step.nowMs - event.storeNowMs;
  checkStoreEpoch(state, step, epochMs);
  state.storeEpochMs = Math.min(state.storeEpochMs ?? epochMs, epochMs);
}

/** Proposes this box's offset while none is agreed; the holder of the duty lease writes the row again if the store has lost it. */
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

/** Adopts the offset in the row, whichever box wrote it. */
export function onClockRow(state: GatewayState, step: Step, event: EventOf<'tableAnswered'>): void {
  const { answer } = event;
  if (answer.kind === 'unknown') return;
  const row = answer.rows.find((candidate) => candidate.key === CLOCK_KEY);
  if (row !== undefined) state.clockRowIsLost = false;
  const { offsetMs } = (row?.value ?? {}) as Partial<ClockRow>;
  if (isFiniteNumber(offsetMs)) adoptClockOffset(state, step, offsetMs);
}

/** Adopts an agreed offset, from the row or from a peer; a later one does not replace it. */
export function adoptClockOffset(state: GatewayState, step: Step, offsetMs: number): void {
  if (state.agreedClockOffsetMs !== undefined) return;
  state.agreedClockOffsetMs = offsetMs;
  log(step, 'clockAgreed', { offsetMs: Math.round(offsetMs) });
}
