/**
 * A small world for the reducers of several entry boxes: fakes at the
 * interfaces under virtual time. Delays are fixed; networks are not modelled.
 */
import {
  createBoxState,
  createInvariantMemory,
  reduceChecked,
  type BoxEvent,
  type BoxListEntry,
  type BoxState,
  type DecisionSettings,
  type Effect,
  type EventBody,
  type InvariantMemory,
  type Mutation,
  type OperatorAnswer,
  type ServerSpec,
} from 'reedlug-decisions';
import {
  createEngineModel,
  createEventQueue,
  createRandom,
  createTableModel,
  type EngineModel,
  type EngineModelOptions,
  type EventQueue,
  type Random,
  type TableModel,
} from 'reedlug-standins';

/** Delays of the fakes, one way, in ms. */
export const Delay = {
  sameZone: 0.2,
  platform: 3,
  notice: 200,
  connectionLoss: 5,
} as const;

/** An entry box with its reducer. */
export interface WorldBox {
  settings: DecisionSettings;
  state: BoxState;
  memory: InvariantMemory;
  alive: boolean;
  /** Events wait until this time while the process is paused. */
  pausedUntilMs: number;
}

/** An engine. */
export interface WorldEngine {
  kind: 'engine';
  spec: ServerSpec;
  incarnation: number;
  alive: boolean;
  leaving: boolean;
  stalledUntilMs: number;
  startedAtMs: number;
  endedAtMs: number | undefined;
  model: EngineModel;
  /** Boxes by the attempts that they have open here. */
  callers: Map<string, string>;
  tickets: Map<string, number>;
  pumpAtMs: number;
}

/** A plain service. */
export interface WorldService {
  kind: 'service';
  spec: ServerSpec;
  incarnation: number;
  alive: boolean;
  leaving: boolean;
  stalledUntilMs: number;
}

export type WorldServer = WorldEngine | WorldService;

/** Faults of the platform that are on now. */
export interface PlatformFaults {
  tableDownUntilMs: number;
  tableSlowUntilMs: number;
  /** Share of writes whose answer is lost after they took effect. */
  loseAnswers: number;
  refuseStartsUntilMs: number;
  listLagMs: number;
}

/** What the world tells its observer. */
export interface WorldObserver {
  onTokens: (boxId: string, requestId: string, offset: number, tokens: readonly string[]) => void;
  onFinish: (boxId: string, finish: Extract<Effect, { type: 'finishRequest' }>) => void;
  /** A request's bytes reached a server and it was taken. */
  onRun: (serverId: string, requestId: string, attemptId: string) => void;
  onPrefill: (affinityHash: number, cachedTokens: number, contextTokens: number) => void;
  onOrder: (serverId: string, fence: number, sentBy: string) => void;
  onOperator: (askId: string, answer: OperatorAnswer) => void;
}

/** What a world is made of. */
export interface WorldOptions {
  seed: number;
  /** Settings of the boxes, but for their id, zone and incarnation. */
  settings: Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'>;
  engineOptions: (spec: ServerSpec) => EngineModelOptions;
  serviceAnswerMs: number;
  crossZoneMs: number;
  tickMs: number;
  /** Time that a started engine takes until it serves. */
  engineStartMs: number;
  mutations: ReadonlySet<Mutation>;
  /** Late and doubled engine events, as a share. */
  doubledEvents: number;
}

/** The world. */
export interface World {
  options: WorldOptions;
  queue: EventQueue;
  random: Random;
  boxes: Map<string, WorldBox>;
  servers: Map<string, WorldServer>;
  gone: WorldServer[];
  table: TableModel;
  snapshot: unknown;
  faults: PlatformFaults;
  cutFromPlatform: Set<string>;
  /** Pairs of zones, as `a|b` in both orders. */
  cutZones: Set<string>;
  listHistory: { atMs: number; entries: readonly BoxListEntry[] }[];
  cloudFence: number;
  startTokens: Set<string>;
  observer: WorldObserver;
  carryOut: (world: World, box: WorldBox, effect: Effect) => void;
  eventCount: number;
  incarnations: number;
  /** Told of each event of each box before it is reduced. */
  onEvent: ((boxId: string, event: BoxEvent) => void) | undefined;
  epochStartMs: number;
}

const SILENT: WorldObserver = {
  onTokens: () => undefined,
  onFinish: () => undefined,
  onRun: () => undefined,
  onPrefill: () => undefined,
  onOrder: () => undefined,
  onOperator: () => undefined,
};

/** Epoch time at the start of every world. */
export const WORLD_EPOCH_MS = Date.UTC(2026, 11, 1, 8);

/** What an engine of a world is like, but for what its description says. */
export type EngineFigures = Omit<
  EngineModelOptions,
  'engineId' | 'model' | 'version' | 'slots' | 'tokensPerEvent'
>;

/** The options of an engine's model from its description. */
export function engineOptionsOf(
  { id, pool, version, slots }: ServerSpec,
  figures: EngineFigures,
  tokensPerEvent: number,
): EngineModelOptions {
  return { ...figures, engineId: id, model: pool, version, slots, tokensPerEvent };
}

/** Makes a world with every box and server of the settings up. */
export function createWorld(options: WorldOptions, carryOut: World['carryOut']): World {
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
    observer: { ...SILENT },
    carryOut,
    eventCount: 0,
    incarnations: 0,
    onEvent: undefined,
    epochStartMs: WORLD_EPOCH_MS,
  };
  for (const spec of options.settings.servers) addServer(world, spec);
  for (const { id } of options.settings.boxes) startBox(world, id);
  return world;
}

function nextIncarnation(world: World): number {
  world.incarnations += 1;
  return world.incarnations;
}

/** Seed of the generator in the state of one life of a box. */
export function stateSeedOf(world: World, incarnation: number): number {
  return world.options.seed * 1000 + incarnation;
}

/** Starts a box, or starts it again as a fresh process that holds nothing. */
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
  // Boxes tick at different moments, as real ones do.
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

const LIST_EVERY_MS = 1000;

function scheduleBoxList(world: World, box: WorldBox, atMs: number): void {
  world.queue.at(atMs, () => {
    if (!box.alive) return;
    if (platformReachable(world, box))
      emit(world, box, { type: 'boxListRead', entries: laggingList(world) });
    scheduleBoxList(world, box, world.queue.nowMs() + LIST_EVERY_MS);
  });
}

function laggingList(world: World): readonly BoxListEntry[] {
  const asOfMs = world.queue.nowMs() - world.faults.listLagMs;
  const { listHistory } = world;
  return (listHistory.findLast(({ atMs }) => atMs <= asOfMs) ?? listHistory[0])?.entries ?? [];
}

/** Notes the servers as they are for the lagging list. */
export function noteList(world: World): void {
  const entries = [...world.servers.values()].map(({ spec, incarnation, leaving }) => ({
    spec,
    incarnation,
    leaving,
  }));
  world.listHistory.push({ atMs: world.queue.nowMs(), entries });
  const KEPT = 50;
  if (world.listHistory.length > KEPT) world.listHistory.shift();
}

/** Adds a server that is up. */
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
      : { kind: 'engine', ...base, ...engineParts(world, spec, base.incarnation) };
  world.servers.set(spec.id, server);
  noteList(world);
  return server;
}

function engineParts(world: World, spec: ServerSpec, incarnation: number) {
  const model = createEngineModel(world.options.engineOptions(spec), incarnation);
  model.onPrefill = (affinityHash, cachedTokens, contextTokens) =>
    world.observer.onPrefill(affinityHash, cachedTokens, contextTokens);
  return {
    model,
    startedAtMs: world.queue.nowMs(),
    endedAtMs: undefined,
    callers: new Map<string, string>(),
    tickets: new Map<string, number>(),
    pumpAtMs: Number.POSITIVE_INFINITY,
  };
}

/** Gives an event to a box, now or when its pause ends. */
export function emit(world: World, box: WorldBox, body: EventBody): void {
  if (!box.alive) return;
  const nowMs = world.queue.nowMs();
  if (box.pausedUntilMs > nowMs) {
    world.queue.at(box.pausedUntilMs, () => emit(world, box, body));
    return;
  }
  const event: BoxEvent = { ...body, nowMs };
  if (body.type !== 'tick') world.eventCount += 1;
  world.onEvent?.(box.settings.boxId, event);
  for (const effect of reduceChecked(box.memory, box.state, event)) {
    world.carryOut(world, box, effect);
  }
}

/** Gives an event to a box after a delay; lost when the box has died or started again since. */
export function emitLater(world: World, box: WorldBox, delayMs: number, body: EventBody): void {
  world.queue.at(world.queue.nowMs() + delayMs, () => emit(world, box, body));
}

/** True when a box reaches the platform. */
export function platformReachable(world: World, box: WorldBox): boolean {
  return !world.cutFromPlatform.has(box.settings.zone);
}

/** True when two zones are cut off from each other. */
export function zonesAreCut(world: World, a: string, b: string): boolean {
  return world.cutZones.has(`${a}|${b}`);
}

/** True when a server gives a box no answer: dead, stalled or cut off. */
export function isSilent(world: World, box: WorldBox, server: WorldServer): boolean {
  if (!server.alive || world.queue.nowMs() < server.stalledUntilMs) return true;
  return zonesAreCut(world, box.settings.zone, server.spec.zone);
}

/** One-way delay between two zones. */
export function delayBetween(world: World, a: string, b: string): number {
  return a === b ? Delay.sameZone : world.options.crossZoneMs;
}

/** Runs until a time. */
export function runUntil(world: World, untilMs: number): void {
  while (world.queue.runNext(untilMs));
}
