/** Chooses the peers through which this box connects to a server that it can't reach itself. */
import { hashString } from 'reedlug-coordination';
import type { PeerAddress } from '../../types/peer.js';
import type { GatewayState } from '../../state.js';
import type { PeerView, ServerView } from '../../types/views.js';
import { isFreshPeer, isSeed, usesHubs } from './fleet.js';

/** Time for which a peer that did not connect is asked after all others, in ms. */
const FAILED_PEER_MS = 1000;

/**
 * Returns the peers to ask, the best first: those that are not stopping, those that have not failed
 * lately, then those in the zone of this box or of the server, so that no byte crosses zones more often
 * than on a direct connection. Among equals each box prefers another one for each server.
 */
export function connectingPeers(
  state: GatewayState,
  { entry }: ServerView,
  nowMs: number,
): PeerAddress[] {
  const { box, tunnels } = state.settings;
  if (!tunnels.areUsed) return [];
  const viaHubs = usesHubs(state);
  const ranked = [...state.peers.values()]
    .filter((peer) => mayConnect(peer, viaHubs, nowMs))
    .map((peer) => {
      const hasFailed = nowMs - peer.connectFailedAtMs < FAILED_PEER_MS;
      const isNear = peer.address.zone === box.zone || peer.address.zone === entry.zone;
      const isStopping = peer.message?.leaving === true;
      const order = hashString(`${box.id} ${entry.id} ${peer.boxId}`);
      return { address: peer.address, keys: [isStopping, hasFailed, !isNear].map(Number), order };
    });
  ranked.sort((a, b) => compareKeys(a.keys, b.keys) || a.order - b.order);
  return ranked.map(({ address }) => address);
}

/** Compares two lists by their first difference. */
function compareKeys(first: readonly number[], second: readonly number[]): number {
  const index = first.findIndex((key, position) => key !== second[position]);
  return index < 0 ? 0 : (first[index] ?? 0) - (second[index] ?? 0);
}

/** Whether a peer may be able to connect. With hubs, a box hears only some of the others, so all listed ones count. */
export function mayConnect(peer: PeerView, viaHubs: boolean, nowMs: number): boolean {
  const { message } = peer;
  if (isSeed(peer)) return false;
  if (message?.isCutOff === true && isFreshPeer(peer, nowMs)) return false;
  return viaHubs || (message !== undefined && isFreshPeer(peer, nowMs));
}
