/** The state that the parts of a simulated fleet share: time, randomness, network, boxes, servers and store. */
import type { Configuration, WorkspaceSpec } from 'reedlug-gateway';
import type { EventQueue, Random } from 'reedlug-standins';
import type { Scene } from './scene/scene.js';
import type { SceneRecord } from './report/sceneRecord.js';
import type { VirtualBox } from './boxes/virtualBox.js';
import type { BrittlePeriod } from './faults/brittlePeriod.js';
import type { LimitPeriod } from './faults/limitPeriod.js';
import type { RolloutState } from './faults/rolloutState.js';
import type { VirtualServer } from './servers/virtualServer.js';
import type { VirtualStore } from './store/virtualStore.js';

/**
 * Time after a change, or after the end of a fault, within which all boxes must know of it, in ms,
 * as guaranteed to the users.
 */
export const PROPAGATION_MS = 3000;

/** The state of a simulated fleet. */
export interface World {
  scene: Scene;
  random: Random;
  queue: EventQueue;
  boxes: Map<string, VirtualBox>;
  servers: Map<string, VirtualServer>;
  store: VirtualStore;
  record: SceneRecord;
  /** Zones that are partitioned from all others and from the store now. */
  cutZones: Set<string>;
  /** World time at which the last network partition ended. */
  lastPartitionEndedAtMs: number;
  /** Network partitions so far; `toMs` is undefined while one lasts. */
  partitions: { fromMs: number; toMs: number | undefined }[];
  /** Times in which the servers of a service are brittle. */
  brittlePeriods: BrittlePeriod[];
  /** Share of requests that engines fail at the moment. */
  failShare: number;
  /** Share of events that throw at a random place of the reducer. */
  throwShare: number;
  /** Time until which the store is away, or boxes may not have heard of it again. */
  storeUnstableUntilMs: number;
  /** Probability with which a caller loses its connection after an event of a stream. */
  breakShare: number;
  /** Roll-outs ordered so far. */
  rollouts: RolloutState[];
  /** World time until which no reclaimable engines can be ordered. */
  outOfCapacityUntilMs: number;
  workspaces: readonly WorkspaceSpec[];
  /** The newest configuration, and the successive periods of limits. */
  configuration: Configuration;
  limitPeriods: LimitPeriod[];
  /** Boxes by the host of their address. */
  boxIdByHost: Map<string, string>;
  /** Numbers of ordered engines that are still booting, by service, zone and kind. */
  booting: Map<string, { booting: number }>;
  /** Last numbers assigned to servers, engines, runs, requests and software versions. */
  numbers: { servers: number; engines: number; runs: number; requests: number; versions: number };
  /** Set when a Promise was resolved: its continuations run before the next event. */
  hasResolvedPromise: boolean;
}

/** Returns the world's time, in ms since the start of the boxes. */
export function nowMs(world: World): number {
  return world.queue.nowMs();
}

/** Runs an action after a time. */
export function later(world: World, ms: number, run: () => void): void {
  world.queue.at(world.queue.nowMs() + ms, run);
}

/** Returns the next number of a kind. */
export function nextNumber(world: World, kind: keyof World['numbers']): number {
  world.numbers[kind] += 1;
  return world.numbers[kind];
}

/** Returns the box at a host. */
export function boxAt(world: World, host: string): VirtualBox | undefined {
  return world.boxes.get(world.boxIdByHost.get(host) ?? '');
}

/** Whether a network partition separates two zones now. */
export function arePartitioned(world: World, zone: string, otherZone: string): boolean {
  if (zone === otherZone) return false;
  return world.cutZones.has(zone) || world.cutZones.has(otherZone);
}

/** Returns the latency between two zones, in ms. */
export function latencyMs(world: World, zone: string, otherZone: string): number {
  const { sameZoneMs, otherZoneMs } = world.scene.network;
  return zone === otherZone ? sameZoneMs : otherZoneMs;
}

/** Whether a box has run without network partitions for long enough to know what the other boxes know. */
export function isSynchronized(world: World, box: VirtualBox): boolean {
  const sinceMs = nowMs(world) - PROPAGATION_MS;
  return (
    box.startedAtMs <= sinceMs &&
    world.cutZones.size === 0 &&
    world.lastPartitionEndedAtMs <= sinceMs
  );
}
