/** Ends the process of a simulated box. */
import { stopRun } from '../servers/batchEngine.js';
import type { World } from '../world.js';
import type { VirtualBox } from './virtualBox.js';

/**
 * Ends a box's process at once: callers lose their connections, and its runs at servers stop.
 * Without power, later connections time out.
 */
export function killBox(world: World, box: VirtualBox, hasPower: boolean): void {
  if (!box.isAlive) return;
  box.isAlive = false;
  box.isListening = false;
  box.hasPower = hasPower;
  box.isInRotation = false;
  for (const attempt of box.exchanges.values()) attempt.onConnectionLost();
  box.exchanges.clear();
  for (const { serverId, runId } of box.sends.values()) {
    world.servers.get(serverId)?.openRuns.delete(runId);
    stopRunAt(world, serverId, runId);
  }
  box.sends.clear();
}

/** Stops a run at its server. */
export function stopRunAt(world: World, serverId: string, runId: number): void {
  const server = world.servers.get(serverId);
  if (server === undefined) return;
  server.openRuns.delete(runId);
  if (server.work.kind === 'engine') stopRun(server.work.engine, runId);
  else server.work.server.stop(runId);
}
