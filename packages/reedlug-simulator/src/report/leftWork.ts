/** Checks that boxes keep nothing of requests that are over. */
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { World } from '../world.js';

/** Records what boxes still hold at the end of a run, after the longest deadline. */
export function checkLeftWork(world: World): void {
  for (const box of world.boxes.values()) {
    if (!box.isAlive) continue;
    const left = Object.entries(leftWorkOf(box)).filter(([, count]) => count !== 0);
    if (left.length === 0) continue;
    const detail = left.map(([name, count]) => `${name} ${count}`).join(', ');
    world.record.broken.push({ promise: 'nothingKept', detail: `${box.id}: ${detail}` });
  }
}

function leftWorkOf({ state, exchanges, sends }: VirtualBox): Record<string, number> {
  let running = 0;
  let unread = 0;
  let spareSends = 0;
  for (const view of state.servers.values()) {
    running += Math.abs(view.running);
    unread += Math.abs(view.unread) + Math.abs(view.prefillTokens);
    spareSends += Math.abs(view.placeUse?.openSpareSends ?? 0);
  }
  return {
    exchanges: exchanges.size,
    sends: sends.size,
    requests: state.requests.size,
    pending: state.pendingRequests.length,
    waiting: state.waitingForUnits.length,
    lookups: state.streamVersions.lookups.length + state.streamVersions.resolved.length,
    ...{ running, unread, spareSends },
  };
}
