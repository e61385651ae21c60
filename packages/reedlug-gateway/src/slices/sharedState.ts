/** Configuration and registry whole, as one box gives them to another that asks. */
import type { GatewayState } from '../state.js';
import type { Configuration } from '../types/configuration.js';
import type { EventBody } from '../types/event.js';
import type { ServerChange } from '../types/server.js';

/** What a box gives to a peer that asks. */
export interface SharedState {
  configuration: Configuration | undefined;
  servers: readonly ServerChange[];
  serversRevision: number;
  boxId: string;
  registryNumber: number;
}

/** What this box gives. */
export function sharedStateOf(state: GatewayState): SharedState {
  return {
    configuration: state.active?.configuration,
    servers: [...state.servers.values()].map(({ entry }) => ({ id: entry.id, entry })),
    serversRevision: state.serversRevision,
    boxId: state.settings.box.id,
    registryNumber: state.registryNumber,
  };
}

/** The events of a box that got it. */
export function eventsOfShared(shared: SharedState): EventBody[] {
  const { configuration, servers, serversRevision, boxId, registryNumber } = shared;
  const events: EventBody[] = [];
  if (configuration !== undefined) {
    events.push({ type: 'configurationRead', configuration, source: 'peer' });
  }
  events.push({
    type: 'serversRead',
    whole: true,
    changes: servers,
    revision: serversRevision,
    source: 'peer',
    sender: { boxId, registryNumber },
  });
  return events;
}
