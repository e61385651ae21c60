/** Faults of the settings file that lie between entries. */
import type { Settings } from './settingsTypes.js';

/** A fault between entries of the settings file. */
export interface CrossFault {
  path: PropertyKey[];
  message: string;
}

/** Faults that lie between entries: names that do not exist, names used twice. */
export function crossFaults(settings: Settings): CrossFault[] {
  const zones = new Set(settings.zones.map((zone) => zone.name));
  const placed = (['boxes', 'engines', 'services', 'offers'] as const).flatMap((section) =>
    settings[section].flatMap((entry, index) => zoneFault(zones, section, index, entry.zone)),
  );
  const doubled = [
    ...doubledFaults(
      'boxes',
      settings.boxes.map((box) => box.id),
    ),
    ...doubledFaults('servers', [
      ...settings.engines.map((engine) => engine.id),
      ...settings.services.map((service) => service.id),
    ]),
    ...doubledFaults(
      'workspaces',
      settings.workspaces.map((workspace) => workspace.id),
    ),
    ...doubledFaults(
      'zones',
      settings.zones.map((zone) => zone.name),
    ),
  ];
  return [...placed, ...doubled, ...boxFaults(settings), ...routeFaults(settings)];
}

function zoneFault(
  zones: ReadonlySet<string>,
  section: string,
  index: number,
  zone: string,
): CrossFault[] {
  if (zones.has(zone)) return [];
  const known = [...zones].join(', ');
  return [{ path: [section, index, 'zone'], message: `zone ${zone} is not among zones: ${known}` }];
}

function doubledFaults(section: string, ids: readonly string[]): CrossFault[] {
  const doubled = ids.filter((id, index) => ids.indexOf(id) !== index);
  return doubled.map((id) => ({ path: [section], message: `${id} stands twice; ids must differ` }));
}

function boxFaults(settings: Settings): CrossFault[] {
  const ids = settings.boxes.map((box) => box.id);
  const faults: CrossFault[] = [];
  if (settings.box !== undefined && !ids.includes(settings.box)) {
    faults.push({
      path: ['box'],
      message: `${settings.box} is not among boxes: ${ids.join(', ')}`,
    });
  }
  if (settings.peerSecret !== undefined && settings.peerSecretFile !== undefined) {
    faults.push({
      path: ['peerSecretFile'],
      message: 'give peerSecret or peerSecretFile, not both',
    });
  }
  if (settings.boxes.length > 1 && !settings.peerSecret && !settings.peerSecretFile) {
    faults.push({ path: ['boxes'], message: 'several boxes need peerSecret or peerSecretFile' });
  }
  const { leaseMarginMs, leaseRenewMs, leaseTtlMs } = settings.control;
  if (leaseMarginMs + leaseRenewMs >= leaseTtlMs) {
    const message = 'leaseMarginMs plus leaseRenewMs must be less than leaseTtlMs';
    faults.push({ path: ['control', 'leaseTtlMs'], message });
  }
  return faults;
}

function routeFaults(settings: Settings): CrossFault[] {
  const services = new Set(settings.services.map((service) => service.service));
  const known = [...services].join(', ');
  return settings.routes.flatMap((route, index) => {
    if (services.has(route.service)) return [];
    const message = `service ${route.service} is not among services: ${known}`;
    return [{ path: ['routes', index, 'service'], message }];
  });
}
