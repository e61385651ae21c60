/**
 * Since when no life of a box has ended: a life lasts from the start of a box's process to its end.
 *
 * What no running box knows happened in a life that has ended, so before the time given here. A box that has
 * started after the loss of others knows nothing of their lives, but that none of them goes on once it has had time
 * to hear them. In a fleet with hubs each hub speaks for its group.
 */
import { GossipScope, type PeerMessage } from '../../types/peer.js';
import type { GatewayState } from '../../state.js';
import { streamRetentionMs } from '../streamVersions/servedVersions.js';
import { countedPeers, isFreshPeer, knownGroups, usesHubs, type PeerWithMessage } from './fleet.js';

/** Field of gossip that states since when no life has ended. */
export type SameLives = Pick<PeerMessage, 'sameLivesForMs'>;

/** Time from its start by which a box has heard each box that it can hear, in ms: two of their messages. */
const HEARING_MS = 400;
/** Time after which a box that has written to the store is heard, in ms, unless it is cut off: one of its messages, and its way. */
const UNHEARD_MS = 300;

/** Records that the life of a box has ended by now. */
export function recordLifeEnd(state: GatewayState, nowMs: number): void {
  state.lifeEndedAtMs = nowMs;
}

/**
 * Records that a box wrote a row of its streams: if it is not heard, its life may end without being noticed. A box that has
 * written none for as long as a stream lasts has begun none that is not over, and may be gone for good.
 */
export function recordSignOfLife(
  state: GatewayState,
  { boxId, atMs, nowMs }: { boxId: string; atMs: number; nowMs: number },
): void {
  const peer = state.peers.get(boxId);
  const isHeard = peer?.message !== undefined && isFreshPeer(peer, nowMs);
  const isSinceStart = atMs > state.startedAtMs && nowMs - atMs >= UNHEARD_MS;
  const isRecent = nowMs - atMs <= streamRetentionMs(state);
  if (!isHeard && isSinceStart && isRecent) recordLifeEnd(state, nowMs);
}

/** Returns whether this box has heard each box of its fleet that runs and that it can hear. */
export function hasHeardFleet(state: GatewayState, nowMs: number): boolean {
  return state.part.listRevision !== 0 && !isHearingFleet(state, nowMs);
}

/** Returns whether this box has started so lately that it may not have heard each box that it can hear. */
export function isHearingFleet(state: GatewayState, nowMs: number): boolean {
  return nowMs < heardSinceMs(state);
}

/** Returns from when on this box has heard each life that it can hear. */
export function heardSinceMs({ startedAtMs }: GatewayState): number {
  return startedAtMs + HEARING_MS;
}

/** Returns since when no life has ended in the fleet, as any box knows, on this box's clock; undefined if that is not known. */
export function sameLivesSinceMs(state: GatewayState, nowMs: number): number | undefined {
  const own = ownSameLivesSinceMs(state, nowMs);
  const peers = countedPeers(state, nowMs).filter((peer) => isFreshPeer(peer, nowMs));
  const stated = peers.map(statedSinceMs);
  if (!usesHubs(state)) return least([own, ...stated]);
  // A member hears its hub alone, which speaks for all others.
  if (state.hubId !== undefined) return greatest(stated);
  const otherHubs = peers.filter(({ message }) => message.scope === GossipScope.group);
  if (otherHubs.length < knownGroups(state).others.length) return undefined;
  return greatest([own, ...otherHubs.map(statedSinceMs)]);
}

/** Returns since when no life has ended, as far as this box has heard itself. */
function ownSameLivesSinceMs(state: GatewayState, nowMs: number): number | undefined {
  if (!hasHeardFleet(state, nowMs)) return undefined;
  for (const peer of state.peers.values()) {
    if (peer.message !== undefined && !isFreshPeer(peer, nowMs)) return undefined;
  }
  // A box that stood still did not hear who ended meanwhile.
  return Math.max(heardSinceMs(state), state.lifeEndedAtMs, state.stalledAtMs);
}

function statedSinceMs({ lastReceivedAtMs, message }: PeerWithMessage): number | undefined {
  const { sameLivesForMs } = message;
  return sameLivesForMs === undefined ? undefined : lastReceivedAtMs - sameLivesForMs;
}

/** Returns the times for gossip: for a box and its group, and for a member of a hub. */
export function sameLivesGossip(state: GatewayState, scope: GossipScope, nowMs: number): SameLives {
  const isOfFleet = scope === GossipScope.others;
  const sinceMs = isOfFleet ? sameLivesSinceMs(state, nowMs) : ownSameLivesSinceMs(state, nowMs);
  return sinceMs === undefined ? {} : { sameLivesForMs: Math.round(nowMs - sinceMs) };
}

/** Returns for how long a box has heard the same lives, of those that this box hears itself, its own included, in ms. */
export function longestHearingMs(state: GatewayState, nowMs: number): number {
  let longestMs = Math.max(0, nowMs - heardSinceMs(state));
  for (const peer of countedPeers(state, nowMs)) {
    const { sameLivesForMs = 0 } = peer.message;
    if (isFreshPeer(peer, nowMs)) longestMs = Math.max(longestMs, sameLivesForMs);
  }
  return longestMs;
}

function least(times: readonly (number | undefined)[]): number | undefined {
  const known = times.filter((time) => time !== undefined);
  return known.length === 0 ? undefined : Math.min(...known);
}

function greatest(times: readonly (number | undefined)[]): number | undefined {
  const known = times.filter((time) => time !== undefined);
  return known.length < times.length || known.length === 0 ? undefined : Math.max(...known);
}
