/** Whether the store is away for all boxes, as they tell each other. */
import { isStoreAway, type StoreWitness } from '../../policy/storeAway.js';
import { GossipScope, type PeerMessage } from '../../types/peer.js';
import type { PeerView } from '../../types/views.js';
import type { GatewayState } from '../../state.js';
import { isFreshPeer, isSeed, knownGroups, usesHubs } from './fleet.js';

/** Returns the field of gossip that tells that the store does not answer this box, or to members of a hub, any box. */
export function storeLossGossip(
  state: GatewayState,
  scope: GossipScope,
  nowMs: number,
): Pick<PeerMessage, 'isStoreLost'> {
  const isLost =
    scope === GossipScope.others
      ? !state.storeReachable && isStoreAwayForAll(state, nowMs)
      : !state.storeReachable;
  return isLost ? { isStoreLost: true } : {};
}

/** Returns whether the store is away for all boxes, so that no server can write an entry. */
export function isStoreAwayForAll(state: GatewayState, nowMs: number): boolean {
  const { hubId, storeReachable } = state;
  // A member does not follow the store; its hub tells what holds for all.
  if (hubId !== undefined) {
    const hub = state.peers.get(hubId);
    return hub !== undefined && witnessOf(hub, nowMs).saysLost && isFreshPeer(hub, nowMs);
  }
  return isStoreAway(witnesses(state, nowMs), !storeReachable);
}

function witnesses(state: GatewayState, nowMs: number): StoreWitness[] {
  const peers = [...state.peers.values()].filter(({ message }) => message?.leaving !== true);
  if (!usesHubs(state)) return peers.map((peer) => witnessOf(peer, nowMs));
  // A hub speaks for its group.
  return knownGroups(state).others.map((group) => {
    const members = group.flatMap(({ boxId }) => state.peers.get(boxId) ?? []);
    const hub = members.find(({ message }) => message?.scope === GossipScope.group);
    const silent = { zone: group[0]?.zone, isHeard: false, saysLost: false };
    return hub === undefined ? silent : witnessOf(hub, nowMs);
  });
}

function witnessOf(peer: PeerView, nowMs: number): StoreWitness {
  const isHeard = !isSeed(peer) && peer.message !== undefined && isFreshPeer(peer, nowMs);
  return { zone: peer.address.zone, isHeard, saysLost: peer.message?.isStoreLost === true };
}
