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
import { heardSinceMs } from '../peers/lifeEnds.js';
import { gossipTargets } from '../peers/gossipTargets.js';
import { isFiniteNumber } from '../store/rowValues.js';
import {
  FIRST_ERA,
  isPossible,
  isRowOfPresentEra,
  presentEra,
  storeTimeOf,
} from './listedVersions.js';
import { isSameServices, mergeListingTimes, mergeServices } from './mergeVersionsRow.js';
import {
  hasAnySeveralVersions,
  recordVersionOfOthers,
  updateStreamRetention,
} from './servedVersions.js';
import { validServices, validTimes } from './versionsRowValues.js';

/** Shortest interval between writes, in ms, so that a store that refuses is not pressed. */
const WRITE_INTERVAL_MS = 250;
/** Time for which a member of a hub leaves the write to its hub, in ms: until a lost hub is replaced. */
const MEMBER_DELAY_MS = 2000;
/** Longest time that a datagram takes between two boxes, in ms; one that takes longer makes a row seem younger than it is. */
const MAX_DATAGRAM_MS = 50;
/** Difference that the store's time may have between two boxes, in ms: a slow answer of one of them. */
const CLOCK_ERROR_MS = 100;

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
  if (versionsRow.isPending || !state.serversKnown) return;
  // The routes tell for how long a version that has ended stays in the row.
  if (state.active === undefined) return;
  if (step.nowMs - versionsRow.writtenAtMs < WRITE_INTERVAL_MS) return;
  if (isRowUpToDate(state, step.nowMs)) {
    versionsRow.outdatedSinceMs = undefined;
    return;
  }
  const services = mergeServices(state, step.nowMs);
  if (mustHearFleetFirst(state, services, step.nowMs)) return;
  versionsRow.outdatedSinceMs = undefined;
  versionsRow.isPending = true;
  versionsRow.writtenAtMs = step.nowMs;
  const listedAtMs = mergeListingTimes(state, services, step.nowMs);
  const value: ServedVersionsRow = {
    services,
    listedAtMs,
    era: presentEra(state),
    ...eraTimes(state, storeTimeOf(state, step.nowMs)),
  };
  const write = { key: SERVED_VERSIONS_KEY, expectVersion: versionsRow.version, value };
  const op: TableOp = { kind: 'transact', writes: [write] };
  requestTable(step, { kind: 'streamRows', call: 'writeVersions' }, op);
}

/**
 * Returns from when on this box may add a version to a row: once it has heard its fleet, no life goes on that it does
 * not hear, so that it vouches for all streams that began before.
 */
export function mayAddFromMs(state: GatewayState): number {
  return heardSinceMs(state) + CLOCK_ERROR_MS;
}

function mustHearFleetFirst(
  state: GatewayState,
  services: Readonly<Record<string, VersionEnds>>,
  nowMs: number,
): boolean {
  if (nowMs >= mayAddFromMs(state)) return false;
  const { services: recorded } = state.streamVersions.versionsRow;
  return Object.entries(services).some(([service, ends]) => {
    const known = recorded[service];
    return (
      known !== undefined && Object.keys(ends).some((version) => !Object.hasOwn(known, version))
    );
  });
}

/** Returns since when the row is written in the present era, and lacks no version. */
function eraTimes(
  state: GatewayState,
  storeNowMs: number,
): Pick<ServedVersionsRow, 'eraSinceMs' | 'completeSinceMs'> {
  const { eraSinceMs, completeSinceMs, version, lostUntilMs, wasKnownInEra } =
    state.streamVersions.versionsRow;
  if (isRowOfPresentEra(state)) return { eraSinceMs, completeSinceMs };
  const hasOutlastedRestore = Number.isFinite(state.storeRestoredAtMs);
  // The first row of a store that was never restored is the first of all; in another one, the backup may lack the row.
  const mayBeRestored = version !== 0 || hasOutlastedRestore || presentEra(state) > FIRST_ERA;
  if (!mayBeRestored) return {};
  // The versions that the row of the backup may lack are known to a box that knew the row before the restore. One
  // that had just started did not.
  return {
    eraSinceMs: storeNowMs,
    completeSinceMs: hasOutlastedRestore && wasKnownInEra ? lostUntilMs : storeNowMs,
  };
}

/** Whether the row lists all that this box has seen, and was written in the store's present era. */
function isRowUpToDate(state: GatewayState, nowMs: number): boolean {
  const { services } = state.streamVersions.versionsRow;
  return isRowOfPresentEra(state) && isSameServices(mergeServices(state, nowMs), services);
}

/** Handles the answer to a write. */
export function onVersionsRowWritten(
  state: GatewayState,
  step: Step,
  { answer, sentAtMs }: EventOf<'tableAnswered'>,
  rows: readonly TableRow[] | undefined,
): void {
  const { versionsRow } = state.streamVersions;
  versionsRow.isPending = false;
  const row = rows?.find(({ key }) => key === SERVED_VERSIONS_KEY);
  if (row !== undefined) applyVersionsRow(state, step, row, sentAtMs);
  else if (rows !== undefined) forgetVersionsRow(state, step.nowMs);
  if (answer.kind === 'done') return announceVersionsRow(state, step);
  if (isRowUpToDate(state, step.nowMs)) return;
  requireVersionsRow(state, step.nowMs);
  // The write has found another row, on which the next one builds.
  if (row !== undefined) versionsRow.writtenAtMs = Number.NEGATIVE_INFINITY;
}

/** Records the row as the table holds it. */
export function applyVersionsRow(
  state: GatewayState,
  step: Step,
  row: TableRow,
  knownAtMs: number,
): void {
  const { versionsRow } = state.streamVersions;
  versionsRow.knownAtMs = knownAtMs;
  const { services, listedAtMs, era, eraSinceMs, completeSinceMs } = (row.value ?? {}) as Partial<
    Record<string, unknown>
  >;
  versionsRow.version = row.version;
  versionsRow.services = validServices(services);
  versionsRow.listedAtMs = validTimes(listedAtMs);
  versionsRow.era = isFiniteNumber(era) ? era : undefined;
  versionsRow.eraSinceMs = isFiniteNumber(eraSinceMs) ? eraSinceMs : undefined;
  versionsRow.completeSinceMs = isFiniteNumber(completeSinceMs) ? completeSinceMs : undefined;
  versionsRow.wasKnownInEra ||= isRowOfPresentEra(state);
  if (isFiniteNumber(completeSinceMs)) {
    versionsRow.lostUntilMs = Math.max(versionsRow.lostUntilMs ?? completeSinceMs, completeSinceMs);
  }
  mergeIntoServed(state, step);
  if (!isRowUpToDate(state, step.nowMs)) requireVersionsRow(state, step.nowMs);
}

/** Applies a configuration, by which it is known for how long streams may be taken up, to what was read before. */
export function onStreamRoutesKnown(state: GatewayState, step: Step): void {
  updateStreamRetention(state, step.nowMs);
  mergeIntoServed(state, step);
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
  const { versionsRow } = state.streamVersions;
  const { version: revision, services, listedAtMs, era, knownAtMs } = versionsRow;
  const { eraSinceMs, completeSinceMs } = versionsRow;
  const boxId = state.settings.box.id;
  const kind = 'versionsListed' as const;
  const knownForMs = Math.round(step.nowMs - knownAtMs);
  const row = { services, listedAtMs, era, eraSinceMs, completeSinceMs, knownForMs };
  const message: VersionsListedMessage = { kind, boxId, revision, ...row };
  step.effects.push({ type: 'sendPeers', message, to });
}

/** Records the row that another box has written or read, unless this one knows a later one. */
export function onVersionsListed(
  state: GatewayState,
  step: Step,
  { message }: EventOf<'versionsListed'>,
): void {
  const { revision, knownForMs, ...value } = message;
  if (value.era !== presentEra(state) || revision <= state.streamVersions.versionsRow.version)
    return;
  const row = { key: SERVED_VERSIONS_KEY, version: revision, value };
  applyVersionsRow(state, step, row, step.nowMs - knownForMs - MAX_DATAGRAM_MS);
  if (forwardsGossip(state)) announceVersionsRow(state, step);
}

/** Discards the row as known: the table has none, or was restored from a backup. */
export function forgetVersionsRow(state: GatewayState, nowMs: number): void {
  const { versionsRow } = state.streamVersions;
  versionsRow.version = 0;
  versionsRow.services = {};
  versionsRow.listedAtMs = {};
  versionsRow.era = undefined;
  versionsRow.eraSinceMs = undefined;
  versionsRow.completeSinceMs = undefined;
  versionsRow.knownAtMs = Number.NEGATIVE_INFINITY;
  requireVersionsRow(state, nowMs);
}
