/** Changes the limits of workspaces during a scene. */
import { putConfiguration } from '../report/configurationRecord.js';
import { nowMs, type World } from '../world.js';

/** Writes a configuration whose limits are the scene's times the factor. */
export function changeLimits(world: World, factor: number): void {
  const { configuration, limitPeriods } = world;
  const workspaces = world.workspaces.map((workspace) => ({
    ...workspace,
    ratePerSecond: Math.round(workspace.ratePerSecond * factor),
    burst: Math.round(workspace.burst * factor),
  }));
  const version = configuration.version + 1;
  world.configuration = { ...configuration, version, workspaces };
  putConfiguration(world);
  limitPeriods.push({ fromMs: nowMs(world), factor });
}

/**
 * Returns the greatest limit that may be in force in a window that ends at a time, as a factor.
 * A lower limit binds only windows that start after all boxes must have applied it.
 */
export function factorInForce(world: World, atMs: number): number {
  const { limitWindowMs, configurationMs } = world.scene.bounds;
  const { limitPeriods } = world;
  let factor = 0;
  limitPeriods.forEach((period, index) => {
    const untilMs = limitPeriods[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY;
    const isPast = atMs > untilMs + configurationMs + limitWindowMs;
    if (period.fromMs <= atMs && !isPast) factor = Math.max(factor, period.factor);
  });
  return factor;
}
