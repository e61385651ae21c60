/**
 * Rows of the shared table for streams, which outlast the loss of all boxes.
 *
 * Each box writes the streams that it relays to a row of its own, and the boxes together one row with
 * the versions that serve side by side. Nothing is written while one version serves. A box reads the rows
 * when it first sees a second version, and when a stream is taken up of which it knows nothing.
 */
import { describeRevision, type TableOp, type TableRow } from 'reedlug-coordination';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import {
  SERVED_VERSIONS_KEY,
  STREAM_ROWS_PREFIX,
  streamStartsKey,
  type ServedVersionsRow,
  type StreamStartsRow,
  type VersionEnds,
} from '../../types/streamVersion.js';
import { fleetSize, usesHubs } from '../peers/fleet.js';
import { isFiniteNumber, isFiniteNumberOrNull } from '../store/rowValues.js';
import { rowsOf } from '../store/tableRows.js';
import {
  hasAnySeveralVersions,
  hasSeveralVersions,
  possibleVersions,
  presentVersions,
  recordVersionOfOthers,
  streamRetentionMs,
} from './servedVersions.js';
import { announceOwnStarts } from './startGossip.js';
import { isStartRow, recordReceivedStart, startRowOf } from './streamStarts.js';

/** Shortest interval between writes of this box's row, in ms: what began since is lost with all boxes. */
const MIN_WRITE_INTERVAL_MS = 500;
/** Shortest interval between writes of the versions row, in ms, so that a store that refuses is not pressed. */
const VERSIONS_WRITE_INTERVAL_MS = 250;
/** Interval for each box of the fleet, in ms: all boxes together write at most a hundred times a second. */
const WRITE_INTERVAL_PER_BOX_MS = 10;
/** Maximum number of streams in a row, the newest ones; a row stays below 16 KB. */
const MAX_STARTS_PER_ROW = 200;
/** Maximum number of rows that one read returns; a fleet without hubs has fewer boxes. */
const MAX_ROWS_READ = 100;

/** Reads and writes the rows when that is due. */
export function streamRowsTick(state: GatewayState, step: Step): void {
  const { read, ownRow, versionsRow } = state.streamVersions;
  if (read.isWanted && !read.isPending) readStreamRows(state, step);
  const isVersionsDue = step.nowMs - versionsRow.writtenAtMs >= VERSIONS_WRITE_INTERVAL_MS;
  if (versionsRow.isOutdated && !versionsRow.isPending && isVersionsDue) {
    writeServedVersions(state, step);
  }
  if (!ownRow.isOutdated || ownRow.isPending) return;
  const intervalMs = Math.max(MIN_WRITE_INTERVAL_MS, fleetSize(state) * WRITE_INTERVAL_PER_BOX_MS);
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
  const own = [...starts.values()].filter(
    ({ isOwn, service }) => isOwn && hasSeveralVersions(state, service),
  );
  if (own.length === 0) return;
  ownRow.isPending = true;
  ownRow.writtenAtMs = step.nowMs;
  const value: StreamStartsRow = {
    storeNowMs: storeTimeOf(state, step.nowMs),
    starts: own.slice(-MAX_STARTS_PER_ROW).map((start) => startRowOf(start, step.nowMs)),
  };
  const key = streamStartsKey(state.settings.box.id);
  const write = { key, expectVersion: ownRow.version, value };
  const op = { kind: 'transact', writes: [write] } as const;
  requestTable(step, { kind: 'streamRows', call: 'writeOwn' }, op);
}

/** Writes the versions that serve side by side. In a large fleet only hubs do, whose members follow them. */
function writeServedVersions(state: GatewayState, step: Step): void {
  const { versionsRow } = state.streamVersions;
  versionsRow.isOutdated = false;
  if (usesHubs(state) && state.hubId !== undefined) return;
  const services = mergeServedVersions(state, step);
  if (isSameServices(services, versionsRow.services)) return;
  versionsRow.isPending = true;
  versionsRow.writtenAtMs = step.nowMs;
  const value: ServedVersionsRow = { services };
  const write = { key: SERVED_VERSIONS_KEY, expectVersion: versionsRow.version, value };
  const op = { kind: 'transact', writes: [write] } as const;
  requestTable(step, { kind: 'streamRows', call: 'writeVersions' }, op);
}

/** Returns the row as it should be: the versions of each service that serve, or ended while streams of them may be taken up. */
function mergeServedVersions(
  state: GatewayState,
  step: Step,
): Readonly<Record<string, VersionEnds>> {
  const { services: recorded } = state.streamVersions.versionsRow;
  const nowMs = storeTimeOf(state, step.nowMs);
  const present = presentVersions(state);
  const names = new Set([...Object.keys(recorded), ...state.streamVersions.served.keys()]);
  const merged: Record<string, VersionEnds> = {};
  for (const service of names) {
    const ends: Record<string, number | null> = {};
    for (const version of possibleVersions(state, service)) ends[version] = nowMs;
    for (const [version, endedAtMs] of Object.entries(recorded[service] ?? {})) {
      ends[version] = endedAtMs ?? nowMs;
    }
    for (const version of present.get(service) ?? []) ends[version] = null;
    const current = Object.entries(ends).filter(([, endedAtMs]) =>
      isPossible(state, endedAtMs, nowMs),
    );
    if (current.length > 1) merged[service] = Object.fromEntries(current);
  }
  return merged;
}

function isPossible(state: GatewayState, endedAtMs: number | null, storeNowMs: number): boolean {
  return endedAtMs === null || storeNowMs - endedAtMs <= streamRetentionMs(state);
}

/** Whether both have the same versions, and the same of them have ended. */
function isSameServices(
  a: Readonly<Record<string, VersionEnds>>,
  b: Readonly<Record<string, VersionEnds>>,
): boolean {
  const textOf = (services: Readonly<Record<string, VersionEnds>>): string =>
    Object.entries(services)
      .flatMap(([service, ends]) =>
        Object.entries(ends).map(([version, at]) => `${service} ${version} ${at === null}`),
      )
      .sort()
      .join('\n');
  return textOf(a) === textOf(b);
}

function storeTimeOf({ storeEpochMs = 0 }: GatewayState, nowMs: number): number {
  return Math.round(nowMs - storeEpochMs);
}

/** Handles an answer of the table. */
export function onStreamRows(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  { call }: { call: 'read' | 'writeOwn' | 'writeVersions' },
): void {
  const { read, ownRow, versionsRow } = state.streamVersions;
  const rows = rowsOf(event.answer);
  const isWritten = event.answer.kind === 'done';
  switch (call) {
    case 'read':
      read.isPending = false;
      endTableLookups(state, event.sentAtMs, rows === undefined ? 'failed' : 'read');
      if (rows !== undefined && !rows.some(({ key }) => key === SERVED_VERSIONS_KEY)) {
        versionsRow.version = 0;
        versionsRow.services = {};
      }
      break;
    case 'writeOwn':
      ownRow.isPending = false;
      ownRow.isOutdated ||= !isWritten;
      break;
    case 'writeVersions':
      versionsRow.isPending = false;
      versionsRow.isOutdated ||= !isWritten;
      break;
  }
  for (const row of rows ?? []) applyRow(state, step, row, isWritten && call === 'writeOwn');
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
  const { versionsRow, ownRow } = state.streamVersions;
  if (row.key === SERVED_VERSIONS_KEY) {
    versionsRow.version = row.version;
    versionsRow.services = servicesOf(row.value);
    return mergeVersionsRow(state, step);
  }
  const isOwn = row.key === streamStartsKey(state.settings.box.id);
  if (isOwn) ownRow.version = row.version;
  if (isOwnWrite || !row.key.startsWith(STREAM_ROWS_PREFIX)) return;
  const value = row.value as Partial<StreamStartsRow> | null | undefined;
  if (!Array.isArray(value?.starts) || !isFiniteNumber(value.storeNowMs)) {
    const revision = describeRevision(row.version);
    return log(step, 'streamRowUnreadable', { key: row.key, revision });
  }
  const asOfMs = Math.min(step.nowMs, value.storeNowMs + (state.storeEpochMs ?? 0));
  const origin = { source: row.key, isOwn, asOfMs };
  for (const start of value.starts.filter(isStartRow)) {
    recordReceivedStart(state, step, start, origin);
  }
}

/** Counts the versions of the row as seen until their end; those that still serve as seen now. */
function mergeVersionsRow(state: GatewayState, step: Step): void {
  const storeNowMs = storeTimeOf(state, step.nowMs);
  for (const [service, ends] of Object.entries(state.streamVersions.versionsRow.services)) {
    for (const [version, endedAtMs] of Object.entries(ends)) {
      if (!isPossible(state, endedAtMs, storeNowMs)) continue;
      const seenAtMs = step.nowMs - Math.max(0, storeNowMs - (endedAtMs ?? storeNowMs));
      recordVersionOfOthers(state, { service, version, seenAtMs });
    }
  }
}

/** Returns the services of the row without malformed values. */
function servicesOf(value: unknown): Readonly<Record<string, VersionEnds>> {
  const { services } = (value ?? {}) as { services?: unknown };
  if (typeof services !== 'object' || services === null) return {};
  const valid = Object.entries(services).flatMap(([service, ends]) => {
    if (typeof ends !== 'object' || ends === null) return [];
    const entries = Object.entries(ends).filter(([, at]) => isFiniteNumberOrNull(at));
    return [[service, Object.fromEntries(entries) as VersionEnds] as const];
  });
  return Object.fromEntries(valid);
}

/** Discards what is known of the rows after a restore of the store, which may have lost them. */
export function forgetStreamRows({ streamVersions }: GatewayState): void {
  const { read, ownRow, versionsRow } = streamVersions;
  ownRow.version = 0;
  ownRow.isOutdated = true;
  versionsRow.version = 0;
  versionsRow.isOutdated = true;
  read.isWanted ||= Object.keys(versionsRow.services).length > 0;
}
