/**
 * `reedlug dev`: the entry boxes of a settings file with stand-ins around them,
 * in one process on loopback, with an address of fault switches.
 */
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import { ServerKind } from 'reedlug-decisions';
import {
  startJsonServer,
  startPlatformServer,
  type PlatformServer,
  type RunningServer,
} from 'reedlug-standins';
import { startEntryDaemon, type EntryDaemon } from '../daemon/entryDaemon.js';
import { createCallerServer } from '../http/callerServer.js';
import { hashKey } from '../http/keys.js';
import type { Logger } from 'reedlug-gateway';
import { toDecisionSettings } from '../settings/decisionSettings.js';
import type { BoxSettings, Settings } from '../settings/settingsTypes.js';
import { parseFault, type DevFault } from './devFaults.js';
import { findFreePorts } from 'reedlug-standins';
import {
  boxListOf,
  startDevEngine,
  startDevService,
  startedSpec,
  type DevServer,
} from './devServers.js';

/** An entry box of the cluster. */
export interface DevBox {
  id: string;
  zone: string;
  address: string;
  daemon: EntryDaemon;
  stopped: boolean;
}

/** A running cluster. */
export interface DevCluster {
  boxes: DevBox[];
  /** A key of the first workspace. */
  key: string;
  workspaceKeys: ReadonlyMap<string, string>;
  operatorKey: string;
  faultsAddress: string;
  settings: Settings;
  servers: Map<string, DevServer>;
  platform: PlatformServer;
  throwFault: (fault: DevFault) => Promise<void>;
  close: () => Promise<void>;
}

interface Cluster {
  settings: Settings;
  logger: Logger;
  servers: Map<string, DevServer>;
  platform: PlatformServer;
  boxes: DevBox[];
  httpServers: Map<string, Server>;
  cutFromPlatform: Set<string>;
  /** Pairs of zones, as `a|b` in both orders. */
  cutZones: Set<string>;
  timers: Set<NodeJS.Timeout>;
  incarnations: number;
}

const KEY_BYTES = 12;

/** Starts a cluster; resolves once every box is ready. */
export async function startDevCluster(
  given: Settings,
  logger: Logger,
  onEvent?: (boxId: string) => ((event: import('reedlug-decisions').BoxEvent) => void) | undefined,
): Promise<DevCluster> {
  const platform = await startPlatformServer(0, 1000);
  const { settings, workspaceKeys, operatorKey } = await onLoopback(given, platform.server.address);
  const cluster: Cluster = {
    settings,
    logger,
    servers: new Map(),
    platform,
    boxes: [],
    httpServers: new Map(),
    cutFromPlatform: new Set(),
    cutZones: new Set(),
    timers: new Set(),
    incarnations: Date.now(),
  };
  await startServers(cluster);
  wirePlatform(cluster);
  for (const box of settings.boxes) await startBox(cluster, box, onEvent?.(box.id));
  const faults = await startFaultServer(cluster);
  await allReady(cluster);
  const [firstKey] = workspaceKeys.values();
  return {
    boxes: cluster.boxes,
    key: firstKey ?? '',
    workspaceKeys,
    operatorKey,
    faultsAddress: faults.address,
    settings,
    servers: cluster.servers,
    platform,
    throwFault: (fault) => throwFault(cluster, fault),
    close: () => closeAll(cluster, faults),
  };
}

/** Settings with loopback addresses, fresh keys and a fresh peer secret. */
async function onLoopback(
  given: Settings,
  platformUrl: string,
): Promise<{ settings: Settings; workspaceKeys: Map<string, string>; operatorKey: string }> {
  const ports = await findFreePorts(given.boxes.length * 2);
  const workspaceKeys = new Map(given.workspaces.map(({ id }) => [id, freshKey()]));
  const operatorKey = freshKey();
  const settings: Settings = {
    ...given,
    peerSecret: freshKey() + freshKey(),
    peerSecretFile: undefined,
    platform: {
      ...given.platform,
      tableUrl: platformUrl,
      objectStoreUrl: platformUrl,
      cloudUrl: platformUrl,
      boxListUrl: platformUrl,
      weightStoreUrl: platformUrl,
    },
    boxes: given.boxes.map((box, index) => ({
      ...box,
      callers: `127.0.0.1:${ports[index * 2]}`,
      peers: `127.0.0.1:${ports[index * 2 + 1]}`,
    })),
    workspaces: given.workspaces.map((workspace) => ({
      ...workspace,
      keySha256: hashKey(workspaceKeys.get(workspace.id) ?? ''),
    })),
    operators: [{ id: 'dev-operator', keySha256: hashKey(operatorKey) }],
  };
  return { settings, workspaceKeys, operatorKey };
}

function freshKey(): string {
  return randomBytes(KEY_BYTES).toString('hex');
}

async function startServers(cluster: Cluster): Promise<void> {
  const { settings } = cluster;
  const box = { id: 'dev', zone: '' };
  const specs = toDecisionSettings(settings, box, 0).servers;
  for (const spec of specs) {
    const start = spec.kind === ServerKind.engine ? startDevEngine : startDevService;
    const server = await start(settings, spec, nextIncarnation(cluster));
    cluster.servers.set(spec.id, server);
  }
  const addressOf = (id: string, given: string): string =>
    cluster.servers.get(id)?.spec.address ?? given;
  settings.engines = settings.engines.map((engine) => ({
    ...engine,
    address: addressOf(engine.id, engine.address),
  }));
  settings.services = settings.services.map((service) => ({
    ...service,
    address: addressOf(service.id, service.address),
  }));
}

function nextIncarnation(cluster: Cluster): number {
  cluster.incarnations += 1;
  return cluster.incarnations;
}

function wirePlatform(cluster: Cluster): void {
  const { platform, settings } = cluster;
  platform.setBoxes(boxListOf(cluster.servers.values()));
  platform.onStart(async (ask) => {
    const spec = startedSpec(settings, ask);
    const server = await startDevEngine(settings, spec, nextIncarnation(cluster));
    cluster.servers.set(spec.id, server);
    platform.setBoxes(boxListOf(cluster.servers.values()));
  });
  platform.onStop(async (serverId) => removeServer(cluster, serverId));
}

async function removeServer(cluster: Cluster, serverId: string): Promise<void> {
  const server = cluster.servers.get(serverId);
  if (server === undefined) return;
  cluster.servers.delete(serverId);
  cluster.platform.setBoxes(boxListOf(cluster.servers.values()));
  if (server.kind === 'engine') await server.running.kill();
  else await server.running.server.kill();
}

async function startBox(
  cluster: Cluster,
  box: BoxSettings,
  onEvent: ((event: import('reedlug-decisions').BoxEvent) => void) | undefined,
): Promise<void> {
  const { settings, logger } = cluster;
  const boxLogger: Logger = (event, fields) => logger(event, { box: box.id, ...fields });
  const devBox: DevBox = {
    id: box.id,
    zone: box.zone,
    address: `http://${box.callers}`,
    daemon: undefined as unknown as EntryDaemon,
    stopped: false,
  };
  const daemon = await startEntryDaemon({
    settings,
    box,
    incarnation: nextIncarnation(cluster),
    peerSecret: settings.peerSecret ?? '',
    peerTls: undefined,
    logger: boxLogger,
    cuts: {
      platform: () => cluster.cutFromPlatform.has(box.zone),
      zone: (zone) => cluster.cutZones.has(`${box.zone}|${zone}`),
    },
    onEvent,
    onStopped: () => void killBox(cluster, box.id),
  });
  devBox.daemon = daemon;
  cluster.boxes.push(devBox);
  const server = createCallerServer(daemon);
  const [host = '127.0.0.1', port = '0'] = box.callers.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  cluster.httpServers.set(box.id, server);
}

async function allReady(cluster: Cluster): Promise<void> {
  const LOOK_EVERY_MS = 25;
  const GIVE_UP_MS = 10_000;
  const sinceMs = performance.now();
  while (!cluster.boxes.every((box) => box.daemon.ready() && seesServers(cluster, box))) {
    if (performance.now() - sinceMs > GIVE_UP_MS) throw new Error('the boxes did not get ready');
    await new Promise((resolve) => setTimeout(resolve, LOOK_EVERY_MS));
  }
}

function seesServers(cluster: Cluster, box: DevBox): boolean {
  const { members } = box.daemon.state.serverMembers;
  return [...cluster.servers.keys()].every((id) => members.get(id)?.state === 'live');
}

function startFaultServer(cluster: Cluster): Promise<RunningServer> {
  const throwOne = async (body: unknown): Promise<{ status: number; value: unknown }> => {
    const parsed = parseFault(body);
    if ('faults' in parsed) return { status: 400, value: parsed };
    await throwFault(cluster, parsed.fault);
    return { status: 200, value: { thrown: parsed.fault } };
  };
  const handle = ({ body }: { body: unknown }) => throwOne(body);
  return startJsonServer(
    [
      { method: 'POST', path: '/', handle },
      { method: 'POST', path: '/faults', handle },
      { method: 'GET', path: '/runs', handle: () => ({ status: 200, value: runsOf(cluster) }) },
    ],
    0,
  );
}

/** How often each non-repeatable request was run at the plain services. */
function runsOf(cluster: Cluster): Record<string, number> {
  const runs: Record<string, number> = {};
  for (const server of cluster.servers.values()) {
    if (server.kind !== 'service') continue;
    for (const [ref, count] of server.running.runs) runs[ref] = (runs[ref] ?? 0) + count;
  }
  return runs;
}

async function throwFault(cluster: Cluster, fault: DevFault): Promise<void> {
  cluster.logger('faultThrown', { kind: fault.kind });
  const { faults } = cluster.platform;
  switch (fault.kind) {
    case 'reclaimZone':
      for (const server of cluster.servers.values()) {
        const { zone, reclaimable, id } = server.spec;
        if (zone === fault.zone && reclaimable) reclaimServer(cluster, id, fault.noticeMs);
      }
      return;
    case 'reclaimServer':
      return reclaimServer(cluster, fault.server, fault.noticeMs);
    case 'killServer':
      return removeServer(cluster, fault.server);
    case 'stallServer':
      cluster.servers.get(fault.server)?.running.stall(fault.forMs);
      return;
    case 'refuseStarts':
      faults.refuseStarts = fault.on;
      return;
    case 'tableDown':
      faults.tableDown = fault.on;
      return;
    case 'tableSlow':
      faults.tableSlowMs = fault.byMs;
      return;
    case 'loseAnswers':
      faults.answersToLose = fault.count;
      return;
    case 'cutPlatform':
      if (fault.on) cluster.cutFromPlatform.add(fault.zone);
      else cluster.cutFromPlatform.delete(fault.zone);
      return;
    case 'cutZones':
      return cutZones(cluster, fault.zones, fault.on);
    case 'stopBox':
      boxOf(cluster, fault.box)?.daemon.emit({ type: 'stopAsked' });
      return;
    case 'killBox':
      return killBox(cluster, fault.box);
    case 'reclaimBox':
      return reclaimBox(cluster, fault.box, fault.noticeMs);
  }
}

function boxOf(cluster: Cluster, id: string): DevBox | undefined {
  return cluster.boxes.find((box) => box.id === id && !box.stopped);
}

function later(cluster: Cluster, delayMs: number, run: () => void): void {
  const timer = setTimeout(() => {
    cluster.timers.delete(timer);
    run();
  }, delayMs);
  cluster.timers.add(timer);
}

function reclaimServer(cluster: Cluster, serverId: string, noticeMs: number): void {
  const server = cluster.servers.get(serverId);
  if (server === undefined) return;
  server.leaving = true;
  server.running.leave();
  cluster.platform.notice(serverId, server.incarnation, noticeMs);
  later(cluster, noticeMs, () => void removeServer(cluster, serverId));
}

function reclaimBox(cluster: Cluster, boxId: string, noticeMs: number): void {
  const box = boxOf(cluster, boxId);
  if (box === undefined) return;
  cluster.platform.notice(boxId, box.daemon.state.settings.incarnation, noticeMs);
  later(cluster, noticeMs, () => void killBox(cluster, boxId));
}

function cutZones(cluster: Cluster, zones: readonly [string, string], on: boolean): void {
  const [a, b] = zones;
  for (const pair of [`${a}|${b}`, `${b}|${a}`]) {
    if (on) cluster.cutZones.add(pair);
    else cluster.cutZones.delete(pair);
  }
}

async function killBox(cluster: Cluster, boxId: string): Promise<void> {
  const box = boxOf(cluster, boxId);
  if (box === undefined) return;
  box.stopped = true;
  const server = cluster.httpServers.get(boxId);
  server?.closeAllConnections();
  server?.close();
  await box.daemon.kill();
  cluster.logger('boxEnded', { box: boxId });
}

async function closeAll(cluster: Cluster, faults: RunningServer): Promise<void> {
  for (const timer of cluster.timers) clearTimeout(timer);
  await Promise.all(cluster.boxes.map((box) => killBox(cluster, box.id)));
  await Promise.all([...cluster.servers.keys()].map((id) => removeServer(cluster, id)));
  await faults.close();
  await cluster.platform.server.close();
}
