/** Builds the environment of a run, and ends it. */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'yaml';
import {
  enterConfiguration,
  startCloudStandin,
  startStoreStandin,
} from 'reedlug-platform/standins';
import { findFreePorts } from 'reedlug-standins';
import { openBoxLinks } from './boxLinks.js';
import { prepareBox } from './boxProcess.js';
import { SERVICE_HOST } from './callers.js';
import { openFaultProxy } from './faultProxy.js';
import { LINK_HOST_VARIABLE, LINK_PORTS_VARIABLE, SPOILING_VARIABLE } from './linkVariables.js';
import { PLAIN_REQUEST_MS, startServer } from './soakServers.js';
import { zoneOf, type SoakBox, type SoakWorld } from './soakWorld.js';
import type { Spoiling } from './spoilBytes.js';

/**
 * Bounds in the settings of the boxes: those that the users require, except for a shorter
 * `graceSeconds`, so that stops end within a run.
 */
export const BOX_BOUNDS = {
  configurationMs: 2000,
  drainMs: 2000,
  graceSeconds: 5,
  retryRatio: 0.2,
  retrySlack: 50,
  limitWindowSeconds: 4,
  limitSlackUnits: 0,
  leaseMs: 3000,
  usageWindowSeconds: 5,
  usageDueSeconds: 10,
};
/** Number of boxes for which seeds of spoiled bytes are kept apart. */
const MAX_BOXES = 1000;
/** Character code of `a`, by which the first zone is named. */
const FIRST_ZONE_CODE = 97;
/** A workspace whose callers request several times its limit; the limit counts requests. */
export const LIMITED_WORKSPACE = { key: 'limited-key', ratePerSecond: 4, burst: 4 };
/** Key that callers use first; it is the first to be revoked. */
export const FIRST_KEY = 'key-0';

/** Starts everything except the processes of the boxes. */
export async function buildWorld(params: {
  boxes: number;
  /** Number of availability zones, which boxes and servers belong to in turn. */
  zones: number;
  serversPerService: number;
  /** Software versions of the servers for drafts, in turn; none if empty. */
  draftVersions: readonly string[];
  folder: string;
  /** How often bytes are spoiled that boxes receive; undefined for never. */
  spoiling?: Spoiling | undefined;
  plainTimeoutMs?: number | undefined;
}): Promise<SoakWorld> {
  mkdirSync(params.folder, { recursive: true });
  const store = await startStoreStandin();
  const cloud = await startCloudStandin();
  const world: SoakWorld = {
    store,
    cloud,
    zones: [],
    servers: [],
    boxes: [],
    version: 0,
    keys: [FIRST_KEY],
    crashingIntervalMs: undefined,
    onCrashingRequest: () => undefined,
    onCrashingPart: () => undefined,
    partFirstEventMs: 0,
    partsEndWithConnection: false,
    plainRequestMs: () => PLAIN_REQUEST_MS,
    plainTimeoutMs: params.plainTimeoutMs,
    allStandins: [],
  };
  const { serversPerService, draftVersions } = params;
  world.zones = Array.from(
    { length: params.zones },
    (_, index) => `zone-${String.fromCharCode(FIRST_ZONE_CODE + index)}`,
  );
  for (let index = 0; index < serversPerService; index += 1) {
    world.servers.push(await startServer(world, 'records', undefined));
  }
  for (let index = 0; index < serversPerService; index += 1) {
    const version = draftVersions[index % Math.max(1, draftVersions.length)];
    world.servers.push(await startServer(world, 'drafts', version));
  }
  configure(world);
  for (let index = 0; index < params.boxes; index += 1) {
    world.boxes.push(await prepareSoakBox(world, index, params));
  }
  return world;
}

/**
 * Publishes the next configuration: the routes for callers, and one whose path contains its
 * version.
 */
export function configure(world: SoakWorld): void {
  world.version += 1;
  const plain = world.plainTimeoutMs === undefined ? {} : { timeoutMs: world.plainTimeoutMs };
  enterConfiguration(world.store, {
    version: world.version,
    host: SERVICE_HOST,
    keys: world.keys,
    limited: LIMITED_WORKSPACE,
    routes: [
      { path: '/lookup/', ...plain },
      { path: '/notice/', kind: 'nonRepeatable', ...plain },
      { path: '/draft/', kind: 'resumableStream', service: 'drafts', timeoutMs: 3000 },
      { path: probePath(world.version) },
    ],
  });
}

/** Returns the path of the route that only the given version of the configuration has. */
export function probePath(version: number): string {
  return `/version-${version}/`;
}

async function prepareSoakBox(
  world: SoakWorld,
  index: number,
  { folder, spoiling }: { folder: string; spoiling?: Spoiling | undefined },
): Promise<SoakBox> {
  // Each box needs its own loopback address, as boxes identify each other by address.
  const ip = `127.0.${1 + Math.floor(index / 200)}.${2 + (index % 200)}`;
  const [callers = 0, readiness = 0, metrics = 0, storeLinkPort = 0, peers = 0] =
    await findFreePorts(5, ip);
  const storeLink = await openFaultProxy({
    host: ip,
    port: storeLinkPort,
    target: () => world.store.address,
  });
  const settings = {
    box: { id: `box-${index}`, ip, zone: zoneOf(world, index) },
    zones: world.zones,
    listen: {
      callers: `${ip}:${callers}`,
      readiness: `${ip}:${readiness}`,
      peersPort: peers,
      metricsPort: metrics,
    },
    store: { address: `${ip}:${storeLinkPort}` },
    cloud: {
      address: `${world.cloud.address.host}:${world.cloud.address.port}`,
      duties: ['usageReports'],
    },
    bounds: BOX_BOUNDS,
  };
  const serverLinks = await openBoxLinks(
    ip,
    world.servers.map(({ proxy }) => proxy.port),
  );
  const linkPorts = [...serverLinks.portsByServer].map((pair) => pair.join(':'));
  const logPath = join(folder, `box-${index}.log`);
  // Each box draws bytes of its own.
  const ownSpoiling =
    spoiling === undefined ? undefined : { ...spoiling, seed: spoiling.seed * MAX_BOXES + index };
  return {
    logPath,
    process: prepareBox({
      settingsText: stringify(settings),
      settingsPath: join(folder, `box-${index}.yaml`),
      logPath,
      environment: {
        [LINK_HOST_VARIABLE]: ip,
        [LINK_PORTS_VARIABLE]: linkPorts.join(','),
        ...(ownSpoiling === undefined ? {} : { [SPOILING_VARIABLE]: JSON.stringify(ownSpoiling) }),
      },
    }),
    target: { host: ip, port: callers },
    readiness: { host: ip, port: readiness },
    storeLink,
    serverLinks,
  };
}

/** Ends everything that the run started. */
export async function tearDown(world: SoakWorld): Promise<void> {
  for (const { process } of world.boxes) {
    process.signal('SIGCONT');
    process.signal('SIGKILL');
    await process.ended();
  }
  for (const { storeLink, serverLinks } of world.boxes) {
    storeLink.close();
    serverLinks.close();
  }
  for (const { proxy, standin } of world.servers) {
    proxy.close();
    standin.close();
  }
  world.store.close();
  world.cloud.close();
}
