/** Faults and changes of the software versions of servers. */
import { setTimeout as delay } from 'node:timers/promises';
import { removeServerEntry } from 'reedlug-platform/standins';
import { LinkFault, type Fault } from './fault.js';
import { ENTRY_LIFETIME_MS, replaceServer } from './serverFaults.js';
import type { SoakRecord } from './soakRecord.js';
import { startNextIncarnation } from './soakServers.js';
import type { SoakServer, SoakWorld } from './soakWorld.js';

/** Makes a server reset all its connections again and again. */
export async function resetConnections(
  world: SoakWorld,
  { server, everyMs, forMs }: Extract<Fault, { kind: 'serverResets' }>,
): Promise<void> {
  const proxy = world.servers[server]?.proxy;
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    proxy?.setFault(LinkFault.reset);
    proxy?.setFault(undefined);
    await delay(everyMs);
  }
}

/** Ends all servers of a version at once; their entries expire later. */
export async function endVersion(
  world: SoakWorld,
  record: SoakRecord,
  { version, backAs }: Extract<Fault, { kind: 'versionEnds' }>,
): Promise<void> {
  const servers = serversOf(world, version).filter(({ standin }) => !standin.isClosed());
  const standins = servers.map(({ standin }) => standin);
  for (const standin of standins) {
    standin.close();
    record.leftAtMs.set(standin.id, performance.now() + ENTRY_LIFETIME_MS);
  }
  await delay(ENTRY_LIFETIME_MS);
  for (const { id } of standins) removeServerEntry(world.store, id);
  if (backAs === undefined) return;
  for (const server of servers) {
    server.version = backAs;
    await startNextIncarnation(world, server, false);
  }
}

/** Ends a share of the servers of a version, the first ones, and starts one of another version for each. */
export async function swapVersion(
  world: SoakWorld,
  record: SoakRecord,
  { from, to, share, keepsId }: Extract<Fault, { kind: 'versionSwapped' }>,
): Promise<void> {
  // A server that another fault replaces already would get two next incarnations.
  const servers = serversOf(world, from).filter(
    ({ standin }) => !standin.isClosed() && !record.leftAtMs.has(standin.id),
  );
  const swapped = servers.slice(0, Math.ceil(share * servers.length));
  for (const server of swapped) {
    const { standin } = server;
    standin.close();
    server.version = to;
    if (keepsId) continue;
    record.leftAtMs.set(standin.id, performance.now());
    removeServerEntry(world.store, standin.id);
  }
  await Promise.all(swapped.map((server) => startNextIncarnation(world, server, keepsId)));
}

/** Drains the servers of a version one by one; one of another version starts in place of each. */
export async function replaceVersion(
  world: SoakWorld,
  record: SoakRecord,
  { from, to, everyMs }: Extract<Fault, { kind: 'versionReplaced' }>,
): Promise<void> {
  const replacements: Promise<void>[] = [];
  for (const server of serversOf(world, from)) {
    server.version = to;
    const index = world.servers.indexOf(server);
    const fault = { kind: 'serverLeaves' as const, server: index, backAfterMs: 0 };
    replacements.push(replaceServer(world, record, fault));
    await delay(everyMs);
  }
  await Promise.all(replacements);
}

function serversOf(world: SoakWorld, version: string): SoakServer[] {
  return world.servers.filter(({ standin }) => standin.version === version);
}
