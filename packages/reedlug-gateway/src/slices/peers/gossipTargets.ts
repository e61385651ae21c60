/** Chooses the recipients of gossip that must reach all boxes soon: in a large fleet each box sends it to a few others, and hubs forward it. */
import type { GatewayState } from '../../state.js';
import type { PeerAddress } from '../../types/peer.js';
import { hubMembers, isFreshHub, usesHubs } from './fleet.js';

/** Returns the recipients: all other boxes in a small fleet; in a large one the hub of this box or, if this box is a hub, the other hubs and its members. */
export function gossipTargets(state: GatewayState, nowMs: number): PeerAddress[] {
  if (!usesHubs(state)) return [...state.peers.values()].map(({ address }) => address);
  const hub = state.peers.get(state.hubId ?? '');
  if (hub !== undefined) return [hub.address];
  const otherHubs = [...state.peers.values()].filter((peer) => isFreshHub(peer, nowMs));
  return [...otherHubs, ...hubMembers(state, nowMs)].map(({ address }) => address);
}
