/** State of a gateway box; slices change their part of it in place. */
import { createLease, type LeaseState, type RetryBudget, type TableOp } from 'reedlug-coordination';
import type { EngineModel, OwnSends } from './policy/engineModel.js';
import type { CrashRowState, CrashSuspect, LostServer, ServerCrash } from './types/crashSuspect.js';
import type { Effect, LogField } from './types/effect.js';
import type { TablePurpose } from './types/event.js';
import { createLimitShare, type LimitShare } from './types/limitShare.js';
import type { NumberedChange } from './types/peer.js';
import type { PendingRequest, RequestRecord, WaitingSend } from './types/request.js';
import type { RolloutView } from './types/rollout.js';
import type { IncarnationStatements, ReachableFleet } from './types/serverStatement.js';
import type { ServerEntry } from './types/server.js';
import type { GatewaySettings } from './types/settings.js';
import type {
  ActiveConfiguration,
  EngineOrder,
  ReceivedTotals,
  StabilizedValue,
  StabilizedNeed,
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
  wallClockMs: number;
  effects: Effect[];
}

/** Everything a box knows. */
export interface GatewayState {
  settings: GatewaySettings;
  incarnation: number;
  startedAtMs: number;
  /** When its process began, before which an earlier life of the box had ended. */
  processStartedAtMs: number;
  nextAttemptId: number;
  nextCallId: number;
  active: ActiveConfiguration | undefined;
  servers: Map<string, ServerView>;
  /** Lives of servers seen so far. */
  serverIncarnationCount: number;
  /** Latest lives of servers that are gone, for news of earlier ones. */
  goneServers: Map<string, { bornAtMs: number | undefined; goneAtMs: number }>;
  /** Entries of such lives that came back with a copy of the store: they count once they stay. */
  unconfirmedServers: Map<string, { entry: ServerEntry; untilMs: number }>;
  /** Servers with lost sends by life, until it is known whether they crashed. */
  lostServers: Map<number, LostServer>;
  /** Requests under which servers crashed, by key. */
  crashSuspects: Map<string, CrashSuspect>;
  /** Crashes of the last time, whichever requests were there. */
  recentCrashes: ServerCrash[];
  /** Keys of those that the next tick tells of. */
  crashGossipDue: Set<string>;
  fullCrashGossipSentAtMs: number;
  suspectsPrunedAtMs: number;
  crashRow: CrashRowState;
  /** What servers have said in answers, by id: of the latest life that said something. */
  statements: Map<string, IncarnationStatements>;
  /** The fleet as this box last looked at it for the limits of servers; undefined before. */
  reachableFleet: ReachableFleet | undefined;
  /** Until when callers were told to come back to servers that take too few, by service and urgency. */
  retryAfterTimes: Map<string, Map<number, number>>;
  /** Boxes to be told of all such statements: they began a life, or were silent. */
  peersNeedingStatements: Set<string>;
  serversRevision: number;
  serversKnown: boolean;
  /** Changes of the registry of the last moments, for the members of this box as a hub. */
  registryChanges: { atMs: number; change: NumberedChange }[];
  registryNumber: number;
  storeReachable: boolean;
  /** The latest era of the store that this box knows; undefined before the store's first answer. */
  storeEra: number | undefined;
  /** When the store last came back from a copy, as far as this box knows. */
  storeRestoredAtMs: number;
  /** When this box first knew of that era, and since when it was by what a holder wrote in it, by the agreed clock. */
  eraKnown: { sinceMs: number; reportedSinceWallClockMs: number };
  /** When the store last stopped answering this box, and when it answered again after it was away for all. */
  storeLostAtMs: number;
  storeReturnedAtMs: number;
  /** When the store last answered this box; undefined before. */
  storeContactAtMs: number | undefined;
  /** When the store last answered a peer, as far as peers told. */
  storeContactByPeerAtMs: number;
  requests: Map<number, RequestRecord>;
  /** Requests that came before configuration and servers were known. */
  pendingRequests: PendingRequest[];
  quotas: Map<string, QuotaView>;
  /** This box's part of all limits. */
  part: LimitShare;
  /** Units asked of other boxes and still awaited: when, and for which workspace. */
  unitRequests: Map<number, { sentAtMs: number; workspace: string }>;
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
  totalsFromBoxes: ReceivedTotals;
  totalsFromHubs: ReceivedTotals;
  /** Zones of which no box is heard. */
  silentZones: ReadonlySet<string>;
  usageSentAtMs: number;
  peerSequence: number;
  gossipSentAtMs: number;
  lease: LeaseState;
  /** Wall clock less store clock, agreed by all boxes in a row of the store. */
  agreedClockOffsetMs: number | undefined;
  clockRequestedAtMs: number;
  /** True while the row may be missing that says what was agreed. */
  clockRowIsLost: boolean;
  /** How far the time of day was ahead of the steady clock at the last event. */
  wallClockAheadMs: number | undefined;
  /** When this box last came out of a suspension, as far as it knows. */
  resumedAtMs: number;
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
  rolloutsEvaluatedAtMs: number;
  orders: Map<string, EngineOrder>;
  plannedAtMs: number;
  /** Prompt tokens that this box has sent to be read, since its start; those that a server keeps do not count. */
  workTokens: number;
  /** The same of all boxes at the last plan. */
  workTokensAtLastPlan: number;
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
  initialOnDemand: Map<string, Set<string>>;
  stabilizedNeeds: Map<string, StabilizedNeed>;
  /** By service and zone, until when no further reclaimable engines are to be had. */
  outOfCapacityUntilMs: Map<string, number>;
  /** By service, until when more of its engines are expected to be taken back. */
  reclaimsExpectedUntilMs: Map<string, number>;
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
    processStartedAtMs: nowMs - processAgeMs,
    nextAttemptId: 1,
    nextCallId: 1,
    active: undefined,
    servers: new Map(),
    serverIncarnationCount: 0,
    goneServers: new Map(),
    unconfirmedServers: new Map(),
    lostServers: new Map(),
    crashSuspects: new Map(),
    recentCrashes: [],
    crashGossipDue: new Set(),
    fullCrashGossipSentAtMs: Number.NEGATIVE_INFINITY,
    suspectsPrunedAtMs: nowMs,
    crashRow: {
      version: undefined,
      writtenSignature: '',
      requestedAtMs: Number.NEGATIVE_INFINITY,
      isLastWriter: false,
      hasUnwrittenObservations: false,
    },
    statements: new Map(),
    reachableFleet: undefined,
    retryAfterTimes: new Map(),
    peersNeedingStatements: new Set(),
    serversRevision: 0,
    serversKnown: false,
    registryChanges: [],
    registryNumber: 0,
    storeReachable: true,
    storeEra: undefined,
    storeRestoredAtMs: Number.NEGATIVE_INFINITY,
    eraKnown: { sinceMs: nowMs, reportedSinceWallClockMs: Number.POSITIVE_INFINITY },
    storeLostAtMs: Number.NEGATIVE_INFINITY,
    storeReturnedAtMs: Number.NEGATIVE_INFINITY,
    storeContactAtMs: undefined,
    storeContactByPeerAtMs: Number.NEGATIVE_INFINITY,
    requests: new Map(),
    pendingRequests: [],
    quotas: new Map(),
    part: createLimitShare(),
    unitRequests: new Map(),
    nextAskId: 1,
    lentUnits: new Map(),
    waitingForUnits: [],
    retryBudgets: new Map(),
    peers: new Map(),
    hubId: undefined,
    hubSinceMs: nowMs,
    totalsFromBoxes: createReceivedTotals(),
    totalsFromHubs: createReceivedTotals(),
    silentZones: new Set(),
    usageSentAtMs: Number.NEGATIVE_INFINITY,
    peerSequence: 0,
    gossipSentAtMs: Number.NEGATIVE_INFINITY,
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
    clockRequestedAtMs: Number.NEGATIVE_INFINITY,
    clockRowIsLost: false,
    wallClockAheadMs: undefined,
    resumedAtMs: Number.NEGATIVE_INFINITY,
    storeEpochMs: undefined,
    usage: new Map(),
    usageChanged: false,
    checkpointAtMs: 0,
    checkpointVersion: 0,
    checkpointFence: undefined,
    rollouts: new Map(),
    rolloutsEvaluatedAtMs: nowMs,
    orders: new Map(),
    plannedAtMs: nowMs,
    workTokens: 0,
    workTokensAtLastPlan: 0,
    tokensPerSecond: { recent: 0, long: 0 },
    ownSends: new Map(),
    engineModels: new Map(),
    openRequests: new Map(),
    loadSinceMs: undefined,
    initialOnDemand: new Map(),
    stabilizedNeeds: new Map(),
    outOfCapacityUntilMs: new Map(),
    reclaimsExpectedUntilMs: new Map(),
    readyReclaimable: new Map(),
    stoppingSinceMs: undefined,
    stopped: false,
  };
}

/** Nothing heard yet. */
export function createReceivedTotals(): ReceivedTotals {
  return { admitted: new Map(), workTokens: 0 };
}

/** Sets a held figure: a lower value counts only once the time of the higher one is over. */
export function updateStabilized(
  stabilized: StabilizedValue,
  value: number,
  nowMs: number,
  holdMs: number,
): void {
  if (value < stabilized.value && nowMs < stabilized.untilMs) return;
  if (value < stabilized.value || nowMs + holdMs > stabilized.untilMs)
    stabilized.untilMs = nowMs + holdMs;
  stabilized.value = value;
}

/** Adds a log line. */
export function log(step: Step, event: string, fields: Readonly<Record<string, LogField>>): void {
  step.effects.push({ type: 'log', event, fields });
}

/** Asks the table; the answer comes back with its purpose. */
export function requestTable(step: Step, purpose: TablePurpose, op: TableOp): void {
  step.effects.push({ type: 'requestTable', purpose, op, sentAtMs: step.nowMs });
}
