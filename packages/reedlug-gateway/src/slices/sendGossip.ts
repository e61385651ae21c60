/**
 * Tells peers this box's news: load, limits, usage, versions.
 *
 * In a small fleet each box tells all others. In a larger one boxes tell their
 * news to the hub of their group, which gives them the sum of all others back.
 */
import type { PeerAddress, PeerMessage } from '../types/peer.js';
import type { HostPort } from '../types/server.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { PeerView } from '../types/views.js';
import {
  betterHubs,
  chooseHub,
  isFreshPeer,
  isFreshHub,
  isHubSilent,
  knownGroups,
  PEER_GONE_AFTER_MS,
  usesHubs,
} from './fleet.js';
import { hubMembers, buildGossip, type GossipMessages } from './buildGossip.js';
import { forgetGonePeers } from './peers.js';
import { updateSilentZones } from './silentZones.js';
import { ownUsage } from './usage.js';

/** Pause between messages, in ms: short against an engine's backlog, long against the price of a wake-up. */
const GOSSIP_INTERVAL_MS = 200;
/** Pause between messages to a peer that is not heard, in ms: enough to find it again a moment after a cut. */
const PROBE_INTERVAL_MS = 1000;
/** Boxes of another group that are tried while its hub is not heard: any two of them may be away. */
const MAX_PROBED_BOXES = 3;
/** Pause between counts of usage told to the holder of the lease where hubs sum up the news, in ms: a tenth of the shortest window. */
const USAGE_INTERVAL_MS = 500;

/** Sends this box's news when it is time. */
export function gossipTick(state: GatewayState, step: Step): void {
  if (step.nowMs - state.gossipSentAtMs < GOSSIP_INTERVAL_MS) return;
  state.gossipSentAtMs = step.nowMs;
  forgetGonePeers(state, step);
  updateSilentZones(state, step.nowMs);
  if (state.peers.size === 0) return;
  if (!usesHubs(state)) return sendToAll(state, step);
  const { own, others } = knownGroups(state);
  updateHub(state, step, own);
  const gossip = buildGossip(state, step);
  sendToHub(state, step, gossip, own);
  if (state.hubId === undefined) sendToOtherHubs(state, step, gossip, others);
  for (const member of hubMembers(state, step.nowMs))
    sendTo(step, member, gossip.othersMessage(member));
  sendUsage(state, step);
}

function sendToAll(state: GatewayState, step: Step): void {
  updateHub(state, step, []);
  const gossip = buildGossip(state, step);
  for (const peer of state.peers.values()) {
    if (isDue(peer, step.nowMs)) sendTo(step, peer, gossip.ownMessage());
  }
}

/** A silent peer is told less often. */
function isDue(peer: PeerView, nowMs: number): boolean {
  const isActive = nowMs - peer.lastReceivedAtMs <= PEER_GONE_AFTER_MS;
  return isActive || nowMs - peer.gossipSentAtMs >= PROBE_INTERVAL_MS;
}

function sendTo(step: Step, peer: PeerView, message: PeerMessage): void {
  peer.gossipSentAtMs = step.nowMs;
  step.effects.push({ type: 'sendPeers', message, to: [peer.address] });
}

/** Takes the best box of the group as hub; one that stays silent is passed over until it is heard again. */
function updateHub(state: GatewayState, step: Step, group: readonly PeerAddress[]): void {
  const current = state.hubId === undefined ? undefined : state.peers.get(state.hubId);
  const isLost = current !== undefined && isHubSilent(state, current, step.nowMs);
  if (isLost) current.isSuspected = true;
  const hubId = chooseHub(state, group);
  if (hubId === state.hubId) return;
  const hub = hubId === undefined ? undefined : state.peers.get(hubId);
  // Changes that it told while it was no hub of this box were not followed.
  if (hub !== undefined) hub.registryNumber = undefined;
  log(step, 'hubTaken', { hub: hubId ?? state.settings.box.id, before: state.hubId ?? '' });
  state.hubId = hubId;
  state.hubSinceMs = step.nowMs;
}

/** Tells the hub; silent boxes that would be better ones are asked now and then whether they are back. */
function sendToHub(
  state: GatewayState,
  step: Step,
  gossip: GossipMessages,
  group: readonly PeerAddress[],
): void {
  const hub = state.hubId === undefined ? undefined : state.peers.get(state.hubId);
  if (hub !== undefined) sendTo(step, hub, gossip.ownMessage());
  for (const peer of betterHubs(state, group)) {
    if (step.nowMs - peer.gossipSentAtMs < PROBE_INTERVAL_MS) continue;
    sendTo(step, peer, { ...gossip.ownMessage(), isProbe: true });
  }
}

function sendToOtherHubs(
  state: GatewayState,
  step: Step,
  gossip: GossipMessages,
  groups: readonly (readonly PeerAddress[])[],
): void {
  const message = gossip.groupMessage();
  for (const group of groups) {
    const peers = group.map(({ boxId }) => state.peers.get(boxId)).filter((peer) => !!peer);
    const hubs = peers.filter((peer) => isFreshHub(peer, step.nowMs));
    for (const hub of hubs) sendTo(step, hub, message);
    if (hubs.length > 0) continue;
    for (const peer of peers.slice(0, MAX_PROBED_BOXES)) {
      if (step.nowMs - peer.gossipSentAtMs >= PROBE_INTERVAL_MS) sendTo(step, peer, message);
    }
  }
}

/** The sums of hubs leave usage out: it is told by each box to the one that reports it. */
function sendUsage(state: GatewayState, step: Step): void {
  if (step.nowMs - state.usageSentAtMs < USAGE_INTERVAL_MS) return;
  const holder = findLeaseHolder(state, step.nowMs);
  if (holder === undefined) return;
  state.usageSentAtMs = step.nowMs;
  const { incarnation } = state;
  const usage = ownUsage(state, step);
  const boxId = state.settings.box.id;
  const message = { kind: 'usage' as const, boxId, incarnation, usage };
  step.effects.push({ type: 'sendPeers', message, to: [holder] });
}

/** Where the holder of the lease listens, as a peer last told. */
function findLeaseHolder(state: GatewayState, nowMs: number): HostPort | undefined {
  for (const peer of state.peers.values()) {
    const holder = peer.message?.leaseHolder;
    if (holder !== undefined && isFreshPeer(peer, nowMs)) return holder;
  }
  return undefined;
}
