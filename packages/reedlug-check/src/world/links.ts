/** Who reaches whom in a world, and how long it takes. */
import type { World, WorldBox, WorldServer } from './worldTypes.js';

/** Delays of the fakes, one way, in ms. */
export const Delay = {
  sameZone: 0.2,
  platform: 3,
  notice: 200,
  connectionLoss: 5,
} as const;

/** True when a box reaches the platform. */
export function platformReachable(world: World, box: WorldBox): boolean {
  return !world.cutFromPlatform.has(box.settings.zone);
}

/** True when two zones are cut off from each other. */
export function arePartitioned(world: World, a: string, b: string): boolean {
  return world.cutZones.has(`${a}|${b}`);
}

/** True when a server gives a box no answer: dead, stalled or cut off. */
export function isUnresponsive(world: World, box: WorldBox, server: WorldServer): boolean {
  if (!server.alive || world.queue.nowMs() < server.stalledUntilMs) return true;
  return arePartitioned(world, box.settings.zone, server.spec.zone);
}

/** One-way delay between two zones. */
export function delayBetween(world: World, a: string, b: string): number {
  return a === b ? Delay.sameZone : world.options.crossZoneMs;
}
