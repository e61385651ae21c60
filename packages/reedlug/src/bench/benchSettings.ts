/** Settings of the load measurement: one entry box, a few stand-ins, limits far above the load. */
import { hashKey } from '../http/keys.js';
import type { Settings } from '../settings/settingsTypes.js';
import { validateSettings } from '../settings/settingsValidation.js';

/** Key of the workspace that sends the load, and of the operator. */
export const BENCH_KEY = 'bench-key';
/** Model and service that the load is sent to. */
export const BENCH_MODEL = 'bench-model';
export const BENCH_SERVICE = 'bench-service';

/** Addresses that the load uses. */
export interface BenchAddresses {
  platform: string;
  engines: readonly string[];
  services: readonly string[];
  callersPort: number;
  peersPort: number;
}

/** Returns the settings, validated like those of a settings file. */
export function benchSettings(addresses: BenchAddresses): Settings {
  const { platform, engines, services } = addresses;
  const document = {
    deployment: 'bench',
    box: 'box-1',
    zones: [{ name: 'zone-a', site: 'site' }],
    boxes: [
      {
        id: 'box-1',
        zone: 'zone-a',
        callers: `127.0.0.1:${addresses.callersPort}`,
        peers: `127.0.0.1:${addresses.peersPort}`,
      },
    ],
    platform: {
      tableUrl: platform,
      objectStoreUrl: platform,
      cloudUrl: platform,
      boxListUrl: platform,
      weightStoreUrl: platform,
    },
    engines: engines.map((address, index) => ({
      id: `engine-${index + 1}`,
      zone: 'zone-a',
      model: BENCH_MODEL,
      slots: 2000,
      address,
      reclaimable: false,
      checksFence: true,
    })),
    services: services.map((address, index) => ({
      id: `service-${index + 1}`,
      zone: 'zone-a',
      service: BENCH_SERVICE,
      slots: 4000,
      address,
    })),
    workspaces: [
      {
        id: 'bench',
        keySha256: hashKey(BENCH_KEY),
        requestsPerSecond: 1_000_000,
        burst: 1_000_000,
        maxQueued: 100_000,
      },
    ],
    operators: [{ id: 'bench', keySha256: hashKey(BENCH_KEY) }],
  };
  const result = validateSettings(JSON.stringify(document));
  if (result.kind === 'valid') return result.settings;
  throw new Error(result.faults.map(({ path, message }) => `${path}: ${message}`).join('; '));
}
