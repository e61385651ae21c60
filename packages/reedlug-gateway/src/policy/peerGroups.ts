/**
 * Divides boxes into gossip groups and ranks the hubs of each group.
 *
 * In a small fleet, all boxes send gossip to each other. In a larger one, each box would receive
 * a datagram from every other box several times a second. There, the boxes of a zone form groups,
 * and the best reachable box of a group is its hub: members send their gossip to the hub, hubs
 * send each other the sums of their groups, and each member receives the sum of all other boxes
 * in one message.
 */
import { hashId } from 'reedlug-coordination';
import type { PeerAddress } from '../types/peer.js';

/**
 * Maximum number of boxes that all send to each other and all follow the store: each receives 55 datagrams
 * a second at five messages a second, and reads each change of the store itself.
 */
const MAX_DIRECT_BOXES = 12;
/**
 * Target number of boxes in a group: a hub then receives about 160 datagrams a second from its
 * group, which takes some hundredths of a core.
 */
const GROUP_SIZE = 32;

/** Returns whether a fleet of this many boxes needs hubs. */
export function needsHubs(boxes: number): boolean {
  return boxes > MAX_DIRECT_BOXES;
}

interface Ranked {
  box: PeerAddress;
  hash: number;
}

/**
 * Compares boxes as hubs: by processor time, highest first, then by a hash that is the same at all
 * boxes.
 */
function compareRanked(a: Ranked, b: Ranked): number {
  const byCores = b.box.processorCores - a.box.processorCores;
  if (byCores !== 0) return byCores;
  return a.hash - b.hash || a.box.boxId.localeCompare(b.box.boxId);
}

/** Returns the boxes by group, the preferred hub first. */
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

/** Returns a box's group; `zoneBoxes` is the number of known boxes in its zone. */
function groupOf(box: PeerAddress, hash: number, zoneBoxes: number): string {
  const groups = Math.max(1, 2 ** Math.ceil(Math.log2(zoneBoxes / GROUP_SIZE)));
  return `${box.zone ?? ''}/${groups}/${hash % groups}`;
}
