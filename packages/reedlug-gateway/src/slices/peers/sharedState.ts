/**
 * The whole configuration and registry, as one box sends them to another on request.
 *
 * The registry is left out unless it is requested: 3,000 entries are 481 KB, and when
 * thirty members of a hub request them with each version of the configuration, the
 * hub's link of 10 Mbit/s is saturated for seconds and the version arrives 3.8 s late
 * (in a fleet of 300 boxes).
 */
import type { GatewayState } from '../../state.js';
import type { Configuration } from '../../types/configuration.js';
import type { EventBody } from '../../types/event.js';
import type { ServerChange } from '../../types/server.js';

/** The state that a box sends to a peer on request. */
export interface SharedState {
  configuration: Configuration | undefined;
  /** Undefined when only the configuration was requested, or the sender has not read the registry. */
  servers: readonly ServerChange[] | undefined;
  serversRevision: number;
  /** Revision of the store up to which the sender knows all changes of the registry; missing from older boxes. */
  serversReadTo?: number | undefined;
  boxId: string;
  registryNumber: number;
}

/** Returns the state that this box sends. */
export function sharedStateOf(state: GatewayState, withServers: boolean): SharedState {
  const sendsServers = withServers && state.serversKnown;
  const entries = sendsServers ? [...state.servers.values()] : undefined;
  return {
    configuration: state.active?.configuration,
    servers: entries?.map(({ entry }) => ({ id: entry.id, entry })),
    serversRevision: state.serversRevision,
    serversReadTo: state.serversReadTo,
    boxId: state.settings.box.id,
    registryNumber: state.registryNumber,
  };
}

/** Returns the events that apply the state at the box that requested it. */
export function eventsOfSharedState(shared: SharedState): EventBody[] {
  const { configuration, servers, serversRevision, serversReadTo, boxId, registryNumber } = shared;
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
    readTo: serversReadTo,
    source: 'peer',
    sender: { boxId, registryNumber },
  });
  return events;
}
