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
  type ConfigReplica,
  type LeaseState,
  type Membership,
  type PendingClaim,
  type RetryBudget,
  type TokenBucket,
} from 'reedlug-coordination';
import { xoroshiro128plus, type RandomGenerator } from 'pure-rand';
import type { Mutation } from './mutations.js';
import type { Effect } from './types/effect.js';
import type { CacheUpdate } from './types/peer.js';
import type { ConfirmedPlan } from './types/plan.js';
import type { RequestRecord } from './types/request.js';
import type { DecisionSettings } from './types/settings.js';
import type {
  ServerView,
  SharingBoxes,
  PoolQueues,
  PrefixLocation,
  PeerView,
  WorkspaceView,
  PendingStart,
  OfferBackoff,
  MoveWatch,
} from './types/views.js';
import type { TableOpPurpose, PendingConfirm } from './types/tableOp.js';

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
