/** Chooses the peers through which this box connects to a server that it can't reach itself. */
import { hashString } from 'reedlug-coordination';
import type { PeerAddress } from '../../types/peer.js';
import type { GatewayState } from '../../state.js';
import type { PeerView, ServerView } from '../../types/views.js';
import { findCutOffBoxes, type CutOffBoxes } from './cutOffBoxes.js';
import { isFreshPeer, isSeed, usesHubs } from './fleet.js';

/** Time for which a peer that did not connect is asked after all others, in ms. */
const FAILED_PEER_MS = 1000;
/** Time for which the boxes of a zone are asked after those of others once one of them did not connect, in ms. */
const FAILED_ZONE_MS = 3000;

/**
 * Returns the peers to ask, the best first. Boxes of a zone often lose their links together, so after one
 * that has been asked, or did not connect lately, those of other zones follow. Otherwise a peer in the server's zone
 * or in this box's comes first: then no byte crosses zones more often than on a direct connection. Among
 * equals each box prefers another one for each server.
 */
export function connectingPeers(
  state: GatewayState,
  { entry }: ServerView,
  { nowMs, asked = [] }: { nowMs: number; asked?: readonly PeerAddress[] },
): PeerAddress[] {
  const { box, tunnels } = state.settings;
  if (!tunnels.areUsed) return [];
  const fleet = { viaHubs: usesHubs(state), cutOff: findCutOffBoxes(state, nowMs) };
  const askedIds = new Set(asked.map(({ boxId }) => boxId));
  const askedInZone = countByZone(asked);
  const failedZones = zonesOfFailures(state, nowMs);
  const ranked = [...state.peers.values()]
    .filter((peer) => !askedIds.has(peer.boxId) && mayConnect(peer, fleet, nowMs))
    .map((peer) => {
      const { zone } = peer.address;
      const keys = [
        Number(peer.message?.leaving === true),
        Number(nowMs - peer.connectFailedAtMs < FAILED_PEER_MS),
        askedInZone.get(zone) ?? 0,
        Number(failedZones.has(zone)),
        distance(zone, { own: box.zone, server: entry.zone }),
        hashString(`${box.id} ${entry.id} ${peer.boxId}`),
      ];
      return { address: peer.address, keys };
    });
  ranked.sort((a, b) => compareKeys(a.keys, b.keys));
  return ranked.map(({ address }) => address);
}

/** What a box knows of its peers' links. */
interface FleetLinks {
  viaHubs: boolean;
  cutOff: CutOffBoxes;
}

/** Whether a peer may be able to connect this box to servers. */
export function mayPeerConnect(state: GatewayState, peer: PeerView, nowMs: number): boolean {
  const fleet = { viaHubs: usesHubs(state), cutOff: findCutOffBoxes(state, nowMs) };
  return mayConnect(peer, fleet, nowMs);
}

/** With hubs, a box hears only some of the others itself, so all listed ones count that no hub says are cut off. */
function mayConnect(peer: PeerView, { viaHubs, cutOff }: FleetLinks, nowMs: number): boolean {
  const { message } = peer;
  if (isSeed(peer) || cutOff.has(peer)) return false;
  return viaHubs || (message !== undefined && isFreshPeer(peer, nowMs));
}

/** Ranks zones of peers; those of the server share its side of a partition more often than this box's own. */
function distance(
  zone: string | undefined,
  { own, server }: { own: string; server: string },
): number {
  if (zone === server) return 0;
  return zone === own ? 1 : 2;
}

function countByZone(boxes: readonly PeerAddress[]): Map<string | undefined, number> {
  const counts = new Map<string | undefined, number>();
  for (const { zone } of boxes) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return counts;
}

/** Returns the zones in which a peer did not connect lately, and none has since. */
function zonesOfFailures({ peers }: GatewayState, nowMs: number): ReadonlySet<string | undefined> {
  const failedAtMs = new Map<string | undefined, number>();
  const openedAtMs = new Map<string | undefined, number>();
  for (const { address, connectFailedAtMs, connectedAtMs } of peers.values()) {
    keepLatest(failedAtMs, address.zone, connectFailedAtMs);
    keepLatest(openedAtMs, address.zone, connectedAtMs);
  }
  const failed = [...failedAtMs].filter(
    ([zone, atMs]) =>
      nowMs - atMs < FAILED_ZONE_MS && atMs > (openedAtMs.get(zone) ?? Number.NEGATIVE_INFINITY),
  );
  return new Set(failed.map(([zone]) => zone));
}

function keepLatest(
  times: Map<string | undefined, number>,
  zone: string | undefined,
  atMs: number,
): void {
  times.set(zone, Math.max(atMs, times.get(zone) ?? Number.NEGATIVE_INFINITY));
}

/** Compares two lists by their first difference. */
function compareKeys(first: readonly number[], second: readonly number[]): number {
  const index = first.findIndex((key, position) => key !== second[position]);
  return index < 0 ? 0 : (first[index] ?? 0) - (second[index] ?? 0);
}
