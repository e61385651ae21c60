/** The platform's list of servers, which boxes read with a lag. */
import type { BoxListEntry } from 'reedlug-decisions';
import { emit } from './emit.js';
import { platformReachable } from './links.js';
import type { World, WorldBox } from './worldTypes.js';

/** Interval at which a box reads the list, in ms. */
const LIST_POLL_INTERVAL_MS = 1000;

/** Sends a box the list of servers every second while it can reach the platform. */
export function scheduleBoxList(world: World, box: WorldBox, atMs: number): void {
  world.queue.at(atMs, () => {
    if (!box.alive) return;
    if (platformReachable(world, box))
      emit(world, box, { type: 'boxListRead', entries: laggingList(world) });
    scheduleBoxList(world, box, world.queue.nowMs() + LIST_POLL_INTERVAL_MS);
  });
}

function laggingList(world: World): readonly BoxListEntry[] {
  const asOfMs = world.queue.nowMs() - world.faults.listLagMs;
  const { listHistory } = world;
  return (listHistory.findLast(({ atMs }) => atMs <= asOfMs) ?? listHistory[0])?.entries ?? [];
}

/** Records the current servers in the history from which the lagging list is read. */
export function recordServerList(world: World): void {
  const entries = [...world.servers.values()].map(({ spec, incarnation, leaving }) => ({
    spec,
    incarnation,
    leaving,
  }));
  world.listHistory.push({ atMs: world.queue.nowMs(), entries });
  const MAX_SNAPSHOTS = 50;
  if (world.listHistory.length > MAX_SNAPSHOTS) world.listHistory.shift();
}
