/**
 * Reserve of this box's share of all limits, for the time after a restart.
 *
 * An incarnation charges the burst of its share as used by its predecessor, so after a loss of all
 * boxes no box has units to send or to lend. With the reserve, a part of the share that no
 * incarnation uses in normal operation is available at once. It may be used once in a window over
 * all incarnations of a box: a row of the store per box holds the store's time of the last use. An
 * incarnation reads the row, writes its own time on condition that the row is unchanged, and uses
 * the reserve only once the store has confirmed the write. Without a row of the store's present era
 * nothing is known of earlier uses, since a restore of the store from a backup may have lost them;
 * the incarnation then records the time at which it found that out and leaves the reserve closed.
 * All times compared are the store's.
 */
import { describeRevision, type TableRow } from 'reedlug-coordination';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import type { EventOf, TablePurpose } from '../../types/event.js';
import type { PendingRequest, RequestRecord } from '../../types/request.js';
import { isFiniteNumber } from '../store/rowValues.js';
import { rowsOf } from '../store/tableRows.js';
import { neededUnitsOf } from './begunStreams.js';
import { awaitsFirstUnits, firstUnitsWaitMs } from './firstUnits.js';
import { chargeWindowMs } from './limitWindow.js';
import { LOAN_MS, releaseReserve } from './quotas.js';

/**
 * Maximum number of reads of the row by an incarnation: with the write three calls, which are
 * billed.
 */
const MAX_READS = 2;
/** Interval between them, in ms: a store that is busy or just started answers within a second. */
const READ_RETRY_MS = 1000;

type ReservePurpose = Extract<TablePurpose, { kind: 'limitReserve' }>;

/** Value of the row of a box. */
interface ReserveRow {
  /** Store time up to which the reserve may have been opened. */
  openedStoreMs: number;
  /** Era of the store in which that time was recorded. */
  era: number;
}

function reserveKey(state: GatewayState): string {
  return `limit-reserve/${state.settings.box.id}`;
}

/**
 * Returns the time after an opening before which the reserve is not opened again, in ms: units lent
 * before a restart may be spent until LOAN_MS later.
 */
function closedForMs(state: GatewayState): number {
  return chargeWindowMs(state) + 2 * LOAN_MS;
}

/**
 * Holds a request that finds too few units instead of refusing it, if this box has just started; it
 * is tried again with each tick. Within some tenths of a second after a loss of all boxes, this box
 * opens its own reserve and others announce what they lend. Returns false if the request is to be
 * refused.
 */
export function holdForFirstUnits(
  state: GatewayState,
  step: Step,
  request: PendingRequest,
  record: RequestRecord,
): boolean {
  const { route, workspace, units, reservedAtMs } = record;
  if (!awaitsFirstUnits(state, step.nowMs)) return false;
  const { exchangeId, facts, arrivedAtMs } = request;
  const waitMs = firstUnitsWaitMs(route);
  if (step.nowMs - arrivedAtMs >= waitMs) return false;
  if (request.awaitsUnits === undefined) {
    const { phase } = state.restartReserve;
    const fields = {
      workspace: workspace ?? '',
      units,
      waitMs: Math.round(waitMs),
      reserve: phase,
    };
    log(step, 'unitsAwaited', { request: facts.requestId, ...fields });
  }
  state.requests.delete(exchangeId);
  const awaitsUnits = neededUnitsOf(record);
  state.pendingRequests.push({ ...request, awaitsUnits, reservedAtMs });
  return true;
}

/**
 * Reads the row after the start of this incarnation, a second time if the store has not answered.
 */
export function restartReserveTick(state: GatewayState, step: Step): void {
  const { restartReserve: reserve } = state;
  if (!state.settings.load.restartReserve || reserve.phase !== 'unknown') return;
  if (step.nowMs - reserve.readAtMs < READ_RETRY_MS) return;
  reserve.phase = 'requested';
  reserve.reads += 1;
  reserve.readAtMs = step.nowMs;
  const op = { kind: 'read', keys: [reserveKey(state)] } as const;
  requestTable(step, { kind: 'limitReserve', step: 'read' }, op);
}

/** Handles the answers about the row. */
export function onLimitReserveRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  purpose: ReservePurpose,
): void {
  if (!state.settings.load.restartReserve || state.restartReserve.phase !== 'requested') return;
  switch (purpose.step) {
    case 'read':
      return onRead(state, step, event);
    case 'write':
      return onWritten(state, step, event, purpose);
  }
}

function onRead(state: GatewayState, step: Step, event: EventOf<'tableAnswered'>): void {
  const { answer, storeTime } = event;
  const { restartReserve: reserve } = state;
  const rows = rowsOf(answer);
  if (rows === undefined || storeTime === undefined) {
    if (reserve.reads < MAX_READS) reserve.phase = 'unknown';
    else closeReserve(state, step, 'noAnswer');
    return;
  }
  const row = rows.find(({ key }) => key === reserveKey(state));
  const { storeNowMs, era } = storeTime;
  const recorded = readRow(step, row);
  const isTrusted = recorded?.era === era;
  const closedUntilMs = (recorded?.openedStoreMs ?? 0) + closedForMs(state);
  // The row already closes the reserve for this incarnation, and needs no write.
  if (isTrusted && storeNowMs < closedUntilMs) return closeReserve(state, step, 'openedRecently');
  const value: ReserveRow = { openedStoreMs: storeNowMs, era };
  const write = { key: reserveKey(state), expectVersion: row?.version ?? 0, value };
  const purpose = { kind: 'limitReserve', step: 'write', opens: isTrusted, era } as const;
  requestTable(step, purpose, { kind: 'transact', writes: [write] });
}

function readRow(step: Step, row: TableRow | undefined): ReserveRow | undefined {
  if (row === undefined) return undefined;
  const value = row.value as Partial<ReserveRow> | null;
  const { openedStoreMs, era } = value ?? {};
  if (isFiniteNumber(openedStoreMs) && isFiniteNumber(era)) return { openedStoreMs, era };
  log(step, 'reserveRowUnreadable', { revision: describeRevision(row.version) });
  return undefined;
}

function onWritten(
  state: GatewayState,
  step: Step,
  { answer, storeTime }: EventOf<'tableAnswered'>,
  { opens, era }: Extract<ReservePurpose, { step: 'write' }>,
): void {
  if (answer.kind === 'unknown' || storeTime === undefined)
    return closeReserve(state, step, 'noAnswer');
  if (answer.kind === 'refused') return closeReserve(state, step, answer.reason);
  if (!opens) return closeReserve(state, step, 'noRecord');
  // A restore between read and write may have lost an opening by another process under this id.
  if (storeTime.era !== era) return closeReserve(state, step, 'restored');
  state.restartReserve.phase = 'open';
  for (const quota of state.quotas.values()) releaseReserve(state, quota, step.nowMs);
  log(step, 'reserveOpened', { era, ageMs: Math.round(step.nowMs - state.startedAtMs) });
}

function closeReserve(state: GatewayState, step: Step, reason: string): void {
  state.restartReserve.phase = 'closed';
  log(step, 'reserveClosed', { reason });
}
