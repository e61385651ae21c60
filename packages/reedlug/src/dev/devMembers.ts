/** State of a dev cluster, and how its boxes and servers are removed. */
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

/** The boxes and servers of a cluster, its network partitions and its timers. */
export interface Cluster {
  settings: Settings;
  logger: Logger;
  servers: Map<string, DevServer>;
  platform: PlatformServer;
  boxes: DevBox[];
  httpServers: Map<string, Server>;
  /** Zones whose boxes cannot reach the platform. */
  zonesWithoutPlatform: Set<string>;
  /** Pairs of zones with a network partition between them, as `a|b` in both orders. */
  cutZones: Set<string>;
  timers: Set<NodeJS.Timeout>;
  lastIncarnation: number;
}

/** Returns the incarnation of the next process that is started. */
export function nextIncarnation(cluster: Cluster): number {
  cluster.lastIncarnation += 1;
  return cluster.lastIncarnation;
}

/** Returns a box by its id, unless it has stopped. */
export function findRunningBox(cluster: Cluster, id: string): DevBox | undefined {
  return cluster.boxes.find((box) => box.id === id && !box.stopped);
}

/** Stops a server and removes it from the box list. Does nothing if it was removed before. */
export async function removeServer(cluster: Cluster, serverId: string): Promise<void> {
  const server = cluster.servers.get(serverId);
  if (server === undefined) return;
  cluster.servers.delete(serverId);
  cluster.platform.setBoxes(boxListOf(cluster.servers.values()));
  if (server.kind === 'engine') await server.running.kill();
  else await server.running.server.kill();
}

/** Stops a box without draining. Does nothing if it has already stopped. */
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
