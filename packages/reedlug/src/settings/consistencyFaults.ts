/** Checks of the settings file that involve more than one entry. */
import type { Settings } from './settingsTypes.js';

/** An inconsistency between entries of the settings file. */
export interface ConsistencyFault {
  path: PropertyKey[];
  message: string;
}

/** Returns the inconsistencies between entries, such as unknown names and duplicate ids. */
export function findConsistencyFaults(settings: Settings): ConsistencyFault[] {
  const zones = new Set(settings.zones.map((zone) => zone.name));
  const unknownZones = (['boxes', 'engines', 'services', 'offers'] as const).flatMap((section) =>
    settings[section].flatMap((entry, index) =>
      unknownZoneFaults(zones, section, index, entry.zone),
    ),
  );
  const duplicates = [
    ...duplicateIdFaults(
      'boxes',
      settings.boxes.map((box) => box.id),
    ),
    ...duplicateIdFaults('servers', [
      ...settings.engines.map((engine) => engine.id),
      ...settings.services.map((service) => service.id),
    ]),
    ...duplicateIdFaults(
      'workspaces',
      settings.workspaces.map((workspace) => workspace.id),
    ),
    ...duplicateIdFaults(
      'zones',
      settings.zones.map((zone) => zone.name),
    ),
  ];
  return [...unknownZones, ...duplicates, ...boxFaults(settings), ...routeFaults(settings)];
}

function unknownZoneFaults(
  zones: ReadonlySet<string>,
  section: string,
  index: number,
  zone: string,
): ConsistencyFault[] {
  if (zones.has(zone)) return [];
  const known = [...zones].join(', ');
  return [{ path: [section, index, 'zone'], message: `zone ${zone} is not among zones: ${known}` }];
}

function duplicateIdFaults(section: string, ids: readonly string[]): ConsistencyFault[] {
  const duplicates = ids.filter((id, index) => ids.indexOf(id) !== index);
  return duplicates.map((id) => ({
    path: [section],
    message: `${id} is used more than once; ids must be unique`,
  }));
}

function boxFaults(settings: Settings): ConsistencyFault[] {
  const ids = settings.boxes.map((box) => box.id);
  const faults: ConsistencyFault[] = [];
  if (settings.box !== undefined && !ids.includes(settings.box)) {
    faults.push({
      path: ['box'],
      message: `${settings.box} is not among boxes: ${ids.join(', ')}`,
    });
  }
  if (settings.peerSecret !== undefined && settings.peerSecretFile !== undefined) {
    faults.push({
      path: ['peerSecretFile'],
      message: 'set peerSecret or peerSecretFile, not both',
    });
  }
  if (settings.boxes.length > 1 && !settings.peerSecret && !settings.peerSecretFile) {
    faults.push({
      path: ['boxes'],
      message: 'more than one box requires peerSecret or peerSecretFile',
    });
  }
  const { leaseMarginMs, leaseRenewMs, leaseTtlMs } = settings.control;
  if (leaseMarginMs + leaseRenewMs >= leaseTtlMs) {
    const message = 'leaseMarginMs plus leaseRenewMs must be less than leaseTtlMs';
    faults.push({ path: ['control', 'leaseTtlMs'], message });
  }
  return faults;
}

function routeFaults(settings: Settings): ConsistencyFault[] {
  const services = new Set(settings.services.map((service) => service.service));
  const known = [...services].join(', ');
  return settings.routes.flatMap((route, index) => {
    if (services.has(route.service)) return [];
    const message = `service ${route.service} is not among services: ${known}`;
    return [{ path: ['routes', index, 'service'], message }];
  });
}
