/** Choice of the peers that receive a message. */
import { liveInZone, MemberState } from 'reedlug-coordination';
import type { PeerMessage } from '../types/peer.js';
import type { BoxState, Step } from '../state.js';
import { siteOfZone } from '../state.js';

/** Number of boxes of each other site to which a box sends heartbeats. */
const PEERS_PER_OTHER_SITE = 2;

/** Returns the ids of the other boxes in the settings. */
export function otherBoxIds(state: BoxState): string[] {
  const { boxes, boxId } = state.settings;
  return boxes.filter((box) => box.id !== boxId).map((box) => box.id);
}

/** Sends a message to every peer that receives heartbeats from this box. */
export function sendToPeers(state: BoxState, step: Step, message: PeerMessage): void {
  for (const boxId of heartbeatPeerIds(state))
    step.effects.push({ type: 'sendPeer', boxId, message });
}

/** Sends a message to the other boxes of the own zone. */
export function sendToZone(state: BoxState, step: Step, message: PeerMessage): void {
  const { boxes, boxId, zone } = state.settings;
  for (const box of boxes) {
    if (box.zone !== zone || box.id === boxId) continue;
    step.effects.push({ type: 'sendPeer', boxId: box.id, message });
  }
}

/**
 * Returns all boxes of the own site and a few of each other site, so that the traffic
 * between sites does not grow with the fleet.
 */
export function heartbeatPeerIds(state: BoxState): string[] {
  const { settings } = state;
  const ownSite = siteOfZone(settings, settings.zone);
  const perSite = new Map<string, number>();
  const ids: string[] = [];
  const rank = Math.max(0, liveInZone(state.boxMembers, settings.zone).indexOf(settings.boxId));
  for (const box of rotated(settings.boxes, rank)) {
    if (box.id === settings.boxId) continue;
    const site = siteOfZone(settings, box.zone);
    const count = perSite.get(site) ?? 0;
    if (site !== ownSite && count >= PEERS_PER_OTHER_SITE) continue;
    perSite.set(site, count + 1);
    ids.push(box.id);
  }
  return ids;
}

function rotated<T>(items: readonly T[], by: number): T[] {
  return [...items.slice(by), ...items.slice(0, by)];
}

/** Returns the live peers, those of the own zone first. */
export function livePeerIds(state: BoxState): string[] {
  const { boxId, zone } = state.settings;
  const own: string[] = [];
  const other: string[] = [];
  for (const member of state.boxMembers.members.values()) {
    if (member.id === boxId || member.state !== MemberState.live) continue;
    (member.zone === zone ? own : other).push(member.id);
  }
  return [...own.sort(), ...other.sort()];
}
