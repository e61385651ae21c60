/** Availability zones from which no gossip arrives: they, or this box's own zone, are probably partitioned. */
import type { GatewayState } from '../../state.js';
import { isFreshPeer, fleetDiscoveredAtMs, isSeed } from './fleet.js';

/** Updates the silent zones; a box that has a hub uses those that the hub reports. */
export function updateSilentZones(state: GatewayState, nowMs: number): void {
  const hub = state.hubId === undefined ? undefined : state.peers.get(state.hubId);
  if (hub !== undefined) {
    state.silentZones = new Set(hub.message?.silentZones ?? []);
    return;
  }
  state.silentZones =
    nowMs < fleetDiscoveredAtMs(state) ? new Set() : findSilentZones(state, nowMs);
}

function findSilentZones(state: GatewayState, nowMs: number): Set<string> {
  const known = new Set<string>();
  const active = new Set([state.settings.box.zone]);
  for (const peer of state.peers.values()) {
    const { zone } = peer.address;
    if (zone === undefined || isSeed(peer)) continue;
    if (peer.listed) known.add(zone);
    if (peer.message !== undefined && isFreshPeer(peer, nowMs)) active.add(zone);
  }
  return new Set([...known].filter((zone) => !active.has(zone)));
}
