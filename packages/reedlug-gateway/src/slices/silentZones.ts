/** Availability zones of which no box is heard: they, or this box's own zone, are likely cut off. */
import type { GatewayState } from '../state.js';
import { isFreshPeer, fleetDiscoveredAtMs, isSeed } from './fleet.js';

/** Finds the zones anew; under a hub they are those that it told. */
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
