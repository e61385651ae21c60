/**
 * Requests under which servers crashed, in a row of the shared table, for boxes that start
 * when no other box is running that could send them gossip.
 *
 * Each box reads the row once after its start. The holder of the duty lease keeps it up to
 * date; a box whose own sends revealed something writes it at once, since the holder may
 * fail together with all other boxes before it receives the gossip. Writes are conditional,
 * and what another box wrote in the meantime is merged before the next write.
 */
import { describeRevision, type TableRow } from 'reedlug-coordination';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import {
  CRASH_SUSPECTS_KEY,
  type CrashSuspect,
  type CrashSuspectGossip,
  type CrashSuspectsRow,
} from '../../types/crashSuspect.js';
import type { EventOf } from '../../types/event.js';
import {
  isSuspectGossip,
  suspectGossip,
  highestPrioritySuspects,
  mergeSuspect,
} from './crashGossip.js';
import { dutyFence } from '../store/dutyLease.js';
import { rowsOf } from '../store/tableRows.js';

/** Interval between calls to the table, in ms: the store usually answers within a few ms, and a busy store is called again. */
const TABLE_CALL_INTERVAL_MS = 250;
/** Interval between attempts to read the row after the start, in ms. */
const READ_RETRY_MS = 1000;
/** Time since the last call after which the holder of the lease reads the row again, in ms: a box that wrote it may be gone. */
const REREAD_INTERVAL_MS = 5000;
/** Minimum number of crashes for a suspect to be stored in the row: a request with a single crash is most often innocent. */
const MIN_RECORDED_CRASHES = 2;

/** Reads the row after the start, and writes it when its content is out of date. */
export function crashRowTick(state: GatewayState, step: Step): void {
  const { crashRow } = state;
  const sinceMs = step.nowMs - crashRow.requestedAtMs;
  if (crashRow.version === undefined) {
    if (sinceMs < READ_RETRY_MS) return;
    crashRow.requestedAtMs = step.nowMs;
    const op = { kind: 'read', keys: [CRASH_SUSPECTS_KEY] } as const;
    return requestTable(step, { kind: 'crashSuspects', writes: false }, op);
  }
  if (state.crashSuspects.size === 0 && crashRow.writtenSignature === '') return;
  if (sinceMs < TABLE_CALL_INTERVAL_MS || !mayWrite(state, step)) return;
  if (sinceMs >= REREAD_INTERVAL_MS) {
    crashRow.version = undefined;
    return;
  }
  const suspects = suspectsToRecord(state).map((suspect) => suspectGossip(suspect, step.nowMs));
  if (signatureOf(suspects) === crashRow.writtenSignature) {
    crashRow.hasUnwrittenObservations = false;
    return;
  }
  crashRow.requestedAtMs = step.nowMs;
  const storeNowMs = Math.round(step.nowMs - (state.storeEpochMs ?? 0));
  const value: CrashSuspectsRow = { storeNowMs, suspects };
  const write = { key: CRASH_SUSPECTS_KEY, expectVersion: crashRow.version, value };
  const op = { kind: 'transact', writes: [write] } as const;
  requestTable(step, { kind: 'crashSuspects', writes: true }, op);
}

/** Discards what is known of the row after a restore of the store, so that the boxes that maintain the row read it again. */
export function forgetCrashRow(state: GatewayState, step: Step): void {
  if (mayWrite(state, step)) state.crashRow.version = undefined;
}

function mayWrite(state: GatewayState, step: Step): boolean {
  const { hasUnwrittenObservations, isLastWriter } = state.crashRow;
  return hasUnwrittenObservations || isLastWriter || dutyFence(state, step.nowMs) !== undefined;
}

function suspectsToRecord(state: GatewayState): CrashSuspect[] {
  return highestPrioritySuspects(
    [...state.crashSuspects.values()].filter(
      ({ crashes, blockedSinceMs }) =>
        blockedSinceMs !== undefined || crashes.length >= MIN_RECORDED_CRASHES,
    ),
  );
}

/** Returns a summary of the row's content; the row is written again when the summary changes. */
function signatureOf(suspects: readonly CrashSuspectGossip[]): string {
  const parts = suspects.map(({ key, crashes, keptOutAgeMs }) =>
    keptOutAgeMs === undefined ? `${key}:${crashes.length}` : `${key}:out`,
  );
  return parts.sort().join(' ');
}

/** Handles the table's answer. */
export function onCrashRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  purpose: { writes: boolean },
): void {
  const { crashRow } = state;
  const { answer } = event;
  const rows = rowsOf(answer);
  crashRow.isFirstReadPending = false;
  if (rows === undefined) {
    // The write may have been applied, so the row is read before the next write.
    crashRow.version = undefined;
    return;
  }
  crashRow.isLastWriter = answer.kind === 'done' && purpose.writes;
  const row = rows.find(({ key }) => key === CRASH_SUSPECTS_KEY);
  applyRow(state, step, row);
}

function applyRow(state: GatewayState, step: Step, row: TableRow | undefined): void {
  const { crashRow } = state;
  crashRow.version = row?.version ?? 0;
  crashRow.writtenSignature = '';
  if (row === undefined) return;
  const value = row.value as Partial<CrashSuspectsRow> | null;
  if (!Array.isArray(value?.suspects) || typeof value.storeNowMs !== 'number') {
    return log(step, 'crashRowUnreadable', { revision: describeRevision(row.version) });
  }
  const writtenAtMs = value.storeNowMs + (state.storeEpochMs ?? step.nowMs - value.storeNowMs);
  const rowAgeMs = Math.max(0, step.nowMs - writtenAtMs);
  const recorded = value.suspects.filter(isSuspectGossip);
  for (const gossip of recorded) mergeSuspect(state, step, gossip, step.nowMs - rowAgeMs);
  crashRow.writtenSignature = signatureOf(recorded);
}
