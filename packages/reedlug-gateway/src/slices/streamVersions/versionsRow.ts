/**
 * Row of the shared table with the versions at which streams may have begun, which outlasts the loss of all boxes.
 *
 * A stream's first event is relayed only once the row lists the version of its server. So a box without memory
 * learns from the row at which versions a stream may have begun that no box knows, also where none of them serves
 * any more. The row is written when a version comes or goes; its writer tells the other boxes.
 */
import type { TableOp, TableRow } from 'reedlug-coordination';
import { requestTable, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import {
  SERVED_VERSIONS_KEY,
  type ServedVersionsRow,
  type VersionEnds,
  type VersionsListedMessage,
} from '../../types/streamVersion.js';
import { forwardsGossip, startDelayMs, usesHubs } from '../peers/fleet.js';
import { gossipTargets } from '../peers/gossipTargets.js';
import { isFiniteNumber, isFiniteNumberOrNull, isRecordOf } from '../store/rowValues.js';
import {
  hasAnySeveralVersions,
  possibleVersions,
  presentVersions,
  recordVersionOfOthers,
  streamRetentionMs,
} from './servedVersions.js';

/** Shortest interval between writes, in ms, so that a store that refuses is not pressed. */
const WRITE_INTERVAL_MS = 250;
/** Time for which a member of a hub leaves the write to its hub, in ms: until a lost hub is replaced. */
const MEMBER_DELAY_MS = 2000;

/** A version that the row lists. */
export interface ListedVersion {
  version: string;
  /** Store's time before which no stream can have begun there, in ms; undefined if that is not known. */
  listedAtMs: number | undefined;
}

/** Returns the store's time, in ms. */
export function storeTimeOf({ storeEpochMs = 0 }: GatewayState, nowMs: number): number {
  return Math.round(nowMs - storeEpochMs);
}

/** Whether the row as this box knows it was written in the store's present era: one of a backup may lack versions. */
export function isRowOfPresentEra(state: GatewayState): boolean {
  const { version, era } = state.streamVersions.versionsRow;
  return version !== 0 && era === presentEra(state);
}

/** Returns the store's era; a store that states none has not been restored. */
function presentEra({ storeEra = 0 }: GatewayState): number {
  return storeEra;
}

/** Whether the row lists a version of a service. */
export function isListed(
  state: GatewayState,
  { service, version, nowMs }: { service: string; version: string; nowMs: number },
): boolean {
  if (!isRowOfPresentEra(state)) return false;
  const endedAtMs = state.streamVersions.versionsRow.services[service]?.[version];
  return endedAtMs !== undefined && isPossible(state, endedAtMs, storeTimeOf(state, nowMs));
}

/** Returns the versions of a service that the row lists, without those of which no stream is left. */
export function listedVersions(
  state: GatewayState,
  service: string,
  nowMs: number,
): ListedVersion[] {
  const { services, listedAtMs } = state.streamVersions.versionsRow;
  const storeNowMs = storeTimeOf(state, nowMs);
  return Object.entries(services[service] ?? {})
    .filter(([, endedAtMs]) => isPossible(state, endedAtMs, storeNowMs))
    .map(([version]) => ({ version, listedAtMs: listedAtMs[service]?.[version] }));
}

/** Records that the row may have to be written. */
export function requireVersionsRow({ streamVersions }: GatewayState, nowMs: number): void {
  streamVersions.versionsRow.outdatedSinceMs ??= nowMs;
}

/** Writes the row when that is due, and tells boxes of it that have just started. */
export function versionsRowTick(state: GatewayState, step: Step): void {
  informStartedPeers(state, step);
  const { versionsRow, awaitingListing } = state.streamVersions;
  const { outdatedSinceMs } = versionsRow;
  if (outdatedSinceMs === undefined) return;
  const isUrgent = awaitingListing.length > 0 || (isWriter(state) && hasAnySeveralVersions(state));
  if (isUrgent || step.nowMs - outdatedSinceMs >= writeDelayMs(state)) {
    writeVersionsRow(state, step);
  }
}

function isWriter(state: GatewayState): boolean {
  return !usesHubs(state) || state.hubId === undefined;
}

/** Returns how long this box leaves the write to others, in ms. */
function writeDelayMs(state: GatewayState): number {
  return startDelayMs(state) + (isWriter(state) ? 0 : MEMBER_DELAY_MS);
}

/** Writes the row if it differs from what this box has seen. A write that finds another row reads it. */
export function writeVersionsRow(state: GatewayState, step: Step): void {
  const { versionsRow } = state.streamVersions;
  if (versionsRow.isPending) return;
  if (step.nowMs - versionsRow.writtenAtMs < WRITE_INTERVAL_MS) return;
  versionsRow.outdatedSinceMs = undefined;
  if (isRowComplete(state, step.nowMs)) return;
  versionsRow.isPending = true;
  versionsRow.writtenAtMs = step.nowMs;
  const services = mergeServices(state, step.nowMs);
  const listedAtMs = mergeListingTimes(state, services, step.nowMs);
  const value: ServedVersionsRow = { services, listedAtMs, era: presentEra(state) };
  const write = { key: SERVED_VERSIONS_KEY, expectVersion: versionsRow.version, value };
  const op: TableOp = { kind: 'transact', writes: [write] };
  requestTable(step, { kind: 'streamRows', call: 'writeVersions' }, op);
}

/** Whether the row lists all that this box has seen, and was written in the store's present era. */
function isRowComplete(state: GatewayState, nowMs: number): boolean {
  const { services } = state.streamVersions.versionsRow;
  return isRowOfPresentEra(state) && isSameServices(mergeServices(state, nowMs), services);
}

/**
 * Returns the services as the row should list them: the versions that serve, and those that ended while streams of them
 * may be taken up. The last version of a service counts as serving.
 */
function mergeServices(state: GatewayState, nowMs: number): Readonly<Record<string, VersionEnds>> {
  const { services: recorded } = state.streamVersions.versionsRow;
  const storeNowMs = storeTimeOf(state, nowMs);
  const present = presentVersions(state);
  const names = new Set([...Object.keys(recorded), ...state.streamVersions.served.keys()]);
  const merged: Record<string, VersionEnds> = {};
  for (const service of names) {
    const ends: Record<string, number | null> = {};
    for (const version of possibleVersions(state, service)) ends[version] = storeNowMs;
    for (const [version, endedAtMs] of Object.entries(recorded[service] ?? {})) {
      ends[version] = endedAtMs ?? storeNowMs;
    }
    for (const version of present.get(service) ?? []) ends[version] = null;
    const current = Object.entries(ends).filter(([, endedAtMs]) =>
      isPossible(state, endedAtMs, storeNowMs),
    );
    const [only] = current;
    if (current.length === 1 && only !== undefined) merged[service] = { [only[0]]: null };
    else if (current.length > 1) merged[service] = Object.fromEntries(current);
  }
  return merged;
}

/**
 * Returns the times of listing. A version that is added to a row of the present era is listed from now on; of others it is
 * not known since when streams may have begun there.
 */
function mergeListingTimes(
  state: GatewayState,
  services: Readonly<Record<string, VersionEnds>>,
  nowMs: number,
): Readonly<Record<string, Readonly<Record<string, number>>>> {
  const { versionsRow, begunUnlisted } = state.streamVersions;
  const storeNowMs = storeTimeOf(state, nowMs);
  const merged: Record<string, Record<string, number>> = {};
  for (const [service, ends] of Object.entries(services)) {
    const recorded = versionsRow.services[service] ?? {};
    const times: Record<string, number> = {};
    for (const version of Object.keys(ends)) {
      const isAdded = !Object.hasOwn(recorded, version) && isRowOfPresentEra(state);
      const mayHaveBegun = begunUnlisted.get(service)?.has(version) === true;
      const listedAtMs = versionsRow.listedAtMs[service]?.[version];
      if (isAdded && !mayHaveBegun) times[version] = storeNowMs;
      else if (listedAtMs !== undefined) times[version] = listedAtMs;
    }
    merged[service] = times;
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

/** Handles the answer to a write. */
export function onVersionsRowWritten(
  state: GatewayState,
  step: Step,
  { answer }: EventOf<'tableAnswered'>,
  rows: readonly TableRow[] | undefined,
): void {
  const { versionsRow } = state.streamVersions;
  versionsRow.isPending = false;
  const row = rows?.find(({ key }) => key === SERVED_VERSIONS_KEY);
  if (row !== undefined) applyVersionsRow(state, step, row);
  else if (rows !== undefined) forgetVersionsRow(state, step.nowMs);
  if (answer.kind === 'done') return announceVersionsRow(state, step);
  // The next write is due as soon as the interval allows.
  if (!isRowComplete(state, step.nowMs)) versionsRow.outdatedSinceMs = Number.NEGATIVE_INFINITY;
}

/** Records the row as the table holds it. */
export function applyVersionsRow(state: GatewayState, step: Step, row: TableRow): void {
  const { versionsRow } = state.streamVersions;
  const { services, listedAtMs, era } = (row.value ?? {}) as Partial<Record<string, unknown>>;
  versionsRow.version = row.version;
  versionsRow.services = validServices(services);
  versionsRow.listedAtMs = validTimes(listedAtMs);
  versionsRow.era = isFiniteNumber(era) ? era : undefined;
  mergeIntoServed(state, step);
  if (!isRowComplete(state, step.nowMs)) requireVersionsRow(state, step.nowMs);
}

/** Counts the versions of the row as seen until their end; those that still serve as seen now. */
function mergeIntoServed(state: GatewayState, step: Step): void {
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
function validServices(services: unknown): Readonly<Record<string, VersionEnds>> {
  if (typeof services !== 'object' || services === null) return {};
  const valid = Object.entries(services).flatMap(([service, ends]) => {
    if (typeof ends !== 'object' || ends === null) return [];
    const entries = Object.entries(ends).filter(([, at]) => isFiniteNumberOrNull(at));
    return [[service, Object.fromEntries(entries) as VersionEnds] as const];
  });
  return Object.fromEntries(valid);
}

function validTimes(times: unknown): Readonly<Record<string, Readonly<Record<string, number>>>> {
  if (typeof times !== 'object' || times === null) return {};
  const isOfService = (value: unknown): value is Record<string, number> =>
    isRecordOf(value, isFiniteNumber);
  return Object.fromEntries(Object.entries(times).filter(([, value]) => isOfService(value)));
}

function announceVersionsRow(state: GatewayState, step: Step): void {
  sendVersionsRow(state, step, gossipTargets(state, step.nowMs));
}

/** Sends the row to boxes that have just started or were silent. */
function informStartedPeers(state: GatewayState, step: Step): void {
  if (state.peersNeedingStatements.size === 0 || !isRowOfPresentEra(state)) return;
  const peers = [...state.peersNeedingStatements].map((boxId) => state.peers.get(boxId));
  const to = peers.flatMap((peer) => (peer === undefined ? [] : [peer.address]));
  sendVersionsRow(state, step, to);
}

function sendVersionsRow(
  state: GatewayState,
  step: Step,
  to: ReturnType<typeof gossipTargets>,
): void {
  if (to.length === 0) return;
  const { version: revision, services, listedAtMs, era } = state.streamVersions.versionsRow;
  const boxId = state.settings.box.id;
  const kind = 'versionsListed' as const;
  const message: VersionsListedMessage = { kind, boxId, revision, services, listedAtMs, era };
  step.effects.push({ type: 'sendPeers', message, to });
}

/** Records the row that another box has written or read, unless this one knows a later one. */
export function onVersionsListed(
  state: GatewayState,
  step: Step,
  { message }: EventOf<'versionsListed'>,
): void {
  const { revision, ...value } = message;
  if (value.era !== presentEra(state) || revision <= state.streamVersions.versionsRow.version)
    return;
  applyVersionsRow(state, step, { key: SERVED_VERSIONS_KEY, version: revision, value });
  if (forwardsGossip(state)) announceVersionsRow(state, step);
}

/** Discards the row as known: the table has none, or was restored from a backup. */
export function forgetVersionsRow(state: GatewayState, nowMs: number): void {
  const { versionsRow } = state.streamVersions;
  versionsRow.version = 0;
  versionsRow.services = {};
  versionsRow.listedAtMs = {};
  versionsRow.era = undefined;
  requireVersionsRow(state, nowMs);
}
