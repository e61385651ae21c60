/**
 * The cluster of `reedlug dev`: the entry boxes of a settings file and stand-ins for servers and
 * platform, in one process on loopback, with an HTTP address to inject faults.
 */
import { ServerKind } from 'reedlug-decisions';
import { startPlatformServer, type PlatformServer, type RunningServer } from 'reedlug-standins';
import { startEntryDaemon, type EntryDaemon } from '../daemon/entryDaemon.js';
import { createCallerServer } from '../http/callerServer.js';
import type { Logger } from 'reedlug-gateway';
import { toDecisionSettings } from '../settings/decisionSettings.js';
import type { BoxSettings, Settings } from '../settings/settingsTypes.js';
import type { DevFault } from './devFaults.js';
import { killBox, nextIncarnation, removeServer, type Cluster, type DevBox } from './devMembers.js';
import {
  boxListOf,
  startDevEngine,
  startDevService,
  startedEngineSpec,
  type DevServer,
} from './devServers.js';
import { startFaultServer, injectFault } from './faultServer.js';
import { toLoopbackSettings } from './loopbackSettings.js';

/** A running cluster. */
export interface DevCluster {
  boxes: DevBox[];
  /** Key of the first workspace. */
  key: string;
  workspaceKeys: ReadonlyMap<string, string>;
  operatorKey: string;
  faultsAddress: string;
  settings: Settings;
  servers: Map<string, DevServer>;
  platform: PlatformServer;
  injectFault: (fault: DevFault) => Promise<void>;
  close: () => Promise<void>;
}

/** Starts a cluster. Resolves once every box is ready and sees all servers as live. */
export async function startDevCluster(
  given: Settings,
  logger: Logger,
  onEvent?: (boxId: string) => ((event: import('reedlug-decisions').BoxEvent) => void) | undefined,
): Promise<DevCluster> {
  const platform = await startPlatformServer(0, 1000);
  const { settings, workspaceKeys, operatorKey } = await toLoopbackSettings(
    given,
    platform.server.address,
  );
  const cluster: Cluster = {
    settings,
    logger,
    servers: new Map(),
    platform,
    boxes: [],
    httpServers: new Map(),
    zonesWithoutPlatform: new Set(),
    cutZones: new Set(),
    timers: new Set(),
    lastIncarnation: Date.now(),
  };
  await startServers(cluster);
  connectPlatform(cluster);
  for (const box of settings.boxes) await startBox(cluster, box, onEvent?.(box.id));
  const faults = await startFaultServer(cluster);
  await waitUntilReady(cluster);
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
    injectFault: (fault) => injectFault(cluster, fault),
    close: () => closeAll(cluster, faults),
  };
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

function connectPlatform(cluster: Cluster): void {
  const { platform, settings } = cluster;
  platform.setBoxes(boxListOf(cluster.servers.values()));
  platform.onStart(async (ask) => {
    const spec = startedEngineSpec(settings, ask);
    const server = await startDevEngine(settings, spec, nextIncarnation(cluster));
    cluster.servers.set(spec.id, server);
    platform.setBoxes(boxListOf(cluster.servers.values()));
  });
  platform.onStop(async (serverId) => removeServer(cluster, serverId));
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
    partitions: {
      platform: () => cluster.zonesWithoutPlatform.has(box.zone),
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

async function waitUntilReady(cluster: Cluster): Promise<void> {
  const POLL_INTERVAL_MS = 25;
  const READY_TIMEOUT_MS = 10_000;
  const sinceMs = performance.now();
  while (!cluster.boxes.every((box) => box.daemon.ready() && seesAllServersLive(cluster, box))) {
    if (performance.now() - sinceMs > READY_TIMEOUT_MS)
      throw new Error('the boxes did not become ready in time');
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function seesAllServersLive(cluster: Cluster, box: DevBox): boolean {
  const { members } = box.daemon.state.serverMembers;
  return [...cluster.servers.keys()].every((id) => members.get(id)?.state === 'live');
}

async function closeAll(cluster: Cluster, faults: RunningServer): Promise<void> {
  for (const timer of cluster.timers) clearTimeout(timer);
  await Promise.all(cluster.boxes.map((box) => killBox(cluster, box.id)));
  await Promise.all([...cluster.servers.keys()].map((id) => removeServer(cluster, id)));
  await faults.close();
  await cluster.platform.server.close();
}
