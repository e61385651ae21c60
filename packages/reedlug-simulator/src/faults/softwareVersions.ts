/** Software versions that serve side by side without an order to the boxes. */
import type { SceneFaultSpec } from '../scene/scene.js';
import {
  acceptsNewWork,
  currentVersion,
  drainServer,
  endServer,
  MIXED_VERSION_PREFIX,
  restartServer,
  startReplacement,
} from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { nextNumber, type World } from '../world.js';

/** Returns the name of a version that no server has had. */
export function nextVersionName(world: World): string {
  return `${MIXED_VERSION_PREFIX}${nextNumber(world, 'versions')}`;
}

/** Replaces servers by ones of a new version, which start first. */
export function mixVersions(world: World, replaced: readonly VirtualServer[]): void {
  const version = nextVersionName(world);
  for (const server of replaced) {
    startReplacement(world, server, version);
    drainServer(world, server, 0);
  }
}

/** Ends servers at once, and starts one of another version for each. */
export function swapVersion(
  world: World,
  { service, keepsIds, isNewVersion }: Extract<SceneFaultSpec, { kind: 'swapVersion' }>,
  swapped: readonly VirtualServer[],
): void {
  const version = isNewVersion ? nextVersionName(world) : currentVersion(world, service);
  for (const server of swapped) {
    if (keepsIds) {
      restartServer(world, server, 0, true, version);
      continue;
    }
    startReplacement(world, server, version);
    endServer(world, server);
  }
}

/** Ends all servers of one version of a service that has several. */
export function endVersion(
  world: World,
  { service }: Extract<SceneFaultSpec, { kind: 'endVersion' }>,
): void {
  const ofService = [...world.servers.values()].filter(({ entry }) => entry.service === service);
  const versions = [...new Set(ofService.filter(acceptsNewWork).map(({ entry }) => entry.version))];
  if (versions.length < 2) return;
  const ended = world.random.pick(versions);
  for (const server of ofService) if (server.entry.version === ended) endServer(world, server);
}

/** Returns the number of servers of a version that accept requests. */
export function readyServersOf(world: World, service: string, version: string): number {
  let count = 0;
  for (const server of world.servers.values()) {
    const { entry } = server;
    const isOfVersion = entry.service === service && (entry.version ?? '') === version;
    if (isOfVersion && acceptsNewWork(server) && !server.isSilent) count += 1;
  }
  return count;
}
