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
  openAtReport: number;
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
  hotToldAtMs: number | undefined;
  /** This box's place at the server, worked out when the live boxes have changed. */
  place: { version: number; shareRank: number };
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
  urgentRun: number;
  /** Work dispatched since the last heartbeat, in the units of a request's cost. */
  dispatchedCost: number;
  /** Work dispatched in one ms while requests waited, smoothed; 0 until measured. */
  drainPerMs: number;
  /** Time between tokens over the pool's engines, smoothed; 0 until measured. */
  interTokenMs: number;
}

/** Where a conversation's cached prefix was last seen. */
export interface CacheSight {
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
export type TablePurpose =
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
export interface CloudAskOpen {
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
export interface ConfirmWait {
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
  counter: number;

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
  probed: { key: string; views: readonly ServerView[] };
  serverMembers: Membership;
  /** Servers that leave, for boxes that are new to us. */
  leavingServers: Set<string>;
  roundRobinTurn: number;
  cacheSights: Map<number, CacheSight>;
  /** Where the peers believe a conversation's prefix to be, where it is not the first rank. */
  cacheTold: Map<number, string>;
  cacheNewsWaiting: CacheUpdate[];
  /** Share of prompt tokens found at the first-ranked engine without a sight, smoothed. */
  priorHitShare: number;

  boxMembers: Membership;
  peers: Map<string, PeerView>;
  nextHeartbeatAtMs: number;
  heartbeatCount: number;
  nextProbeAtMs: number;

  claimsWaiting: PendingClaim[];
  claimGroupInFlight: boolean;
  outcomesWaiting: string[];
  outcomesInFlight: boolean;
  outcomesNotBeforeMs: number;
  tableOps: Map<string, TablePurpose>;

  config: ConfigReplica;
  nextConfigPollAtMs: number;
  nextCatchUpAtMs: number;
  configScanInFlight: boolean;
  configSourceSeen: boolean;
  /** True once the replica had every revision it had heard of. */
  caughtUpOnce: boolean;
  snapshotAtRevision: number;
  confirmedPlans: ConfirmedPlan[];
  confirmWaits: ConfirmWait[];
  /** Answers at the new site of pools on a move, since a time. */
  moveWatches: Map<string, MoveWatch>;

  lease: LeaseState;
  nextLeaseLookAtMs: number;
  /** Loads of weights that may be ordered now. */
  weightLoads: TokenBucket;
  ordersSent: Map<string, { atMs: number; wantedKey: string }>;
  cloudAsks: Map<string, CloudAskOpen>;
  offerBackoff: Map<string, OfferBackoff>;
  nextPlacementAtMs: number;
  /** Smoothed load of each pool, in requests. */
  poolBusy: Map<string, number>;
  /** When a reclaim that placement had not asked for was last told. */
  lastReclaimAtMs: number;
  /** When a stop of a server was last asked of the cloud. */
  stopsAskedAtMs: Map<string, number>;

  retryBudget: RetryBudget;
  draining: { sinceMs: number; leavesAtMs: number | undefined } | undefined;
  stoppedTold: boolean;
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
    counter: 0,
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
    probed: { key: '', views: [] },
    serverMembers: createMembership({
      suspectAfterMs: Number.POSITIVE_INFINITY,
      deadAfterMs: control.deadAfterMs,
    }),
    leavingServers: new Set(),
    roundRobinTurn: 0,
    cacheSights: new Map(),
    cacheTold: new Map(),
    cacheNewsWaiting: [],
    priorHitShare: 0.5,
    boxMembers: createMembership({
      suspectAfterMs: control.suspectAfterMs,
      deadAfterMs: control.deadAfterMs,
    }),
    peers: new Map(),
    nextHeartbeatAtMs: nowMs,
    heartbeatCount: 0,
    nextProbeAtMs: nowMs,
    claimsWaiting: [],
    claimGroupInFlight: false,
    outcomesWaiting: [],
    outcomesInFlight: false,
    outcomesNotBeforeMs: 0,
    tableOps: new Map(),
    config: createConfigReplica(),
    nextConfigPollAtMs: nowMs,
    nextCatchUpAtMs: nowMs,
    configScanInFlight: false,
    configSourceSeen: false,
    caughtUpOnce: false,
    snapshotAtRevision: 0,
    confirmedPlans: [],
    confirmWaits: [],
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
    nextLeaseLookAtMs: nowMs,
    weightLoads: createTokenBucket(control.weightLoadsPerMinute / 60, 2, nowMs),
    ordersSent: new Map(),
    cloudAsks: new Map(),
    offerBackoff: new Map(),
    nextPlacementAtMs: nowMs + control.placementEveryMs,
    poolBusy: new Map(),
    lastReclaimAtMs: Number.NEGATIVE_INFINITY,
    stopsAskedAtMs: new Map(),
    retryBudget: createRetryBudget(policy.retryShare, policy.retryCapacity),
    draining: undefined,
    stoppedTold: false,
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
  state.counter += 1;
  const { boxId, incarnation } = state.settings;
  return `${prefix}-${boxId}-${incarnation}-${state.counter}`;
}

/** A random number in [0, 1). */
export function nextRandom(state: BoxState): number {
  const RANGE = 0x1_0000_0000;
  return (state.random.unsafeNext() >>> 0) / RANGE;
}
