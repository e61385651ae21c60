/** Types of a world of boxes and fakes. */
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

/** An entry box with the state of its reducer. */
export interface WorldBox {
  settings: DecisionSettings;
  state: BoxState;
  memory: InvariantMemory;
  alive: boolean;
  /** Events wait until this time while the process is paused. */
  pausedUntilMs: number;
}

/** A fake engine. */
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
  /** Ids of the boxes that have attempts open at this engine, by attempt id. */
  callers: Map<string, string>;
  tickets: Map<string, number>;
  iterationAtMs: number;
}

/** A fake plain service. */
export interface WorldService {
  kind: 'service';
  spec: ServerSpec;
  incarnation: number;
  alive: boolean;
  leaving: boolean;
  stalledUntilMs: number;
}

export type WorldServer = WorldEngine | WorldService;

/** Active faults of the platform. */
export interface PlatformFaults {
  tableDownUntilMs: number;
  tableSlowUntilMs: number;
  /** Share of writes that take effect but whose answer is lost. */
  loseAnswers: number;
  refuseStartsUntilMs: number;
  listLagMs: number;
}

/** Callbacks for those who check or measure a world. */
export interface WorldObserver {
  onTokens: (boxId: string, requestId: string, offset: number, tokens: readonly string[]) => void;
  onFinish: (boxId: string, finish: Extract<Effect, { type: 'finishRequest' }>) => void;
  /** Called when a request reaches a server and the server accepts it. */
  onRun: (serverId: string, requestId: string, attemptId: string) => void;
  onPrefill: (affinityHash: number, cachedTokens: number, contextTokens: number) => void;
  onOrder: (serverId: string, fence: number, sentBy: string) => void;
  onOperator: (askId: string, answer: OperatorAnswer) => void;
}

/** Options of a world. */
export interface WorldOptions {
  seed: number;
  /** Settings that all boxes share. */
  settings: Omit<DecisionSettings, 'boxId' | 'zone' | 'incarnation'>;
  engineOptions: (spec: ServerSpec) => EngineModelOptions;
  serviceAnswerMs: number;
  crossZoneMs: number;
  tickMs: number;
  /** Time from the start of an engine until it serves requests. */
  engineStartMs: number;
  mutations: ReadonlySet<Mutation>;
  /** Share of the engines' token events that are delivered twice, the second time late. */
  duplicateEventShare: number;
}

/** Boxes, fakes and active faults of a simulated deployment. */
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
  /** Partitioned pairs of zones, as `a|b` in both orders. */
  cutZones: Set<string>;
  listHistory: { atMs: number; entries: readonly BoxListEntry[] }[];
  cloudFence: number;
  startTokens: Set<string>;
  observer: WorldObserver;
  performEffect: (world: World, box: WorldBox, effect: Effect) => void;
  eventCount: number;
  incarnationCount: number;
  /** Called with each event of each box before it is reduced. */
  onEvent: ((boxId: string, event: BoxEvent) => void) | undefined;
  epochStartMs: number;
}
