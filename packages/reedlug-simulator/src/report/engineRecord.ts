/** Records the cost and the work of engines. */
import type { BatchEngine } from '../servers/batchEngine.js';
import type { World } from '../world.js';

/** Records the time for which an engine was running or booting. */
export function recordEngineTime(
  world: World,
  engine: { service: string; zone: string; reclaimable: boolean },
  ms: number,
): void {
  const { zones, zonePrices, services } = world.scene;
  const { engineSeconds } = world.record;
  const seconds = ms / 1000;
  const spec = services.find(({ name }) => name === engine.service);
  const priceShare = spec?.kind === 'engines' ? (spec.reclaimablePriceShare ?? 1) : 1;
  const zonePrice = zonePrices[zones.indexOf(engine.zone) % zonePrices.length] ?? 1;
  engineSeconds[engine.reclaimable ? 'reclaimable' : 'onDemand'] += seconds;
  engineSeconds.priced += seconds * zonePrice * (engine.reclaimable ? priceShare : 1);
}

/** Records the prompt tokens that an engine has processed. */
export function recordPrefill(world: World, engine: BatchEngine): void {
  world.record.readTokens += engine.readTokens;
  world.record.readSharedTokens += engine.readSharedTokens;
}
