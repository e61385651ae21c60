/**
 * When the long polls of a feed end.
 *
 * A lost answer is noticed when its poll should have ended. So the boxes that follow the store end theirs
 * one after another, at points of the store's clock: whenever the answers to all of them are lost, one box notices soon
 * and the others learn from it. A box on its own ends its polls as often as all of a larger fleet together.
 */
import type { GatewayState } from '../../state.js';
import type { PeerView } from '../../types/views.js';
import type { SharedFeed } from '../../types/storeFeed.js';
import { feedKnownAtMs, peerFeedAgeMs } from './feedAges.js';
import {
  fleetDiscoveredAtMs,
  isFreshHub,
  isFreshPeer,
  knownGroups,
  usesHubs,
} from '../peers/fleet.js';

/** Longest time between the ends of two boxes' polls, as a share of the users' bound for the feed, and in ms. */
const SPACING_SHARE = 0.175;
const MAX_SPACING_MS = 600;
/** Longest wait of a poll, in ms. */
const MAX_WAIT_MS = 2000;
/** Age of what a box knows, by itself or from peers, at which its open poll is ended, as a share of the bound: beyond the time between two boxes' polls and a message. */
const TRUSTED_AGE_SHARE = 0.4;
/** Shortest wait, in ms, so that a poll that was answered just before its point is not followed by an empty one. */
const MIN_WAIT_MS = 20;
/** Age of a peer's last answer of the store after which it is not counted as following it, in ms. */
const FOLLOWING_PEER_AGE_MS = 3000;

/**
 * Returns for how long a poll that is open now may go on, in ms. Its wait counts on peers that end theirs in between: when none of
 * them shows any more that this box knows what the store holds, it is ended early. A member of a hub polls only while its hub
 * is blind, and has no others to count on.
 */
export function pollTrustedMs(
  state: GatewayState,
  { feed, boundMs }: { feed: SharedFeed; boundMs: number },
  nowMs: number,
): number {
  if (state.hubId !== undefined) return Number.POSITIVE_INFINITY;
  return feedKnownAtMs(state, feed) + boundMs * TRUSTED_AGE_SHARE - nowMs;
}

/** Returns how long a poll that starts now may wait at the store, in ms; `boundMs` is the time within which changes must be known. */
export function pollWaitMs(state: GatewayState, boundMs: number, nowMs: number): number {
  const boxes = followingBoxes(state, nowMs);
  const spacingMs = Math.min(MAX_SPACING_MS, boundMs * SPACING_SHARE);
  const periodMs = Math.min(MAX_WAIT_MS, spacingMs * boxes.length);
  const rank = boxes.indexOf(state.settings.box.id);
  const storeNowMs = nowMs - (state.storeEpochMs ?? 0);
  const restMs = modulo((periodMs * rank) / boxes.length - storeNowMs, periodMs);
  return Math.round(restMs < MIN_WAIT_MS ? restMs + periodMs : restMs);
}

/** Returns the ids of the boxes that follow the store and from which this box learns, itself included, in an order that all agree on. */
function followingBoxes(state: GatewayState, nowMs: number): string[] {
  const ownId = state.settings.box.id;
  if (state.hubId !== undefined)
    return knownGroups(state)
      .own.map(({ boxId }) => boxId)
      .sort();
  const viaHubs = usesHubs(state);
  const ids = [ownId];
  for (const peer of state.peers.values()) {
    const isHeard = viaHubs ? isFreshHub(peer, nowMs) : isFreshPeer(peer, nowMs);
    if (isHeard && follows(state, peer, nowMs)) ids.push(peer.boxId);
  }
  return ids.sort();
}

/** Returns whether a peer follows the store. While a fleet starts its boxes do not know yet, and each takes the others to do so. */
function follows(state: GatewayState, { message }: PeerView, nowMs: number): boolean {
  const ageMs = message && peerFeedAgeMs(message);
  if (ageMs === undefined) return nowMs < fleetDiscoveredAtMs(state);
  return ageMs <= FOLLOWING_PEER_AGE_MS;
}

function modulo(value: number, divisor: number): number {
  return ((value % divisor) + divisor) % divisor;
}
