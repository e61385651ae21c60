/** Faults of servers and boxes. */
import { killEngine, cancelEngineRun } from './engineFake.js';
import { recordServerList } from './boxList.js';
import { emitLater } from './emit.js';
import { Delay, platformReachable } from './links.js';
import { startBox } from './world.js';
import type { World } from './worldTypes.js';

/** Ends a server after a reclaim or a crash. */
export function endServer(world: World, serverId: string): void {
  const server = world.servers.get(serverId);
  if (server === undefined || !server.alive) return;
  if (server.kind === 'engine') killEngine(world, server);
  server.alive = false;
  world.servers.delete(serverId);
  world.gone.push(server);
  recordServerList(world);
}

/** Reclaims a server after a notice, which is sent to the boxes that `isNotified` selects. */
export function reclaimServer(
  world: World,
  serverId: string,
  noticeMs: number,
  isNotified: (boxId: string) => boolean = () => true,
): void {
  const server = world.servers.get(serverId);
  if (server === undefined || server.leaving) return;
  server.leaving = true;
  if (server.kind === 'engine') server.model.leaving = true;
  recordServerList(world);
  const { nowMs } = world.queue;
  const leavesAtMs = nowMs() + noticeMs;
  for (const [boxId, box] of world.boxes) {
    if (!isNotified(boxId) || !platformReachable(world, box)) continue;
    const delayMs = world.random.unit() * Delay.notice;
    const { incarnation } = server;
    emitLater(world, box, delayMs, { type: 'reclaimNoticed', serverId, incarnation, leavesAtMs });
  }
  world.queue.at(leavesAtMs, () => endServer(world, serverId));
}

/** Reclaims every reclaimable server of a zone. */
export function reclaimZone(world: World, zone: string, noticeMs: number): void {
  for (const [serverId, server] of [...world.servers]) {
    if (server.spec.zone === zone && server.spec.reclaimable) {
      reclaimServer(world, serverId, noticeMs);
    }
  }
}

/** Kills a box and closes its connections to servers. */
export function killBox(world: World, boxId: string): void {
  const box = world.boxes.get(boxId);
  if (box === undefined || !box.alive) return;
  box.alive = false;
  for (const server of world.servers.values()) {
    if (server.kind !== 'engine') continue;
    for (const [attemptId, callerId] of [...server.callers]) {
      if (callerId === boxId) cancelEngineRun(server, attemptId);
    }
  }
}

/** Kills a box and restarts it after a delay. */
export function restartBox(world: World, boxId: string, afterMs: number): void {
  killBox(world, boxId);
  world.queue.at(world.queue.nowMs() + afterMs, () => {
    if (world.boxes.get(boxId)?.alive === false) startBox(world, boxId);
  });
}
