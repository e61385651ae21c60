/**
 * Sends this box's gossip to peers: load, limits, usage, versions.
 *
 * In a small fleet each box sends to all others. In a larger one boxes send their
 * gossip to the hub of their group, which sends the sum of all others back.
 */
import type { PeerAddress, PeerMessage } from '../../types/peer.js';
import type { HostPort } from '../../types/server.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { PeerView } from '../../types/views.js';
import {
  betterHubs,
  chooseHub,
  hubMembers,
  isFreshPeer,
  isFreshHub,
  isHubSilent,
  knownGroups,
  PEER_GONE_AFTER_MS,
  usesHubs,
} from './fleet.js';
import { buildGossip, type GossipMessages } from './buildGossip.js';
import { forgetGonePeers } from './peers.js';
import { updateSilentZones } from './silentZones.js';
import { ownUsage } from '../usage/usage.js';

/** Interval between messages, in ms: short compared with an engine's backlog, long compared with the cost of a wake-up. */
const GOSSIP_INTERVAL_MS = 200;
/** Interval between messages to a silent peer, in ms: short enough to find it again soon after a network partition. */
const PROBE_INTERVAL_MS = 1000;
/** Maximum number of boxes of another group that are probed while its hub is silent: any two of them may be unreachable. */
const MAX_PROBED_BOXES = 3;
/** Interval between usage counts sent to the holder of the lease in fleets with hubs, in ms: a tenth of the shortest usage window. */
const USAGE_INTERVAL_MS = 500;

/** Sends this box's gossip now: it ends, and what it has counted since the last message would be lost. */
export function sendLastGossip(state: GatewayState, step: Step): void {
  state.gossipSentAtMs = Number.NEGATIVE_INFINITY;
  state.usageSentAtMs = Number.NEGATIVE_INFINITY;
  gossipTick(state, step);
}

/** Sends this box's gossip when it is due. */
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

/** Returns whether a message to a peer is due; silent peers receive fewer messages. */
function isDue(peer: PeerView, nowMs: number): boolean {
  const isActive = nowMs - peer.lastReceivedAtMs <= PEER_GONE_AFTER_MS;
  return isActive || nowMs - peer.gossipSentAtMs >= PROBE_INTERVAL_MS;
}

function sendTo(step: Step, peer: PeerView, message: PeerMessage): void {
  peer.gossipSentAtMs = step.nowMs;
  step.effects.push({ type: 'sendPeers', message, to: [peer.address] });
}

/** Chooses the best box of the group as hub; one that stays silent is skipped until a message of it arrives. */
function updateHub(state: GatewayState, step: Step, group: readonly PeerAddress[]): void {
  const current = state.hubId === undefined ? undefined : state.peers.get(state.hubId);
  const isLost = current !== undefined && isHubSilent(state, current, step.nowMs);
  if (isLost) current.isSuspected = true;
  const hubId = chooseHub(state, group);
  if (hubId === state.hubId) return;
  const hub = hubId === undefined ? undefined : state.peers.get(hubId);
  // Changes that it sent while it was not this box's hub were not applied.
  if (hub !== undefined) hub.registryNumber = undefined;
  log(step, 'hubTaken', { hub: hubId ?? state.settings.box.id, before: state.hubId ?? '' });
  state.hubId = hubId;
  state.hubSinceMs = step.nowMs;
}

/** Sends to the hub, and probes silent boxes that would be better hubs at longer intervals. */
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

/** Sends this box's usage counts to the box that reports them: the sums of hubs leave usage out. */
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

/** Returns the address of the holder of the lease, according to the last message of a peer. */
function findLeaseHolder(state: GatewayState, nowMs: number): HostPort | undefined {
  for (const peer of state.peers.values()) {
    const holder = peer.message?.leaseHolder;
    if (holder !== undefined && isFreshPeer(peer, nowMs)) return holder;
  }
  return undefined;
}
