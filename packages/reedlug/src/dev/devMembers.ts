/** What a cluster holds, and how its boxes and servers end. */
import type { Server } from 'node:http';
import type { Logger } from 'reedlug-gateway';
import type { PlatformServer } from 'reedlug-standins';
import type { EntryDaemon } from '../daemon/entryDaemon.js';
import type { Settings } from '../settings/settingsTypes.js';
import { boxListOf, type DevServer } from './devServers.js';

/** An entry box of the cluster. */
export interface DevBox {
  id: string;
  zone: string;
  address: string;
  daemon: EntryDaemon;
  stopped: boolean;
}

/** A cluster's members, its cuts and its timers. */
export interface Cluster {
  settings: Settings;
  logger: Logger;
  servers: Map<string, DevServer>;
  platform: PlatformServer;
  boxes: DevBox[];
  httpServers: Map<string, Server>;
  zonesWithoutPlatform: Set<string>;
  /** Pairs of zones, as `a|b` in both orders. */
  cutZones: Set<string>;
  timers: Set<NodeJS.Timeout>;
  lastIncarnation: number;
}

/** The number of the next process that starts. */
export function nextIncarnation(cluster: Cluster): number {
  cluster.lastIncarnation += 1;
  return cluster.lastIncarnation;
}

/** A box that has not ended. */
export function findRunningBox(cluster: Cluster, id: string): DevBox | undefined {
  return cluster.boxes.find((box) => box.id === id && !box.stopped);
}

/** Ends a server's process; nothing where it has ended. */
export async function removeServer(cluster: Cluster, serverId: string): Promise<void> {
  const server = cluster.servers.get(serverId);
  if (server === undefined) return;
  cluster.servers.delete(serverId);
  cluster.platform.setBoxes(boxListOf(cluster.servers.values()));
  if (server.kind === 'engine') await server.running.kill();
  else await server.running.server.kill();
}

/** Ends a box's process; nothing where it has ended. */
export async function killBox(cluster: Cluster, boxId: string): Promise<void> {
  const box = findRunningBox(cluster, boxId);
  if (box === undefined) return;
  box.stopped = true;
  const server = cluster.httpServers.get(boxId);
  server?.closeAllConnections();
  server?.close();
  await box.daemon.kill();
  cluster.logger('boxEnded', { box: boxId });
}
