/**
 * Streams that their callers take up: finds out at which software version each began.
 *
 * A box that does not know holds the request for a moment and asks other boxes and the table. If nobody
 * knows, the stream goes on only where a single version can have begun it; otherwise it is refused.
 */
import { takeUpVerdict, type TableEvidence } from '../../policy/takeUpVerdict.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { RouteKind } from '../../types/configuration.js';
import type { PendingRequest, RequestFacts, RequestRecord } from '../../types/request.js';
import { VersionProof, type StreamStart, type TakeUpLookup } from '../../types/streamVersion.js';
import type { TakeUp } from '../../types/takeUp.js';
import { isFreshPeer, isSeed, usesHubs } from '../peers/fleet.js';
import {
  hasHeardFleet,
  isHearingFleet,
  longestHearingMs,
  sameLivesSinceMs,
} from '../peers/lifeEnds.js';
import { possibleVersions, streamRetentionMs } from './servedVersions.js';
import { askForStart } from './startGossip.js';
import { readStreamRows } from './streamRows.js';
import { findStart, hasForgottenStarts, keyOfStream } from './streamStarts.js';
import {
  isRowComplete,
  listedVersions,
  storeTimeOf,
  type ListedVersion,
} from './listedVersions.js';

/** Longest time for which a request is held, in ms: a slow store answers in 250. */
const MAX_LOOKUP_MS = 300;
/** The same while the table is being read, in ms: a refused caller would come back no sooner. */
const MAX_TABLE_LOOKUP_MS = 1000;

/** Whether the caller of a request has events of the stream already. */
function isTakenUp({ lastEventId, resumedRequestId }: RequestFacts): boolean {
  return lastEventId !== undefined || resumedRequestId !== undefined;
}

/** What is to be done with a request: others than those that take up a stream are new. */
export type TakeUpDecision = { kind: 'new' } | { kind: 'held' } | TakeUp;

/** Returns how a stream that is taken up goes on, or holds its request until that is known. */
export function decideTakeUp(
  state: GatewayState,
  step: Step,
  request: PendingRequest,
  record: RequestRecord,
): TakeUpDecision {
  if (record.route.kind !== RouteKind.stream || !isTakenUp(record.facts)) return { kind: 'new' };
  if (request.takeUp !== undefined) return request.takeUp;
  const key = keyOfStream(record);
  const start = findStart(state, key);
  if (start !== undefined) return takeUpOfStart(start, step);
  startLookup(state, step, { request, key, service: record.service });
  return { kind: 'held' };
}

function takeUpOfStart(start: StreamStart, { nowMs }: Step): TakeUp {
  const { service, version, source, recordedAtMs } = start;
  if (version === undefined) return { kind: 'unknown' };
  return {
    ...{ kind: 'goOn', service, version, source, ageMs: nowMs - recordedAtMs },
    isStartKnown: true,
  };
}

function startLookup(
  state: GatewayState,
  step: Step,
  { request, key, service }: { request: PendingRequest; key: string | undefined; service: string },
): void {
  const { streamVersions } = state;
  const { nowMs } = step;
  const awaited =
    key === undefined ? new Set<string>() : askForStart(state, step, { key, service });
  streamVersions.lookups.push({
    request,
    key,
    service,
    sinceMs: nowMs,
    untilMs: nowMs + MAX_LOOKUP_MS,
    awaited,
    versions: new Set(),
    table: 'pending',
  });
  if (streamVersions.read.isPending) return;
  readStreamRows(state, step);
}

/** Ends the look-ups whose outcome is known. */
export function lookupsTick(state: GatewayState, step: Step): void {
  const { streamVersions } = state;
  if (streamVersions.lookups.length === 0) return;
  const waiting: TakeUpLookup[] = [];
  for (const lookup of streamVersions.lookups) {
    const takeUp = outcomeOf(state, step, lookup);
    if (takeUp === undefined) waiting.push(lookup);
    else streamVersions.resolved.push({ request: lookup.request, takeUp });
  }
  streamVersions.lookups = waiting;
}

/** Returns how a stream goes on, or undefined while that is open. */
function outcomeOf(state: GatewayState, step: Step, lookup: TakeUpLookup): TakeUp | undefined {
  const { key, service, awaited, sinceMs, untilMs } = lookup;
  const { nowMs } = step;
  const start = findStart(state, key);
  if (start !== undefined) return takeUpOfStart(start, step);
  const witnessedMs =
    key !== undefined && isFleetHeard(state, nowMs) ? longestHearingMs(state, nowMs) : 0;
  const haveBoxesAnswered = ![...awaited].some((boxId) => mayAnswer(state, boxId, nowMs));
  const verdict = takeUpVerdict({
    table: tableEvidence(state, lookup, { haveBoxesAnswered, nowMs }),
    seenVersions: seenVersions(state, lookup),
    haveBoxesAnswered,
    isWitnessed: haveBoxesAnswered && witnessedMs >= streamRetentionMs(state),
    isTimeUp: nowMs >= (isTableAwaited(state, lookup) ? sinceMs + MAX_TABLE_LOOKUP_MS : untilMs),
  });
  switch (verdict.kind) {
    case 'wait':
      return undefined;
    case 'onlyVersion': {
      const { version, proof } = verdict;
      const ageMs =
        proof === VersionProof.boxes
          ? witnessedMs
          : listedForMs(state, { service, version, nowMs });
      return { kind: 'goOn', service, version, source: proof, ageMs, isStartKnown: false };
    }
    case 'unknown':
      logUnknown(state, step, lookup);
      return { kind: 'unknown' };
  }
}

/** Whether the read of the table that a look-up waits for may still bring the start of its stream. */
function isTableAwaited({ storeReachable }: GatewayState, { key, table }: TakeUpLookup): boolean {
  return storeReachable && key !== undefined && table === 'pending';
}

/** Returns what the table shows of a look-up's service; the look-up of a stream without a key asks no boxes. */
function tableEvidence(
  state: GatewayState,
  { key, service, table }: TakeUpLookup,
  { haveBoxesAnswered, nowMs }: { haveBoxesAnswered: boolean; nowMs: number },
): TableEvidence {
  if (table === 'pending') {
    const mayUseKnownRow = haveBoxesAnswered && key !== undefined;
    const known = mayUseKnownRow ? knownRowEvidence(state, service, nowMs) : undefined;
    return known ?? { kind: 'pending' };
  }
  const listed = listedVersions(state, service, nowMs);
  if (table === 'failed' || listed.length === 0) return { kind: 'nothing' };
  const versions = new Set(listed.map(({ version }) => version));
  if (isRowComplete(state, nowMs)) {
    if (key === undefined) return { kind: 'listed', versions, earlier: undefined };
    const earlier = versionsBeforeLifeEnds(state, { service, listed }, nowMs);
    const isDated = listed.some(({ listedAtMs }) => listedAtMs !== undefined);
    const mayLearnMore = earlier === undefined && isDated && isHearingFleet(state, nowMs);
    return { kind: 'listed', versions, earlier: mayLearnMore ? 'pending' : earlier };
  }
  return key === undefined ? { kind: 'nothing' } : { kind: 'restored', versions };
}

/** Returns the versions that this box and those that answered have seen, or know to have begun streams. */
function seenVersions(state: GatewayState, { service, versions }: TakeUpLookup): Set<string> {
  const unlisted = state.streamVersions.begunUnlisted.get(service) ?? [];
  return new Set([...possibleVersions(state, service), ...versions, ...unlisted]);
}

/** Whether a box that was asked may still answer: in a small fleet, a box that was never heard does not run. */
function mayAnswer(state: GatewayState, boxId: string, nowMs: number): boolean {
  if (usesHubs(state) || !hasHeardFleet(state, nowMs)) return true;
  return state.peers.get(boxId)?.message !== undefined;
}

/**
 * Returns what the row shows as this box knows it, without a new read, if it is younger than the last end of a life and a
 * single version can have begun the stream: otherwise the table may hold the start of the stream.
 */
function knownRowEvidence(
  state: GatewayState,
  service: string,
  nowMs: number,
): TableEvidence | undefined {
  const sinceMs = sameLivesSinceMs(state, nowMs);
  const { knownAtMs } = state.streamVersions.versionsRow;
  if (sinceMs === undefined || knownAtMs < sinceMs || !isRowComplete(state, nowMs))
    return undefined;
  const listed = listedVersions(state, service, nowMs);
  const earlier = versionsBeforeLifeEnds(state, { service, listed }, nowMs);
  if (earlier?.size !== 1) return undefined;
  return { kind: 'listed', versions: new Set(listed.map(({ version }) => version)), earlier };
}

/** Returns the versions at which streams may have begun in lives that have ended, or were forgotten; undefined if that is not known. */
function versionsBeforeLifeEnds(
  state: GatewayState,
  { service, listed }: { service: string; listed: readonly ListedVersion[] },
  nowMs: number,
): ReadonlySet<string> | undefined {
  const sinceMs = sameLivesSinceMs(state, nowMs);
  if (sinceMs === undefined || state.storeEpochMs === undefined) return undefined;
  const sinceStoreMs = storeTimeOf(state, sinceMs);
  const earlier = listed.filter(
    ({ version, listedAtMs }) =>
      listedAtMs === undefined ||
      listedAtMs < sinceStoreMs ||
      hasForgottenStarts(state, { service, version }),
  );
  return new Set(earlier.map(({ version }) => version));
}

/** Returns for how long the row has listed a version, in ms; -1 if that is not known. */
function listedForMs(
  state: GatewayState,
  { service, version, nowMs }: { service: string; version: string; nowMs: number },
): number {
  const listed = listedVersions(state, service, nowMs).find((known) => known.version === version);
  return listed?.listedAtMs === undefined ? -1 : storeTimeOf(state, nowMs) - listed.listedAtMs;
}

function logUnknown(state: GatewayState, step: Step, lookup: TakeUpLookup): void {
  const { request, service, sinceMs, table, awaited } = lookup;
  const { nowMs } = step;
  const listed = listedVersions(state, service, nowMs);
  const livesSinceMs = sameLivesSinceMs(state, nowMs);
  log(step, 'streamVersionUnknown', {
    request: request.facts.requestId,
    versions: [...seenVersions(state, lookup)].join(' '),
    table,
    listed: listed.map(({ version }) => version).join(' '),
    isRowComplete: isRowComplete(state, nowMs),
    unanswered: awaited.size,
    sameLivesForMs: livesSinceMs === undefined ? -1 : Math.round(nowMs - livesSinceMs),
    heldMs: Math.round(nowMs - sinceMs),
  });
}

/** Whether this box has heard each other box of a small fleet lately. */
function isFleetHeard(state: GatewayState, nowMs: number): boolean {
  if (usesHubs(state)) return false;
  return [...state.peers.values()].every(
    (peer) => isSeed(peer) || (peer.message !== undefined && isFreshPeer(peer, nowMs)),
  );
}

/** Removes and returns the requests whose look-up has ended. */
export function takeResolvedRequests(state: GatewayState): PendingRequest[] {
  const resolved = state.streamVersions.resolved.splice(0);
  return resolved.map(({ request, takeUp }) => ({ ...request, takeUp }));
}

/** Removes a held request whose caller has disconnected. */
export function removeLookup({ streamVersions }: GatewayState, exchangeId: number): void {
  streamVersions.lookups = streamVersions.lookups.filter(
    ({ request }) => request.exchangeId !== exchangeId,
  );
}
