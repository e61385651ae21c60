/**
 * Configuration and registry whole, as one box gives them to another that asks.
 *
 * The registry is left out where it is not asked for: 3,000 entries are 481 KB, and
 * when thirty members of a hub asked for them with each version of the configuration,
 * its link of 10 Mbit/s was full for seconds and the version 3.8 s late (300 boxes).
 */
import type { GatewayState } from '../state.js';
import type { Configuration } from '../types/configuration.js';
import type { EventBody } from '../types/event.js';
import type { ServerChange } from '../types/server.js';

/** What a box gives to a peer that asks. */
export interface SharedState {
  configuration: Configuration | undefined;
  /** Undefined where only the configuration was asked for. */
  servers: readonly ServerChange[] | undefined;
  serversRevision: number;
  boxId: string;
  registryNumber: number;
}

/** What this box gives. */
export function sharedStateOf(state: GatewayState, withServers: boolean): SharedState {
  const entries = withServers ? [...state.servers.values()] : undefined;
  return {
    configuration: state.active?.configuration,
    servers: entries?.map(({ entry }) => ({ id: entry.id, entry })),
    serversRevision: state.serversRevision,
    boxId: state.settings.box.id,
    registryNumber: state.registryNumber,
  };
}

/** The events of a box that got it. */
export function eventsOfSharedState(shared: SharedState): EventBody[] {
  const { configuration, servers, serversRevision, boxId, registryNumber } = shared;
  const events: EventBody[] = [];
  if (configuration !== undefined) {
    events.push({ type: 'configurationRead', configuration, source: 'peer' });
  }
  if (servers === undefined) return events;
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
