/** State of a gateway box; slices change their part of it in place. */
import { createLease, type LeaseState, type RetryBudget, type TableOp } from 'reedlug-coordination';
import type { EngineModel, OwnSends } from './policy/engineModel.js';
import type { CrashRowState, CrashSuspect, LostServer, ServerCrash } from './types/crashSuspect.js';
import type { Effect, LogField } from './types/effect.js';
import type { TablePurpose } from './types/event.js';
import { createFleetPart, type FleetPart } from './types/fleetPart.js';
import type { NumberedChange } from './types/peer.js';
import type { AwaitingRequest, RequestRecord, WaitingSend } from './types/request.js';
import type { RolloutView } from './types/rollout.js';
import type { LifeStatements, ReachedFleet } from './types/serverStatement.js';
import type { ServerEntry } from './types/server.js';
import type { GatewaySettings } from './types/settings.js';
import type {
  ActiveConfiguration,
  EngineOrder,
  HeardTotals,
  HeldFigure,
  HeldNeed,
  LentUnits,
  LoadAverage,
  PeerView,
  QuotaView,
  ServerView,
  UsageWindow,
} from './types/views.js';

/** One step of the reducer: its time, and the effects so far. */
export interface Step {
  nowMs: number;
  wallMs: number;
  effects: Effect[];
}

/** Everything a box knows. */
export interface GatewayState {
  settings: GatewaySettings;
  incarnation: number;
  startedAtMs: number;
  /** When its process began, before which an earlier life of the box had ended. */
  processBeganAtMs: number;
  nextAttemptId: number;
  nextCallId: number;
  active: ActiveConfiguration | undefined;
  servers: Map<string, ServerView>;
  /** Lives of servers seen so far. */
  serverLives: number;
  /** Latest lives of servers that are gone, for news of earlier ones. */
  goneServers: Map<string, { bornAtMs: number | undefined; goneAtMs: number }>;
  /** Entries of such lives that came back with a copy of the store: they count once they stay. */
  doubtedServers: Map<string, { entry: ServerEntry; untilMs: number }>;
  /** Servers with lost sends by life, until it is known whether they crashed. */
  lostServers: Map<number, LostServer>;
  /** Requests under which servers crashed, by key. */
  crashSuspects: Map<string, CrashSuspect>;
  /** Crashes of the last time, whichever requests were there. */
  recentCrashes: ServerCrash[];
  /** Keys of those that the next tick tells of. */
  crashNewsDue: Set<string>;
  crashNewsAllAtMs: number;
  suspectsForgottenAtMs: number;
  crashRow: CrashRowState;
  /** What servers have said in answers, by id: of the latest life that said something. */
  statements: Map<string, LifeStatements>;
  /** The fleet as this box last looked at it for the limits of servers; undefined before. */
  reachedFleet: ReachedFleet | undefined;
  /** Until when callers were told to come back to servers that take too few, by service and urgency. */
  returnTimes: Map<string, Map<number, number>>;
  /** Boxes to be told of all such statements: they began a life, or were silent. */
  newcomers: Set<string>;
  serversRevision: number;
  serversKnown: boolean;
  /** Changes of the registry of the last moments, for the members of this box as a hub. */
  registryChanges: { atMs: number; change: NumberedChange }[];
  registryNumber: number;
  storeReachable: boolean;
  /** The latest era of the store that this box knows; undefined before the store's first answer. */
  storeEra: number | undefined;
  /** When the store last came back from a copy, as far as this box knows. */
  storeCopyAtMs: number;
  /** When this box first knew of that era, and since when it was by what a holder wrote in it, by the agreed clock. */
  eraKnown: { sinceMs: number; toldSinceWallMs: number };
  /** When the store last stopped answering this box, and when it answered again after it was away for all. */
  storeLostAtMs: number;
  storeReturnedAtMs: number;
  /** When the store last answered this box; undefined before. */
  storeContactAtMs: number | undefined;
  /** When the store last answered a peer, as far as peers told. */
  storeSeenByPeerAtMs: number;
  requests: Map<number, RequestRecord>;
  /** Requests that came before configuration and servers were known. */
  awaitingStart: AwaitingRequest[];
  quotas: Map<string, QuotaView>;
  /** This box's part of all limits. */
  part: FleetPart;
  /** Units asked of other boxes and still awaited: when, and for which workspace. */
  unitAsks: Map<number, { sentAtMs: number; workspace: string }>;
  nextAskId: number;
  /** Units that this box lent lately, by who asked for them. */
  lentUnits: Map<string, LentUnits>;
  /** Requests that wait for those units, the first to come first. */
  waitingForUnits: WaitingSend[];
  retryBudgets: Map<string, RetryBudget>;
  peers: Map<string, PeerView>;
  /** The peer that sums up the news of all others for this box; undefined when it needs none. */
  hubId: string | undefined;
  /** When that peer became the hub of this box. */
  hubSinceMs: number;
  /** What other boxes told for themselves, and what hubs told for others. */
  heardFromBoxes: HeardTotals;
  heardFromHubs: HeardTotals;
  /** Zones of which no box is heard. */
  silentZones: ReadonlySet<string>;
  usageToldAtMs: number;
  peerSequence: number;
  newsSentAtMs: number;
  lease: LeaseState;
  /** Wall clock less store clock, agreed by all boxes in a row of the store. */
  agreedClockOffsetMs: number | undefined;
  clockAskedAtMs: number;
  /** True while the row may be missing that says what was agreed. */
  clockRowIsLost: boolean;
  /** How far the time of day was ahead of the steady clock at the last event. */
  wallAheadMs: number | undefined;
  /** When this box last came out of a suspension, as far as it knows. */
  suspendedAtMs: number;
  /** Monotonic time of this box at the store's time 0. */
  storeEpochMs: number | undefined;
  usage: Map<number, UsageWindow>;
  /** True when counts have changed since the last checkpoint. */
  usageChanged: boolean;
  checkpointAtMs: number;
  /** Version of the checkpoint's row as last seen; 0 before. */
  checkpointVersion: number;
  /** The fence under which this box last knew the checkpoint. */
  checkpointFence: number | undefined;
  /** By service, the roll-out ordered last. */
  rollouts: Map<string, RolloutView>;
  rolloutsJudgedAtMs: number;
  orders: Map<string, EngineOrder>;
  planAtMs: number;
  /** Prompt tokens that this box has sent to be read, since its start; those that a server keeps do not count. */
  workTokens: number;
  /** The same of all boxes at the last plan. */
  workTokensSeen: number;
  /** Prompt tokens a second over all boxes, averaged over seconds and over a longer time. */
  tokensPerSecond: LoadAverage;
  /** What this box's own sends have shown, by service. */
  ownSends: Map<string, OwnSends>;
  /** Figures fitted last from own sends and those of peers, by service. */
  engineModels: Map<string, { model: EngineModel; fittedAtMs: number }>;
  /** Requests in progress over all boxes by service, averaged over the same times. */
  openRequests: Map<string, LoadAverage>;
  /** When this box first saw any load, its own or another's; undefined before. */
  loadSinceMs: number | undefined;
  /** On-demand engines that were there while the registry filled and nobody asked, by service. */
  firstOnDemand: Map<string, Set<string>>;
  heldNeeds: Map<string, HeldNeed>;
  /** By service and zone, until when no further reclaimable engines are to be had. */
  dryUntilMs: Map<string, number>;
  /** By service, until when more of its engines are expected to be taken back. */
  reclaimsUntilMs: Map<string, number>;
  /** By service and zone, reclaimable engines that took work at the last plan. */
  readyReclaimable: Map<string, number>;
  stoppingSinceMs: number | undefined;
  stopped: boolean;
}

/** How often the holder renews the duty lease, as a share of its validity: two tries before it lapses. */
const LEASE_RENEWAL_SHARE = 0.4;
/** Taken off the holder's view of the lease, as a share: covers clock drift and short pauses. */
const LEASE_MARGIN_SHARE = 0.1;
/** Key of the duty lease in the table. */
export const LEASE_KEY = 'duty-lease';

/** Returns the state of a box that has just started. */
export function createGatewayState(params: {
  settings: GatewaySettings;
  incarnation: number;
  nowMs: number;
  /** Time since the process began, in ms. */
  processAgeMs?: number;
}): GatewayState {
  const { settings, incarnation, nowMs, processAgeMs = 0 } = params;
  const ttlMs = settings.bounds.leaseMs;
  return {
    settings,
    incarnation,
    startedAtMs: nowMs,
    processBeganAtMs: nowMs - processAgeMs,
    nextAttemptId: 1,
    nextCallId: 1,
    active: undefined,
    servers: new Map(),
    serverLives: 0,
    goneServers: new Map(),
    doubtedServers: new Map(),
    lostServers: new Map(),
    crashSuspects: new Map(),
    recentCrashes: [],
    crashNewsDue: new Set(),
    crashNewsAllAtMs: Number.NEGATIVE_INFINITY,
    suspectsForgottenAtMs: nowMs,
    crashRow: {
      version: undefined,
      written: '',
      askedAtMs: Number.NEGATIVE_INFINITY,
      wroteLast: false,
      hasOwnNews: false,
    },
    statements: new Map(),
    reachedFleet: undefined,
    returnTimes: new Map(),
    newcomers: new Set(),
    serversRevision: 0,
    serversKnown: false,
    registryChanges: [],
    registryNumber: 0,
    storeReachable: true,
    storeEra: undefined,
    storeCopyAtMs: Number.NEGATIVE_INFINITY,
    eraKnown: { sinceMs: nowMs, toldSinceWallMs: Number.POSITIVE_INFINITY },
    storeLostAtMs: Number.NEGATIVE_INFINITY,
    storeReturnedAtMs: Number.NEGATIVE_INFINITY,
    storeContactAtMs: undefined,
    storeSeenByPeerAtMs: Number.NEGATIVE_INFINITY,
    requests: new Map(),
    awaitingStart: [],
    quotas: new Map(),
    part: createFleetPart(),
    unitAsks: new Map(),
    nextAskId: 1,
    lentUnits: new Map(),
    waitingForUnits: [],
    retryBudgets: new Map(),
    peers: new Map(),
    hubId: undefined,
    hubSinceMs: nowMs,
    heardFromBoxes: createHeardTotals(),
    heardFromHubs: createHeardTotals(),
    silentZones: new Set(),
    usageToldAtMs: Number.NEGATIVE_INFINITY,
    peerSequence: 0,
    newsSentAtMs: Number.NEGATIVE_INFINITY,
    lease: createLease(
      {
        key: LEASE_KEY,
        ttlMs,
        marginMs: ttlMs * LEASE_MARGIN_SHARE,
        renewIntervalMs: ttlMs * LEASE_RENEWAL_SHARE,
        maxOrderFlightMs: ttlMs,
      },
      settings.box.id,
      incarnation,
    ),
    agreedClockOffsetMs: undefined,
    clockAskedAtMs: Number.NEGATIVE_INFINITY,
    clockRowIsLost: false,
    wallAheadMs: undefined,
    suspendedAtMs: Number.NEGATIVE_INFINITY,
    storeEpochMs: undefined,
    usage: new Map(),
    usageChanged: false,
    checkpointAtMs: 0,
    checkpointVersion: 0,
    checkpointFence: undefined,
    rollouts: new Map(),
    rolloutsJudgedAtMs: nowMs,
    orders: new Map(),
    planAtMs: nowMs,
    workTokens: 0,
    workTokensSeen: 0,
    tokensPerSecond: { recent: 0, long: 0 },
    ownSends: new Map(),
    engineModels: new Map(),
    openRequests: new Map(),
    loadSinceMs: undefined,
    firstOnDemand: new Map(),
    heldNeeds: new Map(),
    dryUntilMs: new Map(),
    reclaimsUntilMs: new Map(),
    readyReclaimable: new Map(),
    stoppingSinceMs: undefined,
    stopped: false,
  };
}

/** Nothing heard yet. */
export function createHeardTotals(): HeardTotals {
  return { admitted: new Map(), workTokens: 0 };
}

/** Sets a held figure: a lower value counts only once the time of the higher one is over. */
export function holdFigure(held: HeldFigure, value: number, nowMs: number, holdMs: number): void {
  if (value < held.value && nowMs < held.untilMs) return;
  if (value < held.value || nowMs + holdMs > held.untilMs) held.untilMs = nowMs + holdMs;
  held.value = value;
}

/** Adds a log line. */
export function log(step: Step, event: string, fields: Readonly<Record<string, LogField>>): void {
  step.effects.push({ type: 'log', event, fields });
}

/** Asks the table; the answer comes back with its purpose. */
export function requestTable(step: Step, purpose: TablePurpose, op: TableOp): void {
  step.effects.push({ type: 'requestTable', purpose, op, sentAtMs: step.nowMs });
}
