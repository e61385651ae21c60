/**
 * The registry of servers within a group of boxes: a hub (the box that sums up its group's
 * gossip) includes its changes in what it sends, so that its members need not follow the store
 * as well.
 */
import type { NumberedChange, RegistryGossip } from '../../types/peer.js';
import type { ServerChange } from '../../types/server.js';
import type { GatewayState, Step } from '../../state.js';
import { forwardsGossip } from './fleet.js';
import type { PeerView } from '../../types/views.js';

/** Time for which a change is announced, in ms: seven messages, of which some may be lost. */
const ANNOUNCE_MS = 1500;
/** Maximum number of changes announced; members that missed more request the whole registry. A datagram holds three times as many. */
const MAX_ANNOUNCED_CHANGES = 100;
/**
 * Maximum size of the texts of all changes announced, in bytes: three sevenths of a datagram. A larger datagram is not sent at all,
 * so that the members of a hub would take it for silent.
 */
const MAX_ANNOUNCED_TEXT_BYTES = 28_000;

/** Records a change of this box's view of the registry. */
export function recordRegistryChange(state: GatewayState, step: Step, change: ServerChange): void {
  state.registryNumber += 1;
  const numbered: NumberedChange = { number: state.registryNumber, ...change };
  state.registryChanges.push({ atMs: step.nowMs, change: numbered });
  // Members know of it only from this box, with its next gossip.
  if (forwardsGossip(state)) state.gossipSentAtMs = Number.NEGATIVE_INFINITY;
  if (state.registryChanges.length > MAX_ANNOUNCED_CHANGES) state.registryChanges.shift();
}

/** Returns the changes to announce to members now. */
export function registryGossip(state: GatewayState, nowMs: number): RegistryGossip {
  state.registryChanges = state.registryChanges.filter(({ atMs }) => nowMs - atMs <= ANNOUNCE_MS);
  const changes = latestWithinSize(state.registryChanges.map(({ change }) => change));
  return { lastNumber: state.registryNumber, changes };
}

/** Returns the latest changes whose texts fit; members that lack an earlier one request the whole registry. */
function latestWithinSize(changes: readonly NumberedChange[]): readonly NumberedChange[] {
  let bytes = 0;
  const lastLeftOut = changes.findLastIndex((change) => {
    bytes += textBytes(change);
    return bytes > MAX_ANNOUNCED_TEXT_BYTES;
  });
  return changes.slice(lastLeftOut + 1);
}

/** Returns the size of the texts of a change, whose writer chooses their lengths. */
function textBytes({ id, entry }: NumberedChange): number {
  const { service = '', zone = '', version = '' } = entry ?? {};
  return Buffer.byteLength(`${id}${service}${zone}${version}`);
}

/** What a hub's message means for this box's registry. */
export type RegistryUpdate =
  | { kind: 'apply'; changes: readonly NumberedChange[] }
  /** Changes were missed, or it is not known which: the hub's whole registry is needed. */
  | { kind: 'askWhole' }
  /** This box goes on to follow the store until it knows what the hub knows. */
  | { kind: 'readStore' };

/**
 * Compares a hub's changes with those that were applied before. A box that has read all that the hub
 * knows from the store continues from there: otherwise, after a start of all boxes, each would request
 * from its hub what it has just read. A hub that has restarted may know removals that it never announces.
 */
export function nextRegistryUpdate(
  hub: PeerView,
  { incarnation, registry }: { incarnation: number; registry: RegistryGossip },
  { isUpToDate, readsStore }: { isUpToDate: boolean; readsStore: boolean },
): RegistryUpdate {
  const { registryNumber: applied, registryIncarnation } = hub;
  if (applied === undefined) {
    if (!isUpToDate) return { kind: readsStore ? 'readStore' : 'askWhole' };
    hub.registryNumber = registry.lastNumber;
    hub.registryIncarnation = incarnation;
    return { kind: 'apply', changes: [] };
  }
  if (registryIncarnation !== incarnation || applied > registry.lastNumber)
    return { kind: 'askWhole' };
  const changes = registry.changes.filter(({ number }) => number > applied);
  if (changes.length < registry.lastNumber - applied) return { kind: 'askWhole' };
  hub.registryNumber = registry.lastNumber;
  return { kind: 'apply', changes };
}
