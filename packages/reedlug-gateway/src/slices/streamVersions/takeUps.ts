/**
 * Streams that their callers take up: finds out at which software version each began.
 *
 * A box that does not know holds the request for a moment and asks other boxes and the table. If nobody
 * knows, the stream goes on only where a single version can have begun it; otherwise it is refused.
 */
import { takeUpVerdict } from '../../policy/takeUpVerdict.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { RouteKind } from '../../types/configuration.js';
import type { PendingRequest, RequestFacts, RequestRecord } from '../../types/request.js';
import type { StreamStart, TableLookup, TakeUpLookup } from '../../types/streamVersion.js';
import type { TakeUp } from '../../types/takeUp.js';
import { isFreshPeer, isSeed, usesHubs } from '../peers/fleet.js';
import { possibleVersions } from './servedVersions.js';
import { askForStart } from './startGossip.js';
import { readStreamRows } from './streamRows.js';
import { findStart, keyOfStream } from './streamStarts.js';

/** Longest time for which a request is held, in ms: a slow store answers in 250. */
const MAX_LOOKUP_MS = 300;

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
  return { kind: 'goOn', service, version, source, ageMs: nowMs - recordedAtMs };
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
  const { key, service, awaited, table, untilMs, sinceMs } = lookup;
  const { nowMs } = step;
  const start = findStart(state, key);
  if (start !== undefined) return takeUpOfStart(start, step);
  const versions = new Set([...possibleVersions(state, service), ...lookup.versions]);
  const haveBoxesAnswered = awaited.size === 0;
  const isEachBoxHeard = haveBoxesAnswered && key !== undefined && isFleetHeard(state, nowMs);
  const isTimeUp = nowMs >= untilMs;
  const evidence = { versions, haveBoxesAnswered, isEachBoxHeard, table, isTimeUp };
  const verdict = takeUpVerdict(evidence);
  switch (verdict.kind) {
    case 'wait':
      return undefined;
    case 'onlyVersion': {
      const { version } = verdict;
      const source = witnessOf(state, { service, table });
      const ageMs = nowMs - state.processStartedAtMs;
      return { kind: 'goOn', service, version, source, ageMs };
    }
    case 'unknown':
      log(step, 'streamVersionUnknown', {
        request: lookup.request.facts.requestId,
        versions: [...versions].join(' '),
        table,
        unanswered: awaited.size,
        heldMs: Math.round(nowMs - sinceMs),
      });
      return { kind: 'unknown' };
  }
}

/** Names what shows that one version alone can have begun a stream, for the log. */
function witnessOf(
  { streamVersions }: GatewayState,
  { service, table }: { service: string; table: TableLookup },
): string {
  if (table !== 'read') return 'boxes';
  return streamVersions.versionsRow.services[service] === undefined ? 'tableWithoutRow' : 'table';
}

/** Whether this box has heard each other box of a small fleet lately. */
function isFleetHeard(state: GatewayState, nowMs: number): boolean {
  if (usesHubs(state)) return false;
  return [...state.peers.values()].every((peer) => isSeed(peer) || isFreshPeer(peer, nowMs));
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
