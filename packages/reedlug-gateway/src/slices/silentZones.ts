/** Availability zones of which no box is heard: they, or this box's own zone, are likely cut off. */
import type { GatewayState } from '../state.js';
import { countsFreshly, hearsAllBy, isSeed } from './fleet.js';

/** Finds the zones anew; under a hub they are those that it told. */
export function noteSilentZones(state: GatewayState, nowMs: number): void {
  const hub = state.hubId === undefined ? undefined : state.peers.get(state.hubId);
  if (hub !== undefined) {
    state.silentZones = new Set(hub.message?.silentZones ?? []);
    return;
  }
  state.silentZones = nowMs < hearsAllBy(state) ? new Set() : zonesUnheard(state, nowMs);
}

function zonesUnheard(state: GatewayState, nowMs: number): Set<string> {
  const known = new Set<string>();
  const heard = new Set([state.settings.box.zone]);
  for (const peer of state.peers.values()) {
    const { zone } = peer.address;
    if (zone === undefined || isSeed(peer)) continue;
    if (peer.listed) known.add(zone);
    if (peer.message !== undefined && countsFreshly(peer, nowMs)) heard.add(zone);
  }
  return new Set([...known].filter((zone) => !heard.has(zone)));
}
