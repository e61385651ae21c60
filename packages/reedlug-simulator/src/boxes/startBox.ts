/** Starts a gateway box in virtual time: it runs the real reducer and feeds, with effects on the simulated world. */
import {
  createAnswerHolds,
  createRegistryReader,
  createSequentialHandler,
  isNewEra,
  NO_SERVER_RETRY_MS,
  createGatewayState,
  DEFAULT_TUNNEL_SETTINGS,
  followPlatform,
  hasRequest,
  reduceStep,
  TICK_MS,
  type Clock,
  type EventBody,
  type GatewaySettings,
  type PlatformStore,
  type StepOutcome,
} from 'reedlug-gateway';
import { recordException } from '../report/boxRecord.js';
import { later, nowMs, type World } from '../world.js';
import { performEffect } from './performEffect.js';
import { isInjected, runThrowingStep } from './throwingStep.js';
import type { BoxSpec, VirtualBox } from './virtualBox.js';

/** Wall-clock time at the start of the world, in ms; the value is arbitrary. */
const WALL_CLOCK_START_MS = 1_700_000_000_000;
/** Port on which boxes receive messages from each other. */
const PEERS_PORT = 7000;

/** Starts a box's process; it listens after the scene's start time. */
export function startBox(world: World, spec: BoxSpec, incarnation: number): VirtualBox {
  const settings = settingsOf(world, spec);
  const startedAtMs = nowMs(world);
  const box: VirtualBox = {
    id: spec.id,
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
    isInRotation: false,
    reducerMs: 0,
    store: undefined,
    feeds: undefined,
    answerHolds: undefined,
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
          world.hasResolvedPromise = true;
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
  const registry = createRegistryReader({ store, state, clock, emit, onFault: throwFault });
  box.answerHolds = createAnswerHolds({ state, registry, clock, emit });
  box.feeds = followPlatform({ settings, store, state, clock, logger, emit });
  world.hasResolvedPromise = true;
  const tick = (): void => {
    if (!box.isAlive) return;
    emit({ type: 'tick' });
    later(world, TICK_MS, tick);
  };
  later(world, world.random.unit() * TICK_MS, tick);
}

function throwFault(error: unknown): never {
  throw error;
}

/** Returns a function that passes events to the reducer while the process is alive. */
function createEmit(world: World, box: VirtualBox): (body: EventBody) => void {
  const enqueue = createSequentialHandler((body) => {
    const sinceStartMs = nowMs(world) - box.startedAtMs;
    const wallClockNowMs = WALL_CLOCK_START_MS + nowMs(world);
    const reduceStartedAtMs = performance.now();
    const isThrowing = world.throwShare > 0 && world.random.chance(world.throwShare);
    const event = { ...body, nowMs: sinceStartMs, wallClockMs: wallClockNowMs };
    const handle = (): StepOutcome => reduceStep(box.state, event);
    const { effects, faults } = isThrowing ? runThrowingStep(world.random, handle) : handle();
    box.reducerMs += performance.now() - reduceStartedAtMs;
    for (const effect of effects) performEffect(world, box, effect);
    const unexpected = faults.find((fault) => !isInjected(fault));
    if (unexpected !== undefined) throw unexpected.error;
    if (faults.length === 0) return;
    recordException(world, body.type);
    answerUnhandled(box);
  });
  return (body) => {
    if (box.isAlive) enqueue(body);
  };
}

/** Answers the requests that an exception has left to nobody, as the daemon does. */
function answerUnhandled({ exchanges, state }: VirtualBox): void {
  for (const [exchangeId, attempt] of [...exchanges]) {
    if (hasRequest(state, exchangeId)) continue;
    exchanges.delete(exchangeId);
    attempt.onRefused(
      attempt.isSent
        ? { status: 502, reason: 'internalFault', retryAfterMs: undefined }
        : { status: 503, reason: 'internalFault', retryAfterMs: NO_SERVER_RETRY_MS },
    );
  }
}

function settingsOf(world: World, spec: BoxSpec): GatewaySettings {
  const { id, host, zone, processorCores } = spec;
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
    load: scene.load,
    tunnels: DEFAULT_TUNNEL_SETTINGS,
  };
}
