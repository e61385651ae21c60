/**
 * State of one box's decisions.
 *
 * Slices mutate their own part in place: copying maps of thousands of engines
 * for each event does not fit the processor share that control may use.
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

/** What the box holds about a backend server besides its membership. */
export interface ServerView {
  spec: ServerSpec;
  idHash: number;
  /** Ids of this box's open attempts there. */
  openAttempts: Set<string>;
  /** Prompt tokens of this box's attempts that have no first token yet. */
  pendingPrefillTokens: number;
  report: EngineReport | undefined;
  reportedAtMs: number;
  /** This box's open attempts when the report was made. */
  openAttemptsAtReport: number;
  probeFailures: number;
  /** Measured time between tokens, smoothed; 0 until measured. */
  interTokenMs: number;
  /** Window of the cache-aware policy, in requests. */
  cacheAwareWindow: number;
  /** Sequence number of the last cache event. */
  cacheSequence: number;
  /** True after a gap in the cache events, until the engine's own figures agree again. */
  cacheUncertain: boolean;
  exportBusyUntilMs: number;
  /** Until when the server counts as nearly full, by the box that probes it. */
  hotUntilMs: number;
  /** When this box last told its peers that the server is hot; undefined when it is not. */
  hotAnnouncedAtMs: number | undefined;
  /** This box's place at the server, worked out when the live boxes have changed. */
  cachedShareRank: { version: number; shareRank: number };
}

/** The live boxes that share a zone's servers, as hashes of their ids. */
export interface SharingBoxes {
  /** Grows when the boxes change. */
  version: number;
  idsKey: string;
  hashes: readonly number[];
}

/** The queues of one pool. */
export interface PoolQueues {
  urgent: FairQueue;
  patient: FairQueue;
  /** Urgent dispatches since the last patient one. */
  urgentStreak: number;
  /** Work dispatched since the last heartbeat, in the units of a request's cost. */
  dispatchedCost: number;
  /** Work dispatched in one ms while requests waited, smoothed; 0 until measured. */
  drainPerMs: number;
  /** Time between tokens over the pool's engines, smoothed; 0 until measured. */
  interTokenMs: number;
}

/** Where a conversation's cached prefix was last seen. */
export interface PrefixLocation {
  serverId: string;
  tokens: number;
}

/** A box among the peers. */
export interface PeerView {
  revision: number;
  draining: boolean;
  demands: readonly WorkspaceDemand[];
  poolLoads: readonly PoolLoad[];
}

/** One workspace's limit at this box. */
export interface WorkspaceView {
  limits: WorkspaceLimits;
  bucket: TokenBucket;
  sharePerSecond: number;
  /** Requests asked for since the last heartbeat. */
  asked: number;
  demandPerSecond: number;
  /** Unsettled requests at this box. */
  inProgress: number;
}

/** What a table operation under way is for. */
export type TableOpPurpose =
  | { kind: 'claims'; group: ClaimGroup }
  | { kind: 'claimOutcomes'; requestIds: readonly string[] }
  | { kind: 'claimReread'; requestId: string }
  | { kind: 'lease'; sentAtMs: number }
  | { kind: 'configScan' }
  | { kind: 'confirm'; askId: string; plan: Plan; tries: number; step: ConfirmStep };

/** Steps of confirming a plan. */
export type ConfirmStep =
  { kind: 'write'; revision: number } | { kind: 'readBack'; revision: number };

/** A start or stop asked of the cloud and not yet seen in the box list. */
export interface PendingStart {
  askId: string;
  sentAtMs: number;
  zone: string;
  machineClass: string;
  reclaimable: boolean;
  pool: string;
}

/** A refused kind of box, left alone for a while. */
export interface OfferBackoff {
  untilMs: number;
  refusals: number;
}

/** Answers of a moving pool at its new site, in one window. */
export interface MoveWatch {
  sinceMs: number;
  seen: number;
  missed: number;
}

/** A confirm that is in the table and waits to be in force at the peers. */
export interface PendingConfirm {
  askId: string;
  revision: number;
  untilMs: number;
}

/** The whole state. */
export interface BoxState {
  settings: DecisionSettings;
  random: RandomGenerator;
  nowMs: number;
  epochMs: number;
  idCounter: number;

  requests: Map<string, RequestRecord>;
  /** Requests that are not settled. */
  unsettled: Set<string>;
  /** Settled requests in the order in which they were settled. */
  settledOrder: string[];
  pools: Map<string, PoolQueues>;
  workspaces: Map<string, WorkspaceView>;
  /** Boxes that share the windows of each zone's servers. */
  sharingBoxes: Map<string, SharingBoxes>;

  servers: Map<string, ServerView>;
  serversByPool: Map<string, ServerView[]>;
  serversByZone: Map<string, ServerView[]>;
  serversByPoolSite: Map<string, ServerView[]>;
  /** Servers that this box probes, for one set of live boxes and known servers. */
  probedServers: { key: string; views: readonly ServerView[] };
  serverMembers: Membership;
  /** Servers that leave, for boxes that are new to us. */
  drainingServers: Set<string>;
  roundRobinTurn: number;
  prefixLocations: Map<number, PrefixLocation>;
  /** Where the peers believe a conversation's prefix to be, where it is not the first rank. */
  announcedPrefixServers: Map<number, string>;
  pendingCacheUpdates: CacheUpdate[];
  /** Share of prompt tokens found at the first-ranked engine without a sight, smoothed. */
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
  /** True once the replica had every revision it had heard of. */
  caughtUpOnce: boolean;
  lastSnapshotRevision: number;
  confirmedPlans: ConfirmedPlan[];
  pendingConfirms: PendingConfirm[];
  /** Answers at the new site of pools on a move, since a time. */
  moveWatches: Map<string, MoveWatch>;

  lease: LeaseState;
  nextLeasePollAtMs: number;
  /** Loads of weights that may be ordered now. */
  weightLoadBucket: TokenBucket;
  ordersSent: Map<string, { atMs: number; wantedKey: string }>;
  pendingStarts: Map<string, PendingStart>;
  offerBackoff: Map<string, OfferBackoff>;
  nextPlacementAtMs: number;
  /** Smoothed load of each pool, in requests. */
  smoothedPoolLoad: Map<string, number>;
  /** When a reclaim that placement had not asked for was last told. */
  lastReclaimAtMs: number;
  /** When a stop of a server was last asked of the cloud. */
  stopsRequestedAtMs: Map<string, number>;

  retryBudget: RetryBudget;
  draining: { sinceMs: number; leavesAtMs: number | undefined } | undefined;
  stoppedReported: boolean;
  /** Deliberate faults for tests of the checker; empty in production. */
  mutations: ReadonlySet<Mutation>;
}

/** Time and effects of the event at hand. */
export interface Step {
  nowMs: number;
  effects: Effect[];
}

/** Returns the state of a box that has just started. */
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
        renewEveryMs: control.leaseRenewMs,
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

/** The site of a zone; the zone's own name when the settings do not know it. */
export function siteOfZone(settings: DecisionSettings, zone: string): string {
  return settings.zones.find((spec) => spec.name === zone)?.site ?? zone;
}

/** Key of a pool's servers at one site. */
export function poolSiteKey(pool: string, site: string): string {
  return `${pool}@${site}`;
}

/** An id that no other box and no earlier life of this box has used. */
export function nextId(state: BoxState, prefix: string): string {
  state.idCounter += 1;
  const { boxId, incarnation } = state.settings;
  return `${prefix}-${boxId}-${incarnation}-${state.idCounter}`;
}

/** A random number in [0, 1). */
export function nextRandom(state: BoxState): number {
  const RANGE = 0x1_0000_0000;
  return (state.random.unsafeNext() >>> 0) / RANGE;
}
