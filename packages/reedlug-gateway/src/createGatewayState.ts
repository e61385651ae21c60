/** Creates the state of a box that has just started. */
import { createLease } from 'reedlug-coordination';
import { createReceivedTotals, type GatewayState } from './state.js';
import { createLimitShare, createRestartReserve } from './types/limitShare.js';
import { createServerLinks } from './types/serverLink.js';
import { createServerSpeeds } from './types/serverSpeed.js';
import { createStreamVersions } from './types/streamVersion.js';
import type { GatewaySettings } from './types/settings.js';

/**
 * Interval between renewals of the duty lease, as a share of its validity: it allows two attempts
 * before the lease expires.
 */
const LEASE_RENEWAL_SHARE = 0.4;
/**
 * Safety margin of the lease holder, as a share of the validity: it covers clock drift and short
 * pauses.
 */
const LEASE_MARGIN_SHARE = 0.1;
/**
 * Key of the duty lease in the table. Its holder performs the duties of the fleet towards the
 * platform.
 */
export const LEASE_KEY = 'duty-lease';

/** Returns the initial state of a box. */
export function createGatewayState(params: {
  settings: GatewaySettings;
  incarnation: number;
  nowMs: number;
  /** Time since the start of the process, in ms. */
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
    brittleServices: new Map(),
    serverLinks: createServerLinks(),
    openTunnels: 0,
    serverIncarnationCount: 0,
    goneServers: new Map(),
    unconfirmedServers: new Map(),
    lostServers: new Map(),
    uncertainEnds: [],
    crashSuspects: new Map(),
    blockedSuspects: new Set(),
    overload: {
      busySinceMs: undefined,
      closesSinceMs: undefined,
      lastEndedAtMs: Number.NEGATIVE_INFINITY,
      hasBeenIdle: false,
    },
    goodParts: new Map(),
    lostSendsDue: [],
    hasClearedSuspects: false,
    recentCrashes: [],
    crashGossipDue: new Set(),
    fullCrashGossipSentAtMs: Number.NEGATIVE_INFINITY,
    suspectsPrunedAtMs: nowMs,
    crashRow: {
      version: undefined,
      isFirstReadPending: true,
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
    serversReadTo: 0,
    serversRevisionMax: 0,
    serversKnown: false,
    registryChanges: [],
    registryNumber: 0,
    storeReachable: true,
    storeEra: undefined,
    eraOfOneMessage: undefined,
    storeRestoredAtMs: Number.NEGATIVE_INFINITY,
    eraKnown: { sinceMs: nowMs, reportedSinceWallClockMs: Number.POSITIVE_INFINITY },
    storeLostAtMs: Number.NEGATIVE_INFINITY,
    storeReturnedAtMs: Number.NEGATIVE_INFINITY,
    feedAnsweredAtMs: {},
    feedConfirmedAtMs: {
      operators: Number.NEGATIVE_INFINITY,
      servers: Number.NEGATIVE_INFINITY,
    },
    failedFeeds: new Map(),
    registryGapMs: -1,
    isRegistryOverdue: false,
    storeContactAtMs: undefined,
    storeContactByPeerAtMs: Number.NEGATIVE_INFINITY,
    requests: new Map(),
    streamVersions: createStreamVersions(),
    pendingRequests: [],
    quotas: new Map(),
    part: createLimitShare(),
    restartReserve: createRestartReserve(),
    unitRequests: new Map(),
    nextAskId: 1,
    lentUnits: new Map(),
    waitingForUnits: [],
    unitReservations: { own: [], ofPeers: [], used: [] },
    retryBudgets: new Map(),
    peers: new Map(),
    lifeEndedAtMs: Number.NEGATIVE_INFINITY,
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
    lastEventAtMs: nowMs,
    stalledAtMs: Number.NEGATIVE_INFINITY,
    resumedAtMs: Number.NEGATIVE_INFINITY,
    storeEpochMs: undefined,
    usage: new Map(),
    unplacedUsage: [],
    usageReceivedAtMs: new Map(),
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
    placements: new Map(),
    serverSpeeds: createServerSpeeds(),
    openRequests: new Map(),
    loadSinceMs: undefined,
    initialOnDemand: new Map(),
    stabilizedNeeds: new Map(),
    outOfCapacityUntilMs: new Map(),
    reclaimsExpectedUntilMs: new Map(),
    readyReclaimable: new Map(),
    workspaceShares: new Map(),
    answerTimes: new Map(),
    deliveryTimes: new Map(),
    stoppingSinceMs: undefined,
    stopped: false,
  };
}
