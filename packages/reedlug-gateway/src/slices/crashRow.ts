/**
 * Requests under which servers crashed, in the shared table, for boxes that start when no
 * other one is there to tell them.
 *
 * Each box reads the row once after its start. The holder of the duty lease keeps it true;
 * a box whose own sends showed something writes at once, since the holder may be gone with
 * all others before it has heard. Writes are conditional, and what another one wrote in
 * between is taken in before the next.
 */
import { describeRevision, type TableRow } from 'reedlug-coordination';
import { log, requestTable, type GatewayState, type Step } from '../state.js';
import {
  CRASH_SUSPECTS_KEY,
  type CrashSuspect,
  type CrashSuspectGossip,
  type CrashSuspectsRow,
} from '../types/crashSuspect.js';
import type { EventOf } from '../types/event.js';
import {
  isSuspectGossip,
  suspectGossip,
  highestPrioritySuspects,
  mergeSuspect,
} from './crashGossip.js';
import { dutyFence } from './dutyLease.js';
import { rowsOf } from './tableRows.js';

/** Pause between calls, in ms: the store answers in some ms, a busy one is asked again. */
const TABLE_CALL_INTERVAL_MS = 250;
/** Pause between tries to read the row after the start, in ms. */
const READ_RETRY_MS = 1000;
/** Pause after which the holder of the lease reads it again, in ms: a box that wrote it may be gone. */
const REREAD_INTERVAL_MS = 5000;
/** Crashes from which a suspect is worth a row's place: one alone is most often an innocent's. */
const MIN_RECORDED_CRASHES = 2;

/** Reads the row after the start, and writes it where it lacks something. */
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

/** The store came back: whoever keeps the row true reads whether it says what it should. */
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

/** What a row says in short: it is written again when this changes. */
function signatureOf(suspects: readonly CrashSuspectGossip[]): string {
  const parts = suspects.map(({ key, crashes, keptOutAgeMs }) =>
    keptOutAgeMs === undefined ? `${key}:${crashes.length}` : `${key}:out`,
  );
  return parts.sort().join(' ');
}

/** Takes the table's answer. */
export function onCrashRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  purpose: { writes: boolean },
): void {
  const { crashRow } = state;
  const { answer } = event;
  const rows = rowsOf(answer);
  if (rows === undefined) {
    // The write may have been done: the row is read before the next one.
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
