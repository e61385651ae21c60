/** Faults of backend servers: crashes, drains, pauses, limits and invalid registry entries. */
import { setTimeout as delay } from 'node:timers/promises';
import { enterMalformedServer, removeServerEntry } from 'reedlug-platform/standins';
import type { Fault } from './fault.js';
import { withServerFault } from './faultSpans.js';
import type { SoakRecord } from './soakRecord.js';
import { registerServer, startNextIncarnation } from './soakServers.js';
import type { SoakServer, SoakWorld } from './soakWorld.js';

/**
 * Time for which the registry entry of a crashed server remains, in ms: three heartbeats of the
 * users' backend servers.
 */
export const ENTRY_LIFETIME_MS = 1200;
/**
 * Time for which a draining server still serves, in ms: slightly longer than the bound `drainMs`
 * that the users require.
 */
const DRAIN_TIME_MS = 2600;

/**
 * Time from the start of a crashing request to the crash, and downtime of the server after it, in
 * ms.
 */
const CRASH_AFTER_MS = 60;
const CRASH_DOWNTIME_MS = 2500;

/** Registry entries from other writers; none of them describes a valid server. */
const INVALID_ENTRIES: readonly unknown[] = [
  null,
  [],
  'records',
  7,
  {},
  { service: 'records', address: 5, zone: 'zone-a', slots: 4, state: 'ready' },
  { service: 'records', address: '127.0.0.1:99999', zone: 'zone-a', slots: 4, state: 'ready' },
  { service: 'records', address: '127.0.0.1:9', zone: 'zone-a', slots: '4', state: 'ready' },
  { service: 'records', address: '127.0.0.1:9', zone: 'zone-a', slots: 4, state: 'resting' },
  {
    service: 'records',
    address: '127.0.0.1:9',
    zone: 'zone-a',
    slots: 4,
    state: 'ready',
    born: 'x',
  },
];

/** Crashes a server while it runs the crashing request, then restarts it under its id. */
export async function crashUnderRequest(
  world: SoakWorld,
  record: SoakRecord,
  server: SoakServer,
): Promise<void> {
  const { standin } = server;
  await delay(CRASH_AFTER_MS);
  if (server.standin !== standin || standin.isClosed()) return;
  record.crashesAtMs.push(performance.now());
  const fault = { kind: 'serverRestarts' as const, backAfterMs: CRASH_DOWNTIME_MS };
  await withServerFault(record, () =>
    restartServer(world, record, { ...fault, server: world.servers.indexOf(server) }),
  );
}

/**
 * Crashes a server as it begins to write an answer on the crashing part. Its port refuses connections until
 * it is back under its id.
 */
export async function crashUnderPart(
  world: SoakWorld,
  record: SoakRecord,
  server: SoakServer,
): Promise<void> {
  const { standin } = server;
  await delay(world.partFirstEventMs);
  if (server.standin !== standin || standin.isClosed()) return;
  record.partCrashesAtMs.push(performance.now());
  await withServerFault(record, async () => {
    server.proxy.stopListening();
    standin.close();
    await delay(CRASH_DOWNTIME_MS);
    await server.proxy.listenAgain();
    if (server.standin === standin) await startNextIncarnation(world, server, true);
  });
}

/** Makes a server announce a limit for `forMs`. Its next incarnation does not announce it. */
export async function announceServerLimit(
  world: SoakWorld,
  { server, perSecond, forMs }: Extract<Fault, { kind: 'serverLimits' }>,
): Promise<void> {
  const standin = world.servers[server]?.standin;
  if (standin === undefined) return;
  standin.limitPerSecond = perSecond;
  await delay(forMs);
  standin.limitPerSecond = undefined;
}

/**
 * Makes a server announce in its responses that it is draining. It continues to serve, then
 * restarts under its id.
 */
export async function drainByStatement(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverSaysLeaving' }>,
): Promise<void> {
  const standin = world.servers[fault.server]?.standin;
  if (standin === undefined) return;
  standin.saysLeaving = true;
  await delay(fault.forMs);
  if (world.servers[fault.server]?.standin !== standin) return;
  const { server, backAfterMs } = fault;
  return restartServer(world, record, { kind: 'serverRestarts', server, backAfterMs });
}

/**
 * Makes a server refuse every request for `forMs` and ask for a pause in its refusals. An
 * incarnation that starts meanwhile refuses too, but asks for no pause.
 */
export async function requestPause(
  world: SoakWorld,
  { server, restSeconds, forMs }: Extract<Fault, { kind: 'serverRests' }>,
): Promise<void> {
  const pausedServer = world.servers[server];
  if (pausedServer === undefined) return;
  const { standin } = pausedServer;
  standin.restSeconds = restSeconds;
  pausedServer.failureMode = 'refuse';
  await delay(forMs);
  standin.restSeconds = undefined;
  pausedServer.failureMode = undefined;
}

/**
 * Crashes a server without notice. Its registry entry remains, and its next incarnation has the
 * same id.
 */
export async function restartServer(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverRestarts' }>,
): Promise<void> {
  const server = world.servers[fault.server];
  if (server === undefined || record.leftAtMs.has(server.standin.id)) return;
  const { standin } = server;
  standin.close();
  await delay(fault.backAfterMs);
  // Another fault may have ended this incarnation meanwhile.
  if (server.standin === standin && !record.leftAtMs.has(standin.id)) {
    server.version = fault.version ?? server.version;
    await startNextIncarnation(world, server, true);
  }
}

/** Registers an entry of another writer that describes no valid server. */
export function registerInvalidEntry(world: SoakWorld, entryIndex: number): void {
  const value = INVALID_ENTRIES[entryIndex % INVALID_ENTRIES.length];
  enterMalformedServer(world.store, `odd-${entryIndex}`, value);
}

/** Crashes or drains a server, then starts its next incarnation under a new id. */
export async function replaceServer(
  world: SoakWorld,
  record: SoakRecord,
  fault: Extract<Fault, { kind: 'serverCrash' | 'serverLeaves' }>,
): Promise<void> {
  const server = world.servers[fault.server];
  if (server === undefined || record.leftAtMs.has(server.standin.id)) return;
  const { standin } = server;
  switch (fault.kind) {
    case 'serverCrash':
      standin.close();
      record.leftAtMs.set(standin.id, performance.now() + ENTRY_LIFETIME_MS);
      await delay(ENTRY_LIFETIME_MS);
      break;
    case 'serverLeaves':
      standin.saysLeaving = fault.onlyListed !== true;
      registerServer(world, server, true);
      record.leftAtMs.set(standin.id, performance.now());
      await delay(DRAIN_TIME_MS);
      standin.close();
      break;
  }
  removeServerEntry(world.store, standin.id);
  await delay(fault.backAfterMs);
  await startNextIncarnation(world, server, false);
}
