/** Whether each box has a configuration in time. */
import { isSynchronized } from '../boxes/virtualBox.js';
import { later, nowMs, type World } from '../world.js';

/** Time from a write until boxes in touch have what was written, in ms: the users' figure. */
const IN_FORCE_DEADLINE_MS = 2000;

/** Puts the newest configuration in the store, and looks later whether boxes have it. */
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
