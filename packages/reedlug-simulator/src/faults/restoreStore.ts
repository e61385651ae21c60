/** Takes the store down and restores it from a backup: later writes are lost, their versions are assigned again. */
import type { SceneFaultSpec } from '../scene/scene.js';
import { StoreWriter, type StoreChange } from '../store/storeHistory.js';
import { StoreOutage } from '../store/virtualStore.js';
import { later, nowMs, type World } from '../world.js';
import { putConfiguration } from '../report/configurationRecord.js';
import { recordDutyOutage } from '../report/dutyChecks.js';

/** Time from the restore until other writers have written, in ms; shorter than a box's delay after a failed call. */
const OTHER_WRITES_DELAY_MS = 40;
/** Time after which an entry expires that its server no longer writes, in ms: three heartbeats. */
const ENTRY_EXPIRY_MS = 3600;

/** Starts an outage that ends with a restore from a backup. */
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

/** Returns the last change of each key that the operators or servers wrote. */
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
