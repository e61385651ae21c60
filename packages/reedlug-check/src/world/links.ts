/** Connectivity and network delays in a world. */
import type { World, WorldBox, WorldServer } from './worldTypes.js';

/** One-way delays of the fakes, in ms. */
export const Delay = {
  sameZone: 0.2,
  platform: 3,
  notice: 200,
  connectionLoss: 5,
} as const;

/** Returns true if a box can reach the platform. */
export function platformReachable(world: World, box: WorldBox): boolean {
  return !world.cutFromPlatform.has(box.settings.zone);
}

/** Returns true if two zones are separated by a network partition. */
export function arePartitioned(world: World, a: string, b: string): boolean {
  return world.cutZones.has(`${a}|${b}`);
}

/** Returns true if a server does not answer a box because it is dead, stalled or partitioned. */
export function isUnresponsive(world: World, box: WorldBox, server: WorldServer): boolean {
  if (!server.alive || world.queue.nowMs() < server.stalledUntilMs) return true;
  return arePartitioned(world, box.settings.zone, server.spec.zone);
}

/** Returns the one-way delay between two zones, in ms. */
export function delayBetween(world: World, a: string, b: string): number {
  return a === b ? Delay.sameZone : world.options.crossZoneMs;
}
