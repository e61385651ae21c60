/**
 * Which boxes have lost their own links to servers: each box says so in its gossip, and hubs say it of the
 * boxes that they cover.
 */
import { hashId } from 'reedlug-coordination';
import type { PeerMessage } from '../../types/peer.js';
import type { GatewayState, Step } from '../../state.js';
import type { PeerView } from '../../types/views.js';
import { forwardsGossip, isFreshPeer } from './fleet.js';

/** Largest number of boxes that a message names; five bytes each. */
const MAX_NAMED_BOXES = 256;

/** Boxes that have lost their links to servers, as far as this box knows. */
export interface CutOffBoxes {
  has: (peer: PeerView) => boolean;
}

/** Returns the boxes that recent gossip names. */
export function findCutOffBoxes({ peers }: GatewayState, nowMs: number): CutOffBoxes {
  const fresh = [...peers.values()].filter((peer) => isFreshPeer(peer, nowMs));
  const hashes = new Set(fresh.flatMap(({ message }) => hashesOf(message)));
  return { has: ({ boxId }) => hashes.size > 0 && hashes.has(hashId(boxId)) };
}

/** Returns what a hub says of the boxes whose messages it sums up; nothing while none is cut off. */
export function cutOffGossip(of: readonly PeerMessage[]): Pick<PeerMessage, 'cutOffBoxes'> {
  const hashes = new Set(of.flatMap(hashesOf));
  return hashes.size === 0 ? {} : { cutOffBoxes: [...hashes].slice(0, MAX_NAMED_BOXES) };
}

/**
 * Records that other boxes have lost their links, or have them again: a hub passes it on with the next tick, and a box
 * whose links may have gone with theirs checks them.
 */
export function recordCutOffGossip(
  state: GatewayState,
  step: Step,
  { message, before }: { message: PeerMessage; before: PeerMessage | undefined },
): void {
  const hashes = hashesOf(message);
  const known = new Set(hashesOf(before));
  const hasNew = hashes.some((hash) => !known.has(hash));
  if (hasNew) state.serverLinks.doubtedAtMs = step.nowMs;
  const isChanged = hasNew || hashes.length !== known.size;
  if (isChanged && forwardsGossip(state)) announceCutOff(state);
}

/** Sends gossip with the next tick: callers of cut off boxes wait for what it says. */
export function announceCutOff(state: GatewayState): void {
  state.gossipSentAtMs = Number.NEGATIVE_INFINITY;
}

function hashesOf(message: PeerMessage | undefined): readonly number[] {
  if (message === undefined) return [];
  const { boxId, isCutOff, cutOffBoxes = [] } = message;
  return isCutOff === true ? [hashId(boxId), ...cutOffBoxes] : cutOffBoxes;
}
