/** What the parts of a simulated fleet share: time, draws, the network, and what is there. */
import type { Configuration, WorkspaceSpec } from 'reedlug-gateway';
import type { EventQueue, Random } from 'reedlug-standins';
import type { Scene } from './scene/scene.js';
import type { SceneRecord } from './report/sceneRecord.js';
import type { VirtualBox } from './boxes/virtualBox.js';
import type { LimitPeriod } from './faults/changeLimits.js';
import type { RolloutState } from './faults/rollouts.js';
import type { VirtualServer } from './servers/virtualServers.js';
import type { VirtualStore } from './store/virtualStore.js';

/** Time after a change, or a trouble, in which news of it are on their way to all boxes, in ms: the users' figure. */
export const PROPAGATION_MS = 3000;

/** A fleet in progress. */
export interface World {
  scene: Scene;
  random: Random;
  queue: EventQueue;
  boxes: Map<string, VirtualBox>;
  servers: Map<string, VirtualServer>;
  store: VirtualStore;
  record: SceneRecord;
  /** Zones that are cut off from all others and from the store now. */
  cutZones: Set<string>;
  /** When a cut last ended. */
  lastPartitionEndedAtMs: number;
  /** Cuts so far; one without an end goes on. */
  partitions: { fromMs: number; toMs: number | undefined }[];
  /** Share of requests that engines fail now. */
  failShare: number;
  /** Roll-outs ordered so far. */
  rollouts: RolloutState[];
  /** Until when no reclaimable engines are to be had. */
  outOfCapacityUntilMs: number;
  workspaces: readonly WorkspaceSpec[];
  /** The newest configuration, and the limits in force one after another. */
  configuration: Configuration;
  limitPeriods: LimitPeriod[];
  /** Boxes by the host of their address. */
  boxIdByHost: Map<string, string>;
  /** Engines that were ordered and have not come yet, by service, zone and kind. */
  booting: Map<string, { booting: number }>;
  /** Last numbers given to what is made. */
  numbers: { servers: number; runs: number; requests: number };
  /** Set when a promise was settled: its followers run before the next event. */
  hasResolvedPromise: boolean;
}

/** Time of the world, in ms from the start of the boxes. */
export function nowMs(world: World): number {
  return world.queue.nowMs();
}

/** Runs an action after a time. */
export function later(world: World, ms: number, run: () => void): void {
  world.queue.at(world.queue.nowMs() + ms, run);
}

/** The next number of a kind. */
export function nextNumber(world: World, kind: keyof World['numbers']): number {
  world.numbers[kind] += 1;
  return world.numbers[kind];
}

/** The box at an address. */
export function boxAt(world: World, host: string): VirtualBox | undefined {
  return world.boxes.get(world.boxIdByHost.get(host) ?? '');
}

/** Whether nothing passes between two zones now. */
export function arePartitioned(world: World, zone: string, otherZone: string): boolean {
  if (zone === otherZone) return false;
  return world.cutZones.has(zone) || world.cutZones.has(otherZone);
}

/** The way between two zones, in ms. */
export function latencyMs(world: World, zone: string, otherZone: string): number {
  const { sameZoneMs, otherZoneMs } = world.scene.network;
  return zone === otherZone ? sameZoneMs : otherZoneMs;
}
