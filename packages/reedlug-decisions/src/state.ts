/**
 * State of the decisions of one box.
 *
 * Slices mutate their own part of the state in place: copying maps of thousands
 * of engines for each event would exceed the processor share of the control functions.
 */
import {
  createConfigReplica,
  createLease,
  createMembership,
  createRetryBudget,
  createTokenBucket,
  type ClaimGroup,
  type ConfigReplica,
  type FairQueue,
  type LeaseState,
  type Membership,
  type PendingClaim,
  type RetryBudget,
  type TokenBucket,
} from 'reedlug-coordination';
import { xoroshiro128plus, type RandomGenerator } from 'pure-rand';
import type { Mutation } from './mutations.js';
import type { Effect } from './types/effect.js';
import type { EngineReport } from './types/order.js';
import type { CacheUpdate, PoolLoad, WorkspaceDemand } from './types/peer.js';
import type { ConfirmedPlan, Plan } from './types/plan.js';
import type { RequestRecord } from './types/request.js';
import type { DecisionSettings, ServerSpec, WorkspaceLimits } from './types/settings.js';

/** The state that a box keeps about a backend server, except its membership. */
export interface ServerView {
  spec: ServerSpec;
  idHash: number;
  /** Ids of this box's open attempts at the server. */
  openAttempts: Set<string>;
  /** Prompt tokens of this box's attempts that have not returned a first token yet. */
  pendingPrefillTokens: number;
  report: EngineReport | undefined;
  reportedAtMs: number;
  /** Number of this box's open attempts when the report was received. */
  openAttemptsAtReport: number;
  probeFailures: number;
  /** Smoothed time between tokens, in ms; 0 until measured. */
  interTokenMs: number;
  /** Window of the cache-aware policy, in requests. */
  cacheAwareWindow: number;
  /** Sequence number of the last cache event that was received. */
  cacheSequence: number;
  /** True after a gap in the cache events, until the engine reports matching cached tokens. */
  cacheUncertain: boolean;
  exportBusyUntilMs: number;
  /** Until when the server counts as hot (nearly full), as reported by the box that probes it. */
  hotUntilMs: number;
  /** When this box last announced to its peers that the server is hot; undefined if it is not. */
  hotAnnouncedAtMs: number | undefined;
  /** This box's rank at the server, recomputed when `version` is not that of the sharing boxes. */
  cachedShareRank: { version: number; shareRank: number };
}

/** The live boxes that share the servers of a zone, as hashes of their ids. */
export interface SharingBoxes {
  /** Increases when the set of boxes changes. */
  version: number;
  idsKey: string;
  hashes: readonly number[];
}

/** The queues of one pool and their measured throughput. */
export interface PoolQueues {
  urgent: FairQueue;
  patient: FairQueue;
  /** Number of urgent dispatches since the last patient one. */
  urgentStreak: number;
  /** Sum of the costs of the requests dispatched since the last heartbeat. */
  dispatchedCost: number;
  /** Smoothed cost dispatched per ms while requests waited; 0 until measured. */
  drainPerMs: number;
  /** Smoothed time between tokens across the pool's engines, in ms; 0 until measured. */
  interTokenMs: number;
}

/** The server where the cached prefix of a conversation was last seen. */
export interface PrefixLocation {
  serverId: string;
  tokens: number;
}

/** The last heartbeat data of a peer. */
export interface PeerView {
  revision: number;
  draining: boolean;
  demands: readonly WorkspaceDemand[];
  poolLoads: readonly PoolLoad[];
}

/** The limits and demand of a workspace at this box. */
export interface WorkspaceView {
  limits: WorkspaceLimits;
  bucket: TokenBucket;
  sharePerSecond: number;
  /** Number of requests received since the last heartbeat. */
  asked: number;
  demandPerSecond: number;
  /** Number of unsettled requests at this box. */
  inProgress: number;
}

/** The purpose of a table operation in flight. */
export type TableOpPurpose =
  | { kind: 'claims'; group: ClaimGroup }
  | { kind: 'claimOutcomes'; requestIds: readonly string[] }
  | { kind: 'claimReread'; requestId: string }
  | { kind: 'lease'; sentAtMs: number }
  | { kind: 'configScan' }
  | { kind: 'confirm'; askId: string; plan: Plan; tries: number; step: ConfirmStep };

/** A step of confirming a plan. */
export type ConfirmStep =
  { kind: 'write'; revision: number } | { kind: 'readBack'; revision: number };

/** A start that was requested from the cloud and is not yet in the box list. */
export interface PendingStart {
  askId: string;
  sentAtMs: number;
  zone: string;
  machineClass: string;
  reclaimable: boolean;
  pool: string;
}

/** Back-off of an offer whose starts were refused. */
export interface OfferBackoff {
  untilMs: number;
  refusals: number;
}

/** Counts of the answers of a moving pool at its new site within one time window. */
export interface MoveWatch {
  sinceMs: number;
  seen: number;
  missed: number;
}

/** A confirmed plan that is in the table and is not yet known to be in force in every zone. */
export interface PendingConfirm {
  askId: string;
  revision: number;
  untilMs: number;
}

/** The whole state of the decisions of one box. */
export interface BoxState {
  settings: DecisionSettings;
  random: RandomGenerator;
  nowMs: number;
  epochMs: number;
  idCounter: number;

  requests: Map<string, RequestRecord>;
  /** Ids of the requests that are not settled. */
  unsettled: Set<string>;
  /** Ids of the settled requests, in the order in which they were settled. */
  settledOrder: string[];
  pools: Map<string, PoolQueues>;
  workspaces: Map<string, WorkspaceView>;
  /** Boxes that share the windows of the servers of each zone, by zone. */
  sharingBoxes: Map<string, SharingBoxes>;

  servers: Map<string, ServerView>;
  serversByPool: Map<string, ServerView[]>;
  serversByZone: Map<string, ServerView[]>;
  serversByPoolSite: Map<string, ServerView[]>;
  /** Servers that this box probes; `key` names the live boxes and servers it was computed for. */
  probedServers: { key: string; views: readonly ServerView[] };
  serverMembers: Membership;
  /** Ids of draining servers, which are announced to newly seen boxes. */
  drainingServers: Set<string>;
  roundRobinTurn: number;
  prefixLocations: Map<number, PrefixLocation>;
  /** The server at which peers expect a prefix, where it is not the first-ranked one. */
  announcedPrefixServers: Map<number, string>;
  pendingCacheUpdates: CacheUpdate[];
  /** Smoothed share of prompt tokens found in the cache when no prefix location was known. */
  priorHitShare: number;

  boxMembers: Membership;
  peers: Map<string, PeerView>;
  nextHeartbeatAtMs: number;
  heartbeatCount: number;
  nextProbeAtMs: number;

  pendingClaims: PendingClaim[];
  claimGroupInFlight: boolean;
  pendingOutcomes: string[];
  outcomesInFlight: boolean;
  outcomesNotBeforeMs: number;
  tableOps: Map<string, TableOpPurpose>;

  config: ConfigReplica;
  nextConfigPollAtMs: number;
  nextCatchUpAtMs: number;
  configScanInFlight: boolean;
  configSourceSeen: boolean;
  /** True once the replica had reached the highest revision that it knew of. */
  caughtUpOnce: boolean;
  lastSnapshotRevision: number;
  confirmedPlans: ConfirmedPlan[];
  pendingConfirms: PendingConfirm[];
  /** Counts of answers at the new site of pools on a move, by model. */
  moveWatches: Map<string, MoveWatch>;

  lease: LeaseState;
  nextLeasePollAtMs: number;
  /** Limits how many model weight loads are ordered. */
  weightLoadBucket: TokenBucket;
  ordersSent: Map<string, { atMs: number; wantedKey: string }>;
  pendingStarts: Map<string, PendingStart>;
  offerBackoff: Map<string, OfferBackoff>;
  nextPlacementAtMs: number;
  /** Smoothed load of each pool, in requests, by model. */
  smoothedPoolLoad: Map<string, number>;
  /** When the last reclaim notice for a server was received. */
  lastReclaimAtMs: number;
  /** When the stop of a server was last requested from the cloud, by server id. */
  stopsRequestedAtMs: Map<string, number>;

  retryBudget: RetryBudget;
  draining: { sinceMs: number; leavesAtMs: number | undefined } | undefined;
  stoppedReported: boolean;
  /** Injected faults for tests of the checker; empty in production. */
  mutations: ReadonlySet<Mutation>;
}

/** The time and the effects of the event that is being handled. */
export interface Step {
  nowMs: number;
  effects: Effect[];
}

/** Returns the initial state of a box. */
export function createBoxState(params: {
  settings: DecisionSettings;
  seed: number;
  nowMs: number;
  mutations?: ReadonlySet<Mutation>;
}): BoxState {
  const { settings, nowMs } = params;
  const { control, policy } = settings;
  return {
    settings,
    random: xoroshiro128plus(params.seed),
    nowMs,
    epochMs: 0,
    idCounter: 0,
    requests: new Map(),
    unsettled: new Set(),
    settledOrder: [],
    pools: new Map(),
    workspaces: new Map(),
    sharingBoxes: new Map(),
    servers: new Map(),
    serversByPool: new Map(),
    serversByZone: new Map(),
    serversByPoolSite: new Map(),
    probedServers: { key: '', views: [] },
    serverMembers: createMembership({
      suspectAfterMs: Number.POSITIVE_INFINITY,
      deadAfterMs: control.deadAfterMs,
    }),
    drainingServers: new Set(),
    roundRobinTurn: 0,
    prefixLocations: new Map(),
    announcedPrefixServers: new Map(),
    pendingCacheUpdates: [],
    priorHitShare: 0.5,
    boxMembers: createMembership({
      suspectAfterMs: control.suspectAfterMs,
      deadAfterMs: control.deadAfterMs,
    }),
    peers: new Map(),
    nextHeartbeatAtMs: nowMs,
    heartbeatCount: 0,
    nextProbeAtMs: nowMs,
    pendingClaims: [],
    claimGroupInFlight: false,
    pendingOutcomes: [],
    outcomesInFlight: false,
    outcomesNotBeforeMs: 0,
    tableOps: new Map(),
    config: createConfigReplica(),
    nextConfigPollAtMs: nowMs,
    nextCatchUpAtMs: nowMs,
    configScanInFlight: false,
    configSourceSeen: false,
    caughtUpOnce: false,
    lastSnapshotRevision: 0,
    confirmedPlans: [],
    pendingConfirms: [],
    moveWatches: new Map(),
    lease: createLease(
      {
        key: `lease/orders/${siteOfZone(settings, settings.zone)}`,
        ttlMs: control.leaseTtlMs,
        marginMs: control.leaseMarginMs,
        renewIntervalMs: control.leaseRenewMs,
        maxOrderFlightMs: control.maxOrderFlightMs,
      },
      settings.boxId,
      settings.incarnation,
    ),
    nextLeasePollAtMs: nowMs,
    weightLoadBucket: createTokenBucket(control.weightLoadsPerMinute / 60, 2, nowMs),
    ordersSent: new Map(),
    pendingStarts: new Map(),
    offerBackoff: new Map(),
    nextPlacementAtMs: nowMs + control.placementEveryMs,
    smoothedPoolLoad: new Map(),
    lastReclaimAtMs: Number.NEGATIVE_INFINITY,
    stopsRequestedAtMs: new Map(),
    retryBudget: createRetryBudget(policy.retryShare, policy.retryCapacity),
    draining: undefined,
    stoppedReported: false,
    mutations: params.mutations ?? new Set(),
  };
}

/** Returns the site of a zone, or the zone's name if the settings do not contain it. */
export function siteOfZone(settings: DecisionSettings, zone: string): string {
  return settings.zones.find((spec) => spec.name === zone)?.site ?? zone;
}

/** Returns the key of a pool's servers at one site. */
export function poolSiteKey(pool: string, site: string): string {
  return `${pool}@${site}`;
}

/** Returns an id that no other box and no earlier incarnation of this box uses. */
export function nextId(state: BoxState, prefix: string): string {
  state.idCounter += 1;
  const { boxId, incarnation } = state.settings;
  return `${prefix}-${boxId}-${incarnation}-${state.idCounter}`;
}

/** Returns a pseudo-random number in [0, 1). */
export function nextRandom(state: BoxState): number {
  const RANGE = 0x1_0000_0000;
  return (state.random.unsafeNext() >>> 0) / RANGE;
}
