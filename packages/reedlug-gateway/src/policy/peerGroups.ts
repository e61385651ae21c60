/**
 * Groups of boxes, and who sums up a group's news.
 *
 * A few boxes tell each other everything. In a larger fleet that would cost each
 * box a datagram from every other one, several times a second. There, boxes of a
 * zone form groups; the best box of a group that can be heard is its hub: members
 * tell it their news, hubs tell each other the sums of their groups, and each
 * member gets the sum of everyone else in one message.
 */
import { hashId } from 'reedlug-coordination';
import type { PeerAddress } from '../types/peer.js';

/** Boxes up to which each tells all others: 75 datagrams a second at five news a second. */
const MAX_DIRECT_BOXES = 16;
/** Boxes of a group: a hub then hears about 160 datagrams a second from it, some hundredths of a core. */
const GROUP_SIZE = 32;

/** Whether a fleet of so many boxes needs hubs. */
export function needsHubs(boxes: number): boolean {
  return boxes > MAX_DIRECT_BOXES;
}

interface Ranked {
  box: PeerAddress;
  hash: number;
}

/** Order of boxes as hubs: more processor time first, then by a hash that all boxes share. */
function compareRanked(a: Ranked, b: Ranked): number {
  const byCores = b.box.processorCores - a.box.processorCores;
  if (byCores !== 0) return byCores;
  return a.hash - b.hash || a.box.boxId.localeCompare(b.box.boxId);
}

/** Boxes by group, the best hub first. */
export function groupBoxes(boxes: readonly PeerAddress[]): Map<string, PeerAddress[]> {
  const zoneBoxes = new Map<string, number>();
  for (const { zone = '' } of boxes) zoneBoxes.set(zone, (zoneBoxes.get(zone) ?? 0) + 1);
  const groups = new Map<string, Ranked[]>();
  for (const box of boxes) {
    const hash = hashId(box.boxId);
    const group = groupOf(box, hash, zoneBoxes.get(box.zone ?? '') ?? 1);
    const members = groups.get(group) ?? [];
    members.push({ box, hash });
    groups.set(group, members);
  }
  const inOrder = [...groups].map(
    ([group, members]) => [group, members.sort(compareRanked).map(({ box }) => box)] as const,
  );
  return new Map(inOrder);
}

/** A box's group; `zoneBoxes` counts the boxes known in its zone. */
function groupOf(box: PeerAddress, hash: number, zoneBoxes: number): string {
  const groups = Math.max(1, 2 ** Math.ceil(Math.log2(zoneBoxes / GROUP_SIZE)));
  return `${box.zone ?? ''}/${groups}/${hash % groups}`;
}
