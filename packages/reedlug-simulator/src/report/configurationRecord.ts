/** Checks that each box applies a new configuration in time. */
import { isSynchronized, later, nowMs, type World } from '../world.js';

/** Time from a write until all synchronized boxes have it in force, in ms, as guaranteed to the users. */
const IN_FORCE_DEADLINE_MS = 2000;

/** Writes the newest configuration to the store, and checks later whether boxes have it. */
export function putConfiguration(world: World): void {
  const { store, configuration } = world;
  const writtenAtMs = nowMs(world);
  store.putConfiguration(configuration);
  later(world, IN_FORCE_DEADLINE_MS, () => {
    if (store.lastOutageChangeAtMs >= writtenAtMs || store.outage !== undefined) return;
    for (const box of world.boxes.values()) {
      if (!box.isListening || !isSynchronized(world, box)) continue;
      const version = box.state.active?.configuration.version ?? 0;
      if (version >= configuration.version) continue;
      const detail = `${box.id} has version ${version} of ${configuration.version}`;
      world.record.broken.push({ promise: 'configurationInForce', detail });
    }
  });
}
