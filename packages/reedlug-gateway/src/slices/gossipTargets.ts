/** Ways by which news that must reach all boxes soon go: each box tells its neighbours, and hubs hand on. */
import type { GatewayState } from '../state.js';
import type { PeerAddress } from '../types/peer.js';
import { isFreshHub, usesHubs } from './fleet.js';
import { hubMembers } from './buildGossip.js';

/** The boxes that this one tells: all others in a small fleet, else its hub, or as a hub other hubs and its members. */
export function gossipTargets(state: GatewayState, nowMs: number): PeerAddress[] {
  if (!usesHubs(state)) return [...state.peers.values()].map(({ address }) => address);
  const hub = state.peers.get(state.hubId ?? '');
  if (hub !== undefined) return [hub.address];
  const otherHubs = [...state.peers.values()].filter((peer) => isFreshHub(peer, nowMs));
  return [...otherHubs, ...hubMembers(state, nowMs)].map(({ address }) => address);
}
