/**
 * A world runs the reducers of several entry boxes against fakes of all other
 * systems under virtual time. Delays are fixed; networks are not modelled.
 */
import {
  createBoxState,
  createInvariantMemory,
  type DecisionSettings,
  type ServerSpec,
} from 'reedlug-decisions';
import {
  createEngineModel,
  createEventQueue,
  createRandom,
  createTableModel,
} from 'reedlug-standins';
import { recordServerList, scheduleBoxList } from './boxList.js';
import { emit } from './emit.js';
import { Delay, platformReachable } from './links.js';
import type { World, WorldBox, WorldObserver, WorldOptions, WorldServer } from './worldTypes.js';

const NO_OP_OBSERVER: WorldObserver = {
  onTokens: () => undefined,
  onFinish: () => undefined,
  onRun: () => undefined,
  onPrefill: () => undefined,
  onOrder: () => undefined,
  onOperator: () => undefined,
};

/** Epoch time at the start of every world. */
export const WORLD_EPOCH_MS = Date.UTC(2026, 11, 1, 8);

/** Creates a world in which every box and server of the settings is running. */
export function createWorld(options: WorldOptions, performEffect: World['performEffect']): World {
  const world: World = {
    options,
    queue: createEventQueue(),
    random: createRandom(options.seed),
    boxes: new Map(),
    servers: new Map(),
    gone: [],
    table: createTableModel(),
    snapshot: undefined,
    faults: {
      tableDownUntilMs: 0,
      tableSlowUntilMs: 0,
      loseAnswers: 0,
      refuseStartsUntilMs: 0,
      listLagMs: 1000,
    },
    cutFromPlatform: new Set(),
    cutZones: new Set(),
    listHistory: [],
    cloudFence: 0,
    startTokens: new Set(),
    observer: { ...NO_OP_OBSERVER },
    performEffect,
    eventCount: 0,
    incarnationCount: 0,
    onEvent: undefined,
    epochStartMs: WORLD_EPOCH_MS,
  };
  for (const spec of options.settings.servers) addServer(world, spec);
  for (const { id } of options.settings.boxes) startBox(world, id);
  return world;
}

function nextIncarnation(world: World): number {
  world.incarnationCount += 1;
  return world.incarnationCount;
}

/** Returns the seed of the random generator in the state of one incarnation of a box. */
export function stateSeedOf(world: World, incarnation: number): number {
  return world.options.seed * 1000 + incarnation;
}

/** Starts a box, or restarts it as a new process without any state. */
export function startBox(world: World, boxId: string): void {
  const { options, queue } = world;
  const zone = options.settings.boxes.find(({ id }) => id === boxId)?.zone ?? '';
  const incarnation = nextIncarnation(world);
  const settings: DecisionSettings = { ...options.settings, boxId, zone, incarnation };
  const state = createBoxState({
    settings,
    seed: stateSeedOf(world, incarnation),
    nowMs: queue.nowMs(),
    mutations: options.mutations,
  });
  const memory = createInvariantMemory();
  const box: WorldBox = { settings, state, memory, alive: true, pausedUntilMs: 0 };
  world.boxes.set(boxId, box);
  // The boxes tick at different times, as real boxes do.
  scheduleTick(world, box, queue.nowMs() + (incarnation % 10) * (options.tickMs / 10));
  scheduleBoxList(world, box, queue.nowMs() + 10);
  queue.at(queue.nowMs() + Delay.platform, () => {
    const snapshot = platformReachable(world, box) ? (world.snapshot as never) : undefined;
    emit(world, box, { type: 'snapshotRead', snapshot });
  });
}

function scheduleTick(world: World, box: WorldBox, atMs: number): void {
  world.queue.at(atMs, () => {
    if (!box.alive) return;
    const epochMs = world.epochStartMs + world.queue.nowMs();
    emit(world, box, { type: 'tick', epochMs });
    scheduleTick(
      world,
      box,
      Math.max(world.queue.nowMs(), box.pausedUntilMs) + world.options.tickMs,
    );
  });
}

/** Adds a running server. */
export function addServer(world: World, spec: ServerSpec): WorldServer {
  const base = {
    spec,
    incarnation: nextIncarnation(world),
    alive: true,
    leaving: false,
    stalledUntilMs: 0,
  };
  const server: WorldServer =
    spec.kind === 'service'
      ? { kind: 'service', ...base }
      : { kind: 'engine', ...base, ...createEngineFields(world, spec, base.incarnation) };
  world.servers.set(spec.id, server);
  recordServerList(world);
  return server;
}

function createEngineFields(world: World, spec: ServerSpec, incarnation: number) {
  const model = createEngineModel(world.options.engineOptions(spec), incarnation);
  model.onPrefill = (affinityHash, cachedTokens, contextTokens) =>
    world.observer.onPrefill(affinityHash, cachedTokens, contextTokens);
  return {
    model,
    startedAtMs: world.queue.nowMs(),
    endedAtMs: undefined,
    callers: new Map<string, string>(),
    tickets: new Map<string, number>(),
    iterationAtMs: Number.POSITIVE_INFINITY,
  };
}

/** Runs all events up to a time. */
export function runUntil(world: World, untilMs: number): void {
  while (world.queue.runNext(untilMs));
}
