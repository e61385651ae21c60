/** A box of the gateway under virtual time: the real reducer, the real feeds, effects on the world. */
import {
  createSequentialHandler,
  isNewEra,
  createGatewayState,
  followPlatform,
  reduce,
  TICK_MS,
  type Clock,
  type EventBody,
  type GatewaySettings,
  type GatewayState,
  type PlatformFeeds,
  type PlatformStore,
} from 'reedlug-gateway';
import type { CallerAttempt } from '../callers/callerAttempt.js';
import { stopRun } from '../servers/batchEngine.js';
import { CONTACT_MS, later, nowMs, type World } from '../world.js';
import { performEffect } from './performEffect.js';

/** Wall clock of the world's start, in ms; any time will do. */
const WALL_START_MS = 1_700_000_000_000;
/** Port on which boxes hear each other. */
export const PEERS_PORT = 7000;

/** A send in progress. */
export interface VirtualSend {
  exchangeId: number;
  serverId: string;
  runId: number;
}

/** A box's process. */
export interface VirtualBox {
  id: string;
  settings: GatewaySettings;
  state: GatewayState;
  isAlive: boolean;
  /** Listens for callers. */
  isListening: boolean;
  /** How the process ended: a dead port answers, a box without power says nothing. */
  hasPower: boolean;
  incarnation: number;
  /** World time of the process's start. */
  startedAtMs: number;
  exchanges: Map<number, CallerAttempt>;
  sends: Map<number, VirtualSend>;
  nextExchangeId: number;
  /** Callers' balancer: checks in a row without a good answer, and whether callers come. */
  missedChecks: number;
  isIn: boolean;
  /** Time that the reducer has taken, in ms. */
  reducerMs: number;
  /** The store as the process has it; undefined until it listens. */
  store: PlatformStore | undefined;
  feeds: PlatformFeeds | undefined;
  emit: (body: EventBody) => void;
}

/** Where a box stands. */
export interface BoxPlace {
  id: string;
  host: string;
  zone: string;
  processorCores: number;
}

/** Starts a box's process; it listens after the time that the scene gives. */
export function startBox(world: World, place: BoxPlace, incarnation: number): VirtualBox {
  const settings = settingsOf(world, place);
  const startedAtMs = nowMs(world);
  const box: VirtualBox = {
    id: place.id,
    settings,
    state: createGatewayState({
      settings,
      incarnation,
      nowMs: 0,
      processAgeMs: world.scene.boxStartMs,
    }),
    isAlive: true,
    isListening: false,
    hasPower: true,
    incarnation,
    startedAtMs,
    exchanges: new Map(),
    sends: new Map(),
    nextExchangeId: 1,
    missedChecks: 0,
    isIn: false,
    reducerMs: 0,
    store: undefined,
    feeds: undefined,
    emit: () => undefined,
  };
  box.emit = createEmit(world, box);
  world.boxes.set(box.id, box);
  later(world, world.scene.boxStartMs, () => {
    if (box.isAlive) listen(world, box);
  });
  return box;
}

function listen(world: World, box: VirtualBox): void {
  const startedAtMs = nowMs(world);
  box.startedAtMs = startedAtMs;
  box.isListening = true;
  const clock: Clock = {
    nowMs: () => nowMs(world) - startedAtMs,
    pause: (ms) =>
      new Promise((resolve) =>
        later(world, ms, () => {
          if (!box.isAlive) return;
          world.hasSettled = true;
          resolve();
        }),
      ),
  };
  const store: PlatformStore = world.store.openFor(box.settings.box.zone, {
    isAlive: () => box.isAlive,
    onEra(era) {
      if (isNewEra(box.state, era)) box.emit({ type: 'storeEra', era });
    },
  });
  box.store = store;
  const logger = (): void => undefined;
  const { settings, state, emit } = box;
  box.feeds = followPlatform({ settings, store, state, clock, logger, emit });
  world.hasSettled = true;
  const tick = (): void => {
    if (!box.isAlive) return;
    emit({ type: 'tick' });
    later(world, TICK_MS, tick);
  };
  later(world, world.random.unit() * TICK_MS, tick);
}

/** Takes the events of a process that lives. */
function createEmit(world: World, box: VirtualBox): (body: EventBody) => void {
  const enqueue = createSequentialHandler((body) => {
    const sinceMs = nowMs(world) - box.startedAtMs;
    const wallMs = WALL_START_MS + nowMs(world);
    const begunAtMs = performance.now();
    const effects = reduce(box.state, { ...body, nowMs: sinceMs, wallClockMs: wallMs });
    box.reducerMs += performance.now() - begunAtMs;
    for (const effect of effects) performEffect(world, box, effect);
  });
  return (body) => {
    if (box.isAlive) enqueue(body);
  };
}

/** Ends a box's process at once; its callers and servers see it, unless it has lost power. */
export function killBox(world: World, box: VirtualBox, hasPower: boolean): void {
  if (!box.isAlive) return;
  box.isAlive = false;
  box.isListening = false;
  box.hasPower = hasPower;
  box.isIn = false;
  for (const attempt of box.exchanges.values()) attempt.onConnectionLost();
  box.exchanges.clear();
  for (const { serverId, runId } of box.sends.values()) {
    world.servers.get(serverId)?.openRuns.delete(runId);
    stopRunAt(world, serverId, runId);
  }
  box.sends.clear();
}

/** Whether a box has run, and heard the others, for long enough to know what they know. */
export function isInTouch(world: World, box: VirtualBox): boolean {
  const sinceMs = nowMs(world) - CONTACT_MS;
  return (
    box.startedAtMs <= sinceMs && world.cutZones.size === 0 && world.lastCutEndedAtMs <= sinceMs
  );
}

/** Stops a run at its server. */
export function stopRunAt(world: World, serverId: string, runId: number): void {
  const server = world.servers.get(serverId);
  if (server === undefined) return;
  server.openRuns.delete(runId);
  if (server.work.kind === 'engine') stopRun(server.work.engine, runId);
  else server.work.server.stop(runId);
}

function settingsOf(world: World, place: BoxPlace): GatewaySettings {
  const { id, host, zone, processorCores } = place;
  const { scene } = world;
  return {
    box: { id, ip: host, zone, processorCores },
    zones: scene.zones,
    listen: {
      callers: { host, port: 8221 },
      readiness: { host, port: 8224 },
      peersPort: PEERS_PORT,
      metricsPort: 8229,
    },
    seeds: [],
    store: { address: { host: '10.200.1.7', port: 8225 } },
    cloud: {
      address: { host: '10.200.0.35', port: 8225 },
      reportsUsage: true,
      ordersEngines: true,
    },
    bounds: scene.bounds,
  };
}
