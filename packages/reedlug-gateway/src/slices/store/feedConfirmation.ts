/** What peers show of how current this box's configuration and registry are. */
import { GossipScope, type PeerMessage } from '../../types/peer.js';
import { StoreFeed, type SharedFeed } from '../../types/storeFeed.js';
import type { GatewayState } from '../../state.js';
import { isFreshPeer, usesHubs } from '../peers/fleet.js';
import { peerKnownAgeMs } from './feedAges.js';

/** Updates up to when peers have shown that this box knows what the store holds. */
export function feedConfirmationTick(state: GatewayState, nowMs: number): void {
  const ownVersion = state.active?.configuration.version ?? 0;
  for (const peer of state.peers.values()) {
    const { message, lastReceivedAtMs } = peer;
    if (message === undefined || !isFreshPeer(peer, nowMs)) continue;
    const ageMs = confirmedAgeMs(state, message);
    if (ageMs === undefined) continue;
    const atMs = lastReceivedAtMs - ageMs;
    if (message.configurationVersion <= ownVersion) confirm(state, StoreFeed.operators, atMs);
    const { serversRevision, serversRevisionMax = serversRevision } = message;
    if (serversRevisionMax <= state.serversReadTo) confirm(state, StoreFeed.servers, atMs);
  }
}

/** Returns the age of what a peer knows. A member of a hub states none, and its contact with the store may be that of another feed. */
function confirmedAgeMs(state: GatewayState, message: PeerMessage): number | undefined {
  const isMember = message.feedAgeMs === undefined && message.scope === GossipScope.box;
  return isMember && usesHubs(state) ? undefined : peerKnownAgeMs(message);
}

function confirm({ feedConfirmedAtMs }: GatewayState, feed: SharedFeed, atMs: number): void {
  feedConfirmedAtMs[feed] = Math.max(feedConfirmedAtMs[feed], atMs);
}
