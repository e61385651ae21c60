/**
 * Messages about the starts of streams.
 *
 * A caller may be back some 40 ms after its first event, at any box, while the box that served it may be
 * gone. So the start of a stream is sent before its first event: to all boxes in a small fleet,
 * in a large one to a few that all boxes pick alike by the stream's key. Nothing is sent while one
 * version serves.
 */
import { hashId, hashString, rendezvousWeight } from 'reedlug-coordination';
import type { GatewayState, Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { RequestRecord } from '../../types/request.js';
import type { StreamStart } from '../../types/streamVersion.js';
import type { PeerView } from '../../types/views.js';
import { isFreshPeer, isSeed, ownAddress, usesHubs } from '../peers/fleet.js';
import { hasSeveralVersions, possibleVersions } from './servedVersions.js';
import { isListed } from './listedVersions.js';
import {
  findStart,
  isStartRow,
  recordOwnStart,
  recordReceivedStart,
  startRowOf,
} from './streamStarts.js';
import { MAX_VERSION_LENGTH } from './versionsRowValues.js';

/** Number of boxes that keep the start of a stream in a large fleet: one is left with 94 % if half of all boxes fail. */
const HOLDERS = 4;
/** Maximum number of starts in a datagram, so that it stays below its maximum size. */
const MAX_STARTS_PER_DATAGRAM = 100;
/** Maximum number of versions in an answer. */
const MAX_VERSIONS = 32;

/** Sends the start of a stream to the boxes that keep it, if several versions of its service serve or its own is not listed. */
export function announceStart(state: GatewayState, step: Step, start: StreamStart): void {
  const { service, version } = start;
  const isUnlisted = version !== undefined && !isListed(state, { service, version });
  if (isUnlisted) recordUnlistedBegin(state, { service, version });
  if (!isUnlisted && !hasSeveralVersions(state, service)) return;
  sendStarts(state, step, [start], holdersOf(state, start.key));
}

function recordUnlistedBegin(
  { streamVersions: { begunUnlisted } }: GatewayState,
  { service, version }: { service: string; version: string },
): void {
  const versions = begunUnlisted.get(service) ?? new Set();
  begunUnlisted.set(service, versions.add(version));
}

/** Records that events of a stream may be of another version than it was bound to; nobody goes on with it. */
export function recordUncertainBegin(state: GatewayState, step: Step, record: RequestRecord): void {
  if (record.beganAtVersion === undefined) return;
  record.isBeginUncertain = true;
  const start = recordOwnStart(state, step, record, undefined);
  if (start !== undefined) announceStart(state, step, start);
}

/** Sends the starts of all streams of this box, as other boxes may lack them. */
export function announceOwnStarts(state: GatewayState, step: Step): void {
  const { starts } = state.streamVersions;
  const own = [...starts.values()].filter(
    ({ isOwn, service }) => isOwn && hasSeveralVersions(state, service),
  );
  const byBox = new Map<PeerView, StreamStart[]>();
  for (const start of own) {
    for (const peer of holdersOf(state, start.key)) {
      const forPeer = byBox.get(peer) ?? [];
      byBox.set(peer, forPeer);
      forPeer.push(start);
    }
  }
  for (const [peer, forPeer] of byBox) sendStarts(state, step, forPeer, [peer]);
}

function sendStarts(
  state: GatewayState,
  step: Step,
  starts: readonly StreamStart[],
  peers: readonly PeerView[],
): void {
  if (peers.length === 0) return;
  const to = peers.map(({ address }) => address);
  const boxId = state.settings.box.id;
  for (let first = 0; first < starts.length; first += MAX_STARTS_PER_DATAGRAM) {
    const rows = starts
      .slice(first, first + MAX_STARTS_PER_DATAGRAM)
      .map((start) => startRowOf(start, step.nowMs));
    const message = { kind: 'streamStarts' as const, boxId, starts: rows };
    step.effects.push({ type: 'sendPeers', message, to });
  }
}

/** Returns the other boxes that keep the start of a stream. */
function holdersOf(state: GatewayState, key: string): PeerView[] {
  const peers = [...state.peers.values()];
  if (!usesHubs(state)) return peers;
  const keyHash = hashString(key);
  return peers
    .filter((peer) => !isSeed(peer))
    .map((peer) => ({ peer, weight: rendezvousWeight(keyHash, hashId(peer.boxId)) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, HOLDERS)
    .map(({ peer }) => peer);
}

/** Asks the boxes that may know a stream; returns those whose answer is to be expected. */
export function askForStart(
  state: GatewayState,
  step: Step,
  { key, service }: { key: string; service: string },
): Set<string> {
  const holders = holdersOf(state, key);
  if (holders.length === 0) return new Set();
  const { boxId, host, port } = ownAddress(state);
  const message = { kind: 'streamStartAsked' as const, boxId, host, port, key, service };
  step.effects.push({ type: 'sendPeers', message, to: holders.map(({ address }) => address) });
  const viaHubs = usesHubs(state);
  const mayAnswer = (peer: PeerView): boolean => viaHubs || isFreshPeer(peer, step.nowMs);
  return new Set(holders.filter(mayAnswer).map(({ boxId: holderId }) => holderId));
}

/** Records the starts that another box announces. */
export function onStreamStarts(
  state: GatewayState,
  step: Step,
  event: EventOf<'streamStarts'>,
): void {
  const { boxId, starts } = event.message;
  const origin = { source: boxId, isOwn: false, asOfMs: step.nowMs };
  for (const row of starts.filter(isStartRow)) {
    recordReceivedStart(state, step, row, origin);
    const [, service, version] = row;
    if (version === null || isListed(state, { service, version })) continue;
    recordUnlistedBegin(state, { service, version });
  }
}

/** Answers another box that asks for the start of a stream. */
export function onStreamStartAsked(
  state: GatewayState,
  step: Step,
  event: EventOf<'streamStartAsked'>,
): void {
  const { boxId: askerId, host, port, key, service } = event.message;
  if (askerId === state.settings.box.id) return;
  const start = findStart(state, key);
  const message = {
    kind: 'streamStartAnswered' as const,
    boxId: state.settings.box.id,
    key,
    start: start === undefined ? null : startRowOf(start, step.nowMs),
    versions: [...possibleVersions(state, service)].slice(0, MAX_VERSIONS),
  };
  step.effects.push({ type: 'sendPeers', message, to: [{ host, port }] });
}

/** Records the answer of a box; the look-ups for the stream take it into account. */
export function onStreamStartAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'streamStartAnswered'>,
): void {
  const { boxId, key, start, versions } = event.message;
  if (isStartRow(start)) {
    const origin = { source: boxId, isOwn: false, asOfMs: step.nowMs };
    recordReceivedStart(state, step, start, origin);
  }
  for (const lookup of state.streamVersions.lookups) {
    if (lookup.key !== key) continue;
    lookup.awaited.delete(boxId);
    for (const version of versions.filter(isVersion)) lookup.versions.add(version);
  }
}

function isVersion(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_VERSION_LENGTH;
}
