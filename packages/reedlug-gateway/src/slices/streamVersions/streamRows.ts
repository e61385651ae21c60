/**
 * Rows of the shared table for streams, which outlast the loss of all boxes.
 *
 * Each box writes the streams that it relays to a row of its own while several versions serve. A box reads the
 * rows, with that of the versions, when it first sees a second version, and when a stream is taken up of
 * which it knows nothing.
 */
import { describeRevision, type TableOp, type TableRow } from 'reedlug-coordination';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import {
  SERVED_VERSIONS_KEY,
  STREAM_ROWS_PREFIX,
  streamStartsKey,
  type StreamStart,
  type StreamStartsRow,
} from '../../types/streamVersion.js';
import { fleetSize, usesHubs } from '../peers/fleet.js';
import { recordSignOfLife } from '../peers/lifeEnds.js';
import { isFiniteNumber } from '../store/rowValues.js';
import { rowsOf } from '../store/tableRows.js';
import { hasAnySeveralVersions, hasSeveralVersions } from './servedVersions.js';
import { intendedStarts } from './intendedStarts.js';
import { announceOwnStarts } from './startGossip.js';
import { isStartRow, recordReceivedStart, startRowOf } from './streamStarts.js';
import { storeTimeOf } from './listedVersions.js';
import { applyVersionsRow, forgetVersionsRow, onVersionsRowWritten } from './versionsRow.js';

/** Shortest interval between writes of this box's row, in ms: what began since is lost with all boxes. */
const MIN_WRITE_INTERVAL_MS = 100;
/** The same after a write that failed, in ms, so that a store that refuses is not pressed. */
const RETRY_INTERVAL_MS = 500;
/** Interval for each box of the fleet, in ms: all boxes together write at most a hundred times a second. */
const WRITE_INTERVAL_PER_BOX_MS = 10;
/** Maximum number of streams in a row, the newest ones; a row stays below 16 KB. */
const MAX_STARTS_PER_ROW = 200;
/** Maximum number of rows that one read returns; a fleet without hubs has fewer boxes. */
const MAX_ROWS_READ = 100;

/** Reads and writes the rows when that is due. */
export function streamRowsTick(state: GatewayState, step: Step): void {
  const { read, ownRow } = state.streamVersions;
  if (read.isWanted && !read.isPending) readStreamRows(state, step);
  if (!ownRow.isOutdated || ownRow.isPending) return;
  const shortestMs = ownRow.hasFailed ? RETRY_INTERVAL_MS : MIN_WRITE_INTERVAL_MS;
  const intervalMs = Math.max(shortestMs, fleetSize(state) * WRITE_INTERVAL_PER_BOX_MS);
  if (step.nowMs - ownRow.writtenAtMs >= intervalMs) writeOwnRow(state, step);
}

/** Reads the rows, with those of other boxes in a small fleet. */
export function readStreamRows(state: GatewayState, step: Step): void {
  const { read } = state.streamVersions;
  read.isWanted = false;
  read.isPending = true;
  read.sentAtMs = step.nowMs;
  const ownKey = streamStartsKey(state.settings.box.id);
  // In a large fleet other boxes answer for their own rows.
  const op: TableOp = usesHubs(state)
    ? { kind: 'read', keys: [SERVED_VERSIONS_KEY, ownKey] }
    : { kind: 'scan', prefix: STREAM_ROWS_PREFIX, afterKey: '', limit: MAX_ROWS_READ };
  requestTable(step, { kind: 'streamRows', call: 'read' }, op);
}

function writeOwnRow(state: GatewayState, step: Step): void {
  const { starts, ownRow } = state.streamVersions;
  ownRow.isOutdated = false;
  const begun = [...starts.values()].filter(
    ({ isOwn, service }) => isOwn && hasSeveralVersions(state, service),
  );
  const own = [...begun, ...intendedStarts(state, step.nowMs)].slice(-MAX_STARTS_PER_ROW);
  if (own.length === 0) return;
  ownRow.isPending = true;
  ownRow.writtenAtMs = step.nowMs;
  const value: StreamStartsRow = {
    storeNowMs: storeTimeOf(state, step.nowMs),
    starts: own.map((start) => startRowOf(start, step.nowMs)),
  };
  ownRow.sentVersions = versionsByKey(own);
  const key = streamStartsKey(state.settings.box.id);
  const write = { key, expectVersion: ownRow.version, value };
  const op = { kind: 'transact', writes: [write] } as const;
  requestTable(step, { kind: 'streamRows', call: 'writeOwn' }, op);
}

function versionsByKey(starts: readonly StreamStart[]): Map<string, string> {
  const versions = new Map<string, string>();
  for (const { key, version } of starts) if (version !== undefined) versions.set(key, version);
  return versions;
}

/** Handles an answer of the table. */
export function onStreamRows(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  { call }: { call: 'read' | 'writeOwn' | 'writeVersions' },
): void {
  const { read, ownRow } = state.streamVersions;
  const rows = rowsOf(event.answer);
  const isWritten = event.answer.kind === 'done';
  switch (call) {
    case 'read':
      read.isPending = false;
      endTableLookups(state, event.sentAtMs, rows === undefined ? 'failed' : 'read');
      if (rows !== undefined && !rows.some(({ key }) => key === SERVED_VERSIONS_KEY)) {
        forgetVersionsRow(state, step.nowMs);
      }
      break;
    case 'writeOwn':
      ownRow.isPending = false;
      ownRow.isOutdated ||= !isWritten;
      ownRow.hasFailed = rows === undefined;
      if (isWritten) ownRow.heldVersions = ownRow.sentVersions;
      break;
    case 'writeVersions':
      return onVersionsRowWritten(state, step, event, rows);
  }
  for (const row of rows ?? []) {
    if (row.key === SERVED_VERSIONS_KEY) applyVersionsRow(state, step, row, event.sentAtMs);
    else applyRow(state, step, row, isWritten && call === 'writeOwn');
  }
  if (call === 'read' && hasAnySeveralVersions(state)) announceOwnStarts(state, step);
}

/** Records for the waiting look-ups how a read ended that was sent after they began. */
function endTableLookups(
  { streamVersions }: GatewayState,
  sentAtMs: number,
  table: 'read' | 'failed',
): void {
  for (const lookup of streamVersions.lookups) {
    if (lookup.table === 'pending' && lookup.sinceMs <= sentAtMs) lookup.table = table;
    else if (lookup.table === 'pending') streamVersions.read.isWanted = true;
  }
}

function applyRow(state: GatewayState, step: Step, row: TableRow, isOwnWrite: boolean): void {
  const { ownRow } = state.streamVersions;
  const isOwn = row.key === streamStartsKey(state.settings.box.id);
  if (isOwn) ownRow.version = row.version;
  if (isOwnWrite || !row.key.startsWith(STREAM_ROWS_PREFIX)) return;
  const value = row.value as Partial<StreamStartsRow> | null | undefined;
  if (!Array.isArray(value?.starts) || !isFiniteNumber(value.storeNowMs)) {
    const revision = describeRevision(row.version);
    return log(step, 'streamRowUnreadable', { key: row.key, revision });
  }
  const asOfMs = Math.min(step.nowMs, value.storeNowMs + (state.storeEpochMs ?? 0));
  const boxId = row.key.slice(streamStartsKey('').length);
  if (!isOwn) recordSignOfLife(state, { boxId, atMs: asOfMs, nowMs: step.nowMs });
  const origin = { source: row.key, isOwn, asOfMs };
  for (const start of value.starts.filter(isStartRow)) {
    recordReceivedStart(state, step, start, origin);
  }
}

/** Discards what is known of the rows after a restore of the store, which may have lost them. */
export function forgetStreamRows(state: GatewayState, nowMs: number): void {
  const { read, ownRow, versionsRow } = state.streamVersions;
  ownRow.version = 0;
  ownRow.isOutdated = true;
  ownRow.heldVersions = new Map();
  read.isWanted ||= Object.values(versionsRow.services).some(
    (ends) => Object.keys(ends).length > 1,
  );
  forgetVersionsRow(state, nowMs);
}
