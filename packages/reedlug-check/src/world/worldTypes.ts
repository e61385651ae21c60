/** What a world of boxes and fakes holds. */
import type {
  BoxEvent,
  BoxListEntry,
  BoxState,
  DecisionSettings,
  Effect,
  InvariantMemory,
  Mutation,
  OperatorAnswer,
  ServerSpec,
} from 'reedlug-decisions';
import type {
  EngineModel,
  EngineModelOptions,
  EventQueue,
  Random,
  TableModel,
} from 'reedlug-standins';

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
  iterationAtMs: number;
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
  duplicateEventShare: number;
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
  performEffect: (world: World, box: WorldBox, effect: Effect) => void;
  eventCount: number;
  incarnationCount: number;
  /** Told of each event of each box before it is reduced. */
  onEvent: ((boxId: string, event: BoxEvent) => void) | undefined;
  epochStartMs: number;
}
