/** Converts the settings file to the settings of the reducer. */
import { ServerKind, type DecisionSettings, type ServerSpec } from 'reedlug-decisions';
import type { Settings } from './settingsTypes.js';

/** Returns the reducer's settings of one box. `incarnation` increases with each start of it. */
export function toDecisionSettings(
  settings: Settings,
  box: { id: string; zone: string },
  incarnation: number,
): DecisionSettings {
  return {
    boxId: box.id,
    zone: box.zone,
    incarnation,
    zones: settings.zones,
    boxes: settings.boxes.map(({ id, zone, peers }) => ({ id, zone, peerAddress: peers })),
    servers: serverSpecs(settings),
    offers: settings.offers,
    pools: settings.pools,
    workspaces: settings.workspaces.map(({ id, requestsPerSecond, burst, maxQueued }) => ({
      id,
      requestsPerSecond,
      burst,
      maxQueued,
    })),
    deduplicatingServices: settings.deduplicatingServices,
    policy: settings.policy,
    control: settings.control,
  };
}

function serverSpecs(settings: Settings): ServerSpec[] {
  const engines = settings.engines.map((engine): ServerSpec => ({
    id: engine.id,
    kind: ServerKind.engine,
    zone: engine.zone,
    pool: engine.model,
    version: engine.version,
    slots: engine.slots,
    machineClass: engine.machineClass,
    reclaimable: engine.reclaimable,
    checksFence: engine.checksFence,
    address: engine.address,
  }));
  const services = settings.services.map((server): ServerSpec => ({
    id: server.id,
    kind: ServerKind.service,
    zone: server.zone,
    pool: server.service,
    version: '',
    slots: server.slots,
    machineClass: 'service',
    reclaimable: false,
    checksFence: false,
    address: server.address,
  }));
  return [...engines, ...services];
}
