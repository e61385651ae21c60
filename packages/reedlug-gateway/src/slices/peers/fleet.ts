/**
 * The boxes that this one knows: how many there are, whose gossip counts, and which is its hub.
 *
 * A large fleet is divided into groups. The hub of a group sums up the gossip of its members.
 */
import { hashId, hashString, rendezvousWeight } from 'reedlug-coordination';
import { groupBoxes, needsHubs } from '../../policy/peerGroups.js';
import { GossipScope, type PeerAddress, type PeerMessage } from '../../types/peer.js';
import type { GatewayState } from '../../state.js';
import { peerKnownAgeMs } from '../store/feedAges.js';
import type { PeerView } from '../../types/views.js';

/** Silence after which a peer's gossip no longer counts, in ms: five of its messages lost in a row. */
export const SILENT_AFTER_MS = 1000;
/** Silence after which another hub is chosen, in ms: three messages lost in a row. */
const HUB_SILENT_AFTER_MS = 700;
/** Age of what a hub knows of the store after which its members follow the store themselves, as a share of the users' shorter bound. */
const HUB_FEED_AGE_SHARE = 0.7;
/** Time from its start for which a box that has read the store waits for changes from a hub, in ms: enough for the list of boxes and three messages of a hub. */
const HUB_DISCOVERY_MS = 600;
/** Age of a feed's last answer up to which it goes on where it stopped, in ms: the store surely keeps the changes of that time. */
const RECENT_FEED_MS = 5000;
/** Silence after which a peer is considered gone for good, in ms: longer than the network partitions that the users describe. */
export const PEER_GONE_AFTER_MS = 10_000;

/** Time from its start by which a box has received the gossip of all others, in ms: hubs are found and have sent their sums. */
const FLEET_DISCOVERY_MS = 3000;

/** Returns when this box has received the gossip of all others after its start. */
export function fleetDiscoveredAtMs(state: GatewayState): number {
  return state.startedAtMs + FLEET_DISCOVERY_MS;
}

/** Time over which boxes spread their first attempts at a task that one box does for all, in ms, so that one is done before the others try. */
const START_SPREAD_MS = 1000;

/** Returns how long this box waits after its start before it attempts a task that one box does for all, in ms. */
export function startDelayMs(state: GatewayState): number {
  return hashString(state.settings.box.id) % START_SPREAD_MS;
}

/** A peer from which a message has been received. */
export type PeerWithMessage = PeerView & { message: PeerMessage };

/** Returns whether a peer's last message is recent enough to count. */
export function isFreshPeer(peer: PeerView, nowMs: number): boolean {
  return nowMs - peer.lastReceivedAtMs <= SILENT_AFTER_MS;
}

/** Returns whether a peer is the hub of another group, according to a recent message. */
export function isFreshHub(peer: PeerView, nowMs: number): boolean {
  return peer.message?.scope === GossipScope.group && isFreshPeer(peer, nowMs);
}

/** Returns the peers whose hub this box is: they send it their own gossip, and receive the sum of all others. */
export function hubMembers(state: GatewayState, nowMs: number): PeerView[] {
  return [...state.peers.values()].filter(
    (peer) => peer.message?.scope === GossipScope.box && isFreshPeer(peer, nowMs),
  );
}

/** Returns whether a peer is a seed, which is known by its address alone until it sends a message or is listed. */
export function isSeed(peer: PeerView): boolean {
  return peer.boxId === peer.address.host;
}

/** Returns the number of boxes in the fleet, this one included: those listed or received from; before there is a list, at least as many as a hub covers. */
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

/** Returns whether the boxes of this fleet exchange gossip through hubs. */
export function usesHubs(state: GatewayState): boolean {
  return needsHubs(fleetSize(state));
}

/** Returns whether this box is a hub, which forwards the gossip that it receives. */
export function forwardsGossip(state: GatewayState): boolean {
  return usesHubs(state) && state.hubId === undefined;
}

/** Returns how many boxes rank before this one for a key, among the peers that are included. */
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

/** Returns the peers whose figures, with this box's own, make up those of the fleet; no box is covered twice. */
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

/** Returns the number of boxes that the gossip of some peers covers, this one included. */
export function boxesCovered(peers: readonly PeerWithMessage[]): number {
  return 1 + peers.reduce((sum, { message }) => sum + message.boxes, 0);
}

/** Returns whether a peer's message adds to the fleet's figures as this box knows them. */
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

/** Returns this box's address as its peers know it. */
export function ownAddress(state: GatewayState): PeerAddress {
  const { box, listen } = state.settings;
  const { id: boxId, ip: host, zone, processorCores } = box;
  return { boxId, host, port: listen.peersPort, zone, processorCores };
}

/**
 * Returns whether this box follows the store itself: it does unless its hub forwards the
 * changes of the store. A box that has just started waits for its hub, unless the list of boxes shows
 * that there is none: otherwise each box of a large fleet would request changes that its hub sends a
 * moment later, two calls per box and start.
 */
export function followsStore(state: GatewayState, nowMs: number): boolean {
  const mayHaveHub = usesHubs(state) || state.part.listRevision === 0;
  if (mayHaveHub && nowMs - state.startedAtMs < HUB_DISCOVERY_MS) return false;
  if (state.hubId === undefined) return true;
  const hub = state.peers.get(state.hubId);
  const ageMs = hub?.message && peerKnownAgeMs(hub.message);
  if (hub === undefined || ageMs === undefined) {
    return nowMs - state.hubSinceMs > HUB_SILENT_AFTER_MS;
  }
  const { configurationMs, drainMs } = state.settings.bounds;
  const maxAgeMs = Math.min(configurationMs, drainMs) * HUB_FEED_AGE_SHARE;
  return nowMs - hub.lastReceivedAtMs + ageMs > maxAgeMs;
}

/**
 * Returns whether this box follows the registry itself. One that has just read it goes on until it knows all that its hub
 * knows: then none of its hub's changes is missing.
 */
export function followsRegistry(state: GatewayState, nowMs: number): boolean {
  if (followsStore(state, nowMs)) return true;
  const hub = state.hubId === undefined ? undefined : state.peers.get(state.hubId);
  const isInStep = hub?.message === undefined || hub.registryNumber !== undefined;
  return !isInStep && hasReadRegistry(state, nowMs);
}

/** Returns whether this box's own feed of the registry was answered so lately that it can go on at little cost. */
export function hasReadRegistry(state: GatewayState, nowMs: number): boolean {
  const { serversKnown, storeReachable, feedAnsweredAtMs } = state;
  const { servers: answeredAtMs = Number.NEGATIVE_INFINITY } = feedAnsweredAtMs;
  return serversKnown && storeReachable && nowMs - answeredAtMs < RECENT_FEED_MS;
}

/** Returns the groups of the fleet as this box knows it, the best hub first in each: the group that it is in, and the others. */
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

/** Returns the best hub of a group that is not suspected to be silent; undefined when that is this box itself. */
export function chooseHub(state: GatewayState, group: readonly PeerAddress[]): string | undefined {
  const best = group.find(({ boxId }) => state.peers.get(boxId)?.isSuspected !== true);
  return best?.boxId === state.settings.box.id ? undefined : best?.boxId;
}

/** Returns whether this box's hub has been silent for too long, counted from when it was chosen at the earliest. */
export function isHubSilent(state: GatewayState, hub: PeerView, nowMs: number): boolean {
  return nowMs - Math.max(hub.lastReceivedAtMs, state.hubSinceMs) > HUB_SILENT_AFTER_MS;
}

/** Returns the boxes of this box's group that would be better hubs than the current one, but are suspected to be silent. */
export function betterHubs(
  state: GatewayState,
  group: readonly PeerAddress[],
): readonly PeerView[] {
  const currentId = state.hubId ?? state.settings.box.id;
  const rank = group.findIndex(({ boxId }) => boxId === currentId);
  const better = group.slice(0, Math.max(0, rank)).map(({ boxId }) => state.peers.get(boxId));
  return better.filter((peer) => peer !== undefined);
}
