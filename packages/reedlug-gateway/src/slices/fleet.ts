/** The boxes that this one knows: how many there are, whose news count, and who is its hub. */
import { hashId, hashString, rendezvousWeight } from 'reedlug-coordination';
import { groupBoxes, needsHubs } from '../policy/peerGroups.js';
import { GossipScope, type PeerAddress, type PeerMessage } from '../types/peer.js';
import type { GatewayState } from '../state.js';
import type { PeerView } from '../types/views.js';

/** Silence after which a peer's news no longer count, in ms: five of its messages lost in a row. */
export const SILENT_AFTER_MS = 1000;
/** Silence after which another hub is taken, in ms: three messages lost in a row. */
const HUB_SILENT_AFTER_MS = 700;
/** Time since a hub's last word from the store after which its members follow the store themselves, in ms: a poll is held for 2 s. */
const HUB_STORE_TIMEOUT_MS = 3000;
/** Time from its start in which a box that has read the store waits for a hub to tell it of changes, in ms: the list of boxes and three of a hub's messages. */
const HUB_DISCOVERY_MS = 600;
/** Silence after which a peer is taken to be gone for good, in ms: longer than the cuts the users describe. */
export const PEER_GONE_AFTER_MS = 10_000;

/** Time from its start in which a box hears of all others, in ms: hubs are found and have told their sums. */
const FLEET_DISCOVERY_MS = 3000;

/** When a box that has started has heard of all others. */
export function fleetDiscoveredAtMs(state: GatewayState): number {
  return state.startedAtMs + FLEET_DISCOVERY_MS;
}

/** Boxes begin with what one of them does for all spread over this time, in ms, so that one is done before the others ask. */
const START_SPREAD_MS = 1000;

/** Pause of this box after its start before it tries what one box does for all, in ms. */
export function startDelayMs(state: GatewayState): number {
  return hashString(state.settings.box.id) % START_SPREAD_MS;
}

/** A peer that has been heard. */
export type PeerWithMessage = PeerView & { message: PeerMessage };

/** Whether a peer's last message is still news. */
export function isFreshPeer(peer: PeerView, nowMs: number): boolean {
  return nowMs - peer.lastReceivedAtMs <= SILENT_AFTER_MS;
}

/** Whether a peer is the hub of another group, as its last news said. */
export function isFreshHub(peer: PeerView, nowMs: number): boolean {
  return peer.message?.scope === GossipScope.group && isFreshPeer(peer, nowMs);
}

/** A seed is known by its address alone until it is heard or listed. */
export function isSeed(peer: PeerView): boolean {
  return peer.boxId === peer.address.host;
}

/** Boxes of the fleet, this one included: those listed or heard; before there is a list, as many as a hub speaks for. */
export function fleetSize(state: GatewayState): number {
  let known = 1;
  let announced = 0;
  let isListed = false;
  for (const peer of state.peers.values()) {
    if (!isSeed(peer)) known += 1;
    isListed ||= peer.listed;
    const { message } = peer;
    if (message?.scope === GossipScope.others) announced = Math.max(announced, message.boxes + 1);
  }
  return isListed ? known : Math.max(known, announced);
}

/** Whether boxes of this fleet tell their news by hubs. */
export function usesHubs(state: GatewayState): boolean {
  return needsHubs(fleetSize(state));
}

/** Whether this box hands on what it is told: it is the hub of others. */
export function forwardsGossip(state: GatewayState): boolean {
  return usesHubs(state) && state.hubId === undefined;
}

/** How many boxes rank before this one for a key, among the peers that count. */
export function boxesRankedBefore(
  state: GatewayState,
  keyHash: number,
  isIncluded: (peer: PeerView) => boolean,
): number {
  const weightOf = (boxId: string): number => rendezvousWeight(keyHash, hashId(boxId));
  const own = weightOf(state.settings.box.id);
  let before = 0;
  for (const peer of state.peers.values()) {
    if (!isSeed(peer) && isIncluded(peer) && weightOf(peer.boxId) > own) before += 1;
  }
  return before;
}

/** The peers whose figures, with this box's own, make up the fleet's; none is covered twice. */
export function countedPeers(state: GatewayState, nowMs: number): PeerWithMessage[] {
  const viaHubs = usesHubs(state);
  const counted: PeerWithMessage[] = [];
  for (const peer of state.peers.values()) {
    if (hasMessage(peer) && addsToFleet(state, peer, viaHubs, nowMs)) counted.push(peer);
  }
  return counted;
}

function hasMessage(peer: PeerView): peer is PeerWithMessage {
  return peer.message !== undefined;
}

/** Boxes that the news of some peers cover, this one included. */
export function boxesCovered(peers: readonly PeerWithMessage[]): number {
  return 1 + peers.reduce((sum, { message }) => sum + message.boxes, 0);
}

/** Whether a message adds to the fleet's figures as this box sees them. */
export function isCounted(state: GatewayState, peer: PeerWithMessage, nowMs: number): boolean {
  return addsToFleet(state, peer, usesHubs(state), nowMs);
}

function addsToFleet(
  state: GatewayState,
  peer: PeerWithMessage,
  viaHubs: boolean,
  nowMs: number,
): boolean {
  const { scope } = peer.message;
  if (state.hubId !== undefined) return peer.boxId === state.hubId && scope === GossipScope.others;
  if (!viaHubs) return scope === GossipScope.box;
  return scope !== GossipScope.others && !peer.message.isProbe && isFreshPeer(peer, nowMs);
}

/** This box as its peers know it. */
export function ownAddress(state: GatewayState): PeerAddress {
  const { box, listen } = state.settings;
  const { id: boxId, ip: host, zone, processorCores } = box;
  return { boxId, host, port: listen.peersPort, zone, processorCores };
}

/**
 * Whether this box follows the store itself: it does unless its hub hands on what
 * the store says. While a box of a large fleet has yet to hear of its hub, each
 * would ask for changes that its hub tells in a moment: two calls a box and start.
 */
export function followsStore(state: GatewayState, nowMs: number): boolean {
  if (nowMs - state.startedAtMs < HUB_DISCOVERY_MS) return false;
  if (state.hubId === undefined) return true;
  const hub = state.peers.get(state.hubId);
  const ageMs = hub?.message?.storeContactAgeMs;
  if (hub === undefined || ageMs === undefined) {
    return nowMs - state.hubSinceMs > HUB_SILENT_AFTER_MS;
  }
  return nowMs - hub.lastReceivedAtMs + ageMs > HUB_STORE_TIMEOUT_MS;
}

/** Groups of the fleet as this box knows it, the best hub first in each: the one that it is in, and the others. */
export function knownGroups(state: GatewayState): {
  own: PeerAddress[];
  others: PeerAddress[][];
} {
  const self = ownAddress(state);
  const boxes = [self];
  for (const peer of state.peers.values()) {
    if (!isSeed(peer) && peer.message?.leaving !== true) boxes.push(peer.address);
  }
  const groups = [...groupBoxes(boxes).values()];
  const own = groups.find((members) => members.includes(self)) ?? [self];
  return { own, others: groups.filter((members) => members !== own) };
}

/** The best box of a group that is not silent; undefined when that is this box itself. */
export function chooseHub(state: GatewayState, group: readonly PeerAddress[]): string | undefined {
  const best = group.find(({ boxId }) => state.peers.get(boxId)?.isSuspected !== true);
  return best?.boxId === state.settings.box.id ? undefined : best?.boxId;
}

/** Whether the hub of this box has been silent too long, counted from when it was taken. */
export function isHubSilent(state: GatewayState, hub: PeerView, nowMs: number): boolean {
  return nowMs - Math.max(hub.lastReceivedAtMs, state.hubSinceMs) > HUB_SILENT_AFTER_MS;
}

/** Silent boxes of this box's group that would be better hubs than the one taken. */
export function betterHubs(
  state: GatewayState,
  group: readonly PeerAddress[],
): readonly PeerView[] {
  const currentId = state.hubId ?? state.settings.box.id;
  const rank = group.findIndex(({ boxId }) => boxId === currentId);
  const better = group.slice(0, Math.max(0, rank)).map(({ boxId }) => state.peers.get(boxId));
  return better.filter((peer) => peer !== undefined);
}
