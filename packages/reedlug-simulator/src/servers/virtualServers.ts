/**
 * The servers of a world: engines and plain servers, their registry entries, and the loss of requests
 * when a server ends.
 */
import { RolloutPhase, ServerState, type ServerEntry } from 'reedlug-gateway';
import { recordEngineTime, recordPrefill } from '../report/engineRecord.js';
import { arePartitioned, later, nowMs, nextNumber, type World } from '../world.js';
import type { EngineService, PlainService, SceneService } from '../scene/scene.js';
import { createBatchEngine, finishStep, submitRun, type BatchEngine } from './batchEngine.js';
import { createPlainServer } from './plainServer.js';
import type { ServerWork, VirtualServer } from './virtualServer.js';

/** Interval between checks whether a draining server is idle, in ms. */
const IDLE_POLL_INTERVAL_MS = 200;

/** Number of missed heartbeats after which a registry entry expires. */
const EXPIRY_HEARTBEATS = 3;

/** Heartbeat interval of a plain server, in ms. */
const PLAIN_HEARTBEAT_MS = 1200;

/** Version of the servers at the start. */
const FIRST_VERSION = 'v1';

/** First part of the names of versions that serve without a roll-out. */
export const MIXED_VERSION_PREFIX = 'mixed-';

/** Port of every server; only the hosts of addresses differ. */
const SERVER_PORT = 8509;

/** Starts the servers that a scene begins with. */
export function startServers(world: World): void {
  for (const service of world.scene.services) {
    for (const zone of world.scene.zones) {
      for (let index = 0; index < service.perZone; index += 1) {
        if (service.kind === 'plain') startPlain(world, service, zone);
        else startEngine(world, service, zone, false);
      }
    }
  }
}

/** Returns an idle engine or plain server of a service. */
function createWork(world: World, service: SceneService): ServerWork {
  if (service.kind === 'engines') {
    const { engine, speeds } = service;
    const speed = speeds[nextNumber(world, 'engines') % speeds.length] ?? 1;
    return { kind: 'engine', engine: createBatchEngine(engine, speed) };
  }
  const { slots, queue } = service;
  const schedule = (ms: number, run: () => void): void => later(world, ms, run);
  return { kind: 'plain', server: createPlainServer({ slots, queue, schedule }) };
}

function startPlain(world: World, service: PlainService, zone: string, version?: string): void {
  const work = createWork(world, service);
  const { name, slots } = service;
  addServer(world, { service: name, zone, slots, reclaimable: false, work, version });
}

export function startEngine(
  world: World,
  service: EngineService,
  zone: string,
  reclaimable: boolean,
  version?: string,
): void {
  const { name } = service;
  const { slots } = service.engine;
  const work = createWork(world, service);
  addServer(world, { service: name, zone, slots, reclaimable, work, version });
}

/** Starts one server of another version for each existing server of a service, in the same zone. */
export function startAlongside(world: World, service: string, version: string): void {
  const existing = [...world.servers.values()].filter(
    (server) => server.entry.service === service && acceptsNewWork(server),
  );
  for (const server of existing) startReplacement(world, server, version);
}

/** Starts a server of another version in the place of one. */
export function startReplacement(world: World, { entry }: VirtualServer, version: string): void {
  const spec = world.scene.services.find(({ name }) => name === entry.service);
  if (spec?.kind === 'plain') startPlain(world, spec, entry.zone, version);
  if (spec?.kind === 'engines') startEngine(world, spec, entry.zone, entry.reclaimable, version);
}

/** Returns the default version of a service's servers: that of the last completed roll-out. */
export function currentVersion(world: World, service: string): string {
  const done = world.rollouts.filter(
    ({ spec, end }) => spec.service === service && end === RolloutPhase.completed,
  );
  return done.at(-1)?.version ?? FIRST_VERSION;
}

function addServer(
  world: World,
  params: {
    service: string;
    zone: string;
    slots: number;
    reclaimable: boolean;
    work: ServerWork;
    version: string | undefined;
  },
): void {
  const { service, zone, slots, reclaimable, work } = params;
  const { version = currentVersion(world, service) } = params;
  const number = nextNumber(world, 'servers');
  const entry: ServerEntry = {
    id: `server-${number}`,
    service,
    address: { host: `10.9.${Math.floor(number / 250)}.${number % 250}`, port: SERVER_PORT },
    zone,
    slots,
    state: ServerState.ready,
    reclaimable,
    leavesInMs: undefined,
    version,
    bornAtMs: Math.round(nowMs(world)),
  };
  const server = createServer(world, entry, work);
  world.servers.set(entry.id, server);
  const spec = world.scene.services.find(({ name }) => name === service);
  const isInitial = nowMs(world) === 0;
  const spreadMs = spec?.kind === 'engines' ? spec[isInitial ? 'entrySpreadMs' : 'heartbeatMs'] : 0;
  later(world, world.random.unit() * spreadMs, () => {
    if (world.servers.get(entry.id) === server) world.store.putServer(server.entry);
  });
}

function createServer(world: World, entry: ServerEntry, work: ServerWork): VirtualServer {
  return {
    entry,
    work,
    startedAtMs: nowMs(world),
    isSilent: false,
    limit: undefined,
    isDraining: false,
    refusing: undefined,
    openRuns: new Map(),
    waiting: () => waitingAt(work),
  };
}

function waitingAt(work: ServerWork): number {
  if (work.kind === 'plain') return work.server.isFull() ? work.server.waiting() : -1;
  const { running, waiting, parameters } = work.engine;
  return running.length >= parameters.slots ? waiting.length : -1;
}

function heartbeatOf(world: World, name: string): number {
  const service = world.scene.services.find((known) => known.name === name);
  return service?.kind === 'engines' ? service.heartbeatMs : PLAIN_HEARTBEAT_MS;
}

/** Whether a server accepts new requests, as the platform knows; its registry entry may show it later. */
export function acceptsNewWork({ entry, isDraining }: VirtualServer): boolean {
  return entry.state === ServerState.ready && !isDraining;
}

/** Announces that a server drains. It ends after the notice; without a notice, when it is idle after the drain time. */
export function drainServer(world: World, server: VirtualServer, noticeMs: number): void {
  const leavesInMs = noticeMs > 0 ? noticeMs : undefined;
  server.entry = { ...server.entry, state: ServerState.leaving, leavesInMs };
  server.isDraining = true;
  world.store.putServer(server.entry);
  const { drainMs } = world.scene.bounds;
  const endsAtMs = nowMs(world) + (noticeMs > 0 ? noticeMs : drainMs);
  later(world, endsAtMs - nowMs(world), () => endWhenIdle(world, server, noticeMs > 0));
}

function endWhenIdle(world: World, server: VirtualServer, isForced: boolean): void {
  if (isForced || server.openRuns.size === 0) return endServer(world, server);
  later(world, IDLE_POLL_INTERVAL_MS, () => endWhenIdle(world, server, false));
}

/** Ends a server; boxes with open requests there get a connection reset. */
export function endServer(world: World, server: VirtualServer): void {
  if (!world.servers.delete(server.entry.id)) return;
  recordIncarnation(world, server);
  world.store.removeServer(server.entry.id);
  for (const loseRun of [...server.openRuns.values()]) loseRun();
  server.openRuns.clear();
}

/**
 * Ends a server without notice and restarts it under its id; its entry stays unless it expires
 * after three heartbeats.
 */
export function restartServer(
  world: World,
  server: VirtualServer,
  downMs: number,
  reportsStartTime: boolean,
  version = server.entry.version,
): void {
  const { entry } = server;
  const service = world.scene.services.find(({ name }) => name === entry.service);
  if (service === undefined || !world.servers.delete(entry.id)) return;
  recordIncarnation(world, server);
  for (const loseRun of [...server.openRuns.values()]) loseRun();
  server.openRuns.clear();
  const expiresInMs = EXPIRY_HEARTBEATS * heartbeatOf(world, entry.service);
  if (downMs > expiresInMs) later(world, expiresInMs, () => world.store.removeServer(entry.id));
  later(world, downMs, () => {
    const bornAtMs = reportsStartTime ? Math.round(nowMs(world)) : undefined;
    const work = createWork(world, service);
    const next = { ...entry, state: ServerState.ready, leavesInMs: undefined, bornAtMs, version };
    world.servers.set(entry.id, createServer(world, next, work));
    world.store.putServer(next);
  });
}

/** Makes a server unresponsive without notice: its entry expires after three heartbeats, and connections to it hang. */
export function silenceServer(world: World, server: VirtualServer): void {
  server.isSilent = true;
  const expiresInMs = EXPIRY_HEARTBEATS * heartbeatOf(world, server.entry.service);
  later(world, expiresInMs, () => {
    if (!world.servers.delete(server.entry.id)) return;
    recordIncarnation(world, server);
    world.store.removeServer(server.entry.id);
  });
}

/** Records the cost of the engines that are still running. */
export function recordRunningServers(world: World): void {
  for (const server of world.servers.values()) recordIncarnation(world, server);
}

function recordIncarnation(world: World, { entry, work, startedAtMs }: VirtualServer): void {
  if (work.kind !== 'engine') return;
  const { service, zone, reclaimable } = entry;
  recordEngineTime(world, { service, zone, reclaimable }, nowMs(world) - startedAtMs);
  recordPrefill(world, work.engine);
}

/** Whether a server is reachable for boxes in a zone. */
export function isReachableFrom(world: World, zone: string, server: VirtualServer): boolean {
  return !server.isSilent && !arePartitioned(world, zone, server.entry.zone);
}

/** Submits a request to an engine, and schedules the engine's steps if it was idle. */
export function submitToEngine(
  world: World,
  engine: BatchEngine,
  run: Parameters<typeof submitRun>[1],
): void {
  const wasIdle = engine.stepEndsAtMs === undefined;
  submitRun(engine, run, nowMs(world));
  if (wasIdle) scheduleStep(world, engine);
}

function scheduleStep(world: World, engine: BatchEngine): void {
  const endsAtMs = engine.stepEndsAtMs;
  if (endsAtMs === undefined) return;
  world.queue.at(endsAtMs, () => {
    finishStep(engine, nowMs(world));
    scheduleStep(world, engine);
  });
}
