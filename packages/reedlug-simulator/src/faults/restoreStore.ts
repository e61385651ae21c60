/** The store goes away and comes back from a copy: what was written since is lost, versions are given out again. */
import type { SceneFaultSpec } from '../scene/scene.js';
import { StoreWriter, type StoreChange } from '../store/storeHistory.js';
import { StoreOutage } from '../store/virtualStore.js';
import { later, nowMs, type World } from '../world.js';
import { putConfiguration } from '../report/configurationRecord.js';
import { recordDutyOutage } from '../report/dutyRecord.js';

/** Time from the store's return until others have written as well, in ms: less than a box's pause after a failed call. */
const OTHER_WRITES_DELAY_MS = 40;
/** Time after which an entry goes whose server writes it no more, in ms: three heartbeats. */
const ENTRY_EXPIRY_MS = 3600;

/** Takes the store away and brings it back from a copy. */
export function restoreStore(
  world: World,
  fault: Extract<SceneFaultSpec, { kind: 'copyStore' }>,
): void {
  const lostFromMs = nowMs(world) - fault.ageS * 1000;
  world.store.setOutage(StoreOutage.refusing);
  recordDutyOutage(world, fault.awayS * 1000);
  later(world, fault.awayS * 1000, () => {
    world.store.setOutage(undefined);
    const lost = world.store.restoreTo(lostFromMs);
    for (const change of newestPerKey(lost))
      rewriteChange(world, change, fault.againWithinS * 1000);
    later(world, OTHER_WRITES_DELAY_MS, () => world.store.skipVersions(fault.otherWrites));
  });
}

/** The last change of each key that others than boxes wrote. */
function newestPerKey(lost: readonly StoreChange[]): StoreChange[] {
  const seen = new Set<string>();
  return lost.filter(({ writer, key }) => {
    if (writer === StoreWriter.box || seen.has(key)) return false;
    seen.add(key);
    return true;
  });
}

function rewriteChange(world: World, { writer, key, redo }: StoreChange, withinMs: number): void {
  const write = (): void => {
    if (writer === StoreWriter.operator)
      return redo === undefined ? putConfiguration(world) : redo();
    const server = world.servers.get(key);
    if (server !== undefined) world.store.putServer(server.entry);
  };
  if (withinMs === 0) write();
  else later(world, world.random.unit() * withinMs, write);
  if (writer !== StoreWriter.server) return;
  later(world, ENTRY_EXPIRY_MS, () => {
    if (!world.servers.has(key)) world.store.removeServer(key);
  });
}
