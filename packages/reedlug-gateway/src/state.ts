/** State of a gateway box. Each slice modifies its part of the state in place. */
import type { LeaseState, RetryBudget, TableOp } from 'reedlug-coordination';
import type { EngineModel, OwnSends } from './policy/engineModel.js';
import type { UnitReservation } from './policy/unitPrecedence.js';
import type { ServicePlacement } from './types/placement.js';
import type { OverloadState } from './types/threadLoad.js';
import type {
  CrashRowState,
  CrashSuspect,
  LostSend,
  LostServer,
  ServerCrash,
  UncertainEnd,
} from './types/crashSuspect.js';
import type { Effect, LogField } from './types/effect.js';
import type { TablePurpose } from './types/event.js';
import type { LimitShare, RestartReserve } from './types/limitShare.js';
import type { NumberedChange } from './types/peer.js';
import type { PendingRequest, RequestRecord, WaitingSend } from './types/request.js';
import type { RolloutView } from './types/rollout.js';
import type { IncarnationStatements, ReachableFleet } from './types/serverStatement.js';
import type { ServerEntry } from './types/server.js';
import type { BrittleService } from './types/brittleService.js';
import type { ServerLinks } from './types/serverLink.js';
import type { ServerSpeedsState } from './types/serverSpeed.js';
import type { GatewaySettings } from './types/settings.js';
import type { StepFault } from './types/stepFault.js';
import type { SharedFeed, StoreFeed } from './types/storeFeed.js';
import type { StreamVersions } from './types/streamVersion.js';
import type { WorkspaceShares } from './types/workspaceShares.js';
import type {
  ActiveConfiguration,
  AnswerTimes,
  EngineOrder,
  ReceivedTotals,
  StabilizedValue,
  StabilizedNeed,
  LentUnits,
  UnitRequest,
  LoadAverage,
  PeerView,
  QuotaView,
  ServerView,
  UnplacedCount,
  UsageWindow,
} from './types/views.js';

/** One step of the reducer: its time, the effects requested so far, and exceptions of its parts. */
export interface Step {
  nowMs: number;
  wallClockMs: number;
  effects: Effect[];
  faults: StepFault[];
}

/** State of a gateway box. */
export interface GatewayState {
  settings: GatewaySettings;
  incarnation: number;
  startedAtMs: number;
  /** Start of the process; an earlier incarnation of the box had ended by then. */
  processStartedAtMs: number;
  nextAttemptId: number;
  nextCallId: number;
  active: ActiveConfiguration | undefined;
  servers: Map<string, ServerView>;
  /** Services whose servers are brittle, or were until lately. */
  brittleServices: Map<string, BrittleService>;
  serverLinks: ServerLinks;
  /** Number of connections that this box keeps open for peers. */
  openTunnels: number;
  /** Number of server incarnations seen so far. */
  serverIncarnationCount: number;
  /** Latest incarnations of servers that are gone, to detect updates about earlier ones. */
  goneServers: Map<string, { bornAtMs: number | undefined; goneAtMs: number }>;
  /**
   * Entries of such incarnations that reappeared when the store was restored from a backup; they
   * count once they persist.
   */
  unconfirmedServers: Map<string, { entry: ServerEntry; untilMs: number }>;
  /** Servers with lost attempts by incarnation number, until it is known whether they crashed. */
  lostServers: Map<number, LostServer>;
  /** Recent answers that ended with their connections, in order. */
  uncertainEnds: UncertainEnd[];
  /** How busy the thread of this box is. */
  overload: OverloadState;
  /** Crash suspects by key, and those of them that are blocked. */
  crashSuspects: Map<string, CrashSuspect>;
  blockedSuspects: Set<CrashSuspect>;
  /** Times of the last good runs of prompt parts at this box, by key, the earliest first. */
  goodParts: Map<string, number>;
  /** Lost sends that are still to be sent to other boxes, in order. */
  lostSendsDue: LostSend[];
  /** Set when a suspect was cleared since the last tick, whose crashes may then speak against others. */
  hasClearedSuspects: boolean;
  /** Recent crashes, whichever requests were present. */
  recentCrashes: ServerCrash[];
  /** Keys of the suspects that the next tick announces. */
  crashGossipDue: Set<string>;
  fullCrashGossipSentAtMs: number;
  suspectsPrunedAtMs: number;
  crashRow: CrashRowState;
  /** Server statements by server id, of the latest incarnation with statements. */
  statements: Map<string, IncarnationStatements>;
  /** Reachable fleet at the last check for server limits; undefined before. */
  reachableFleet: ReachableFleet | undefined;
  /** Latest retry time given to callers of overloaded servers, by service and urgency. */
  retryAfterTimes: Map<string, Map<number, number>>;
  /** Boxes that need all server statements, because they started or were silent. */
  peersNeedingStatements: Set<string>;
  /** Revision of the newest entry or removal of the registry that this box has seen. */
  serversRevision: number;
  /** Revision of the store up to which this box knows all changes of the registry. */
  serversReadTo: number;
  /** Revision that no change known to this box exceeds: above `serversRevision` after a complete read, which does not show removals. */
  serversRevisionMax: number;
  serversKnown: boolean;
  /** Recent registry changes, for the members of this box if it is a hub. */
  registryChanges: { atMs: number; change: NumberedChange }[];
  registryNumber: number;
  storeReachable: boolean;
  /**
   * Latest known era of the store, which increases when the store is restored from a backup;
   * undefined before the first answer.
   */
  storeEra: number | undefined;
  /** Later era that a single message of a peer has stated. */
  eraOfOneMessage: number | undefined;
  /** Time at which the store was last restored from a backup, as far as this box knows. */
  storeRestoredAtMs: number;
  /**
   * Time at which this box learned of that era, and time by which the era had begun according to a
   * lease holder, on the agreed clock.
   */
  eraKnown: { sinceMs: number; reportedSinceWallClockMs: number };
  /**
   * Time at which the store last stopped answering this box, and time at which it answered again
   * after an outage for all boxes.
   */
  storeLostAtMs: number;
  storeReturnedAtMs: number;
  /** Time at which the store last answered a call of each feed; missing before. */
  feedAnsweredAtMs: Partial<Record<StoreFeed, number>>;
  /** Times at which, as peers have shown, this box knew what the store held. */
  feedConfirmedAtMs: Record<SharedFeed, number>;
  /** Feeds whose last call brought no answer, with the time of that. */
  failedFeeds: Map<StoreFeed, number>;
  /** Age of the registry right before its feed's last answer, in ms: how late a change in that answer may be; -1 for the first one. */
  registryGapMs: number;
  /** Whether the registry is older than the users' bound for servers that drain. */
  isRegistryOverdue: boolean;
  /** Time at which the store last answered this box; undefined before. */
  storeContactAtMs: number | undefined;
  /** Time at which the store last answered a peer, as reported by peers. */
  storeContactByPeerAtMs: number;
  requests: Map<number, RequestRecord>;
  /** Streams that may be taken up, and the software versions at which they began. */
  streamVersions: StreamVersions;
  /** Requests that arrived before the configuration and the servers were known. */
  pendingRequests: PendingRequest[];
  quotas: Map<string, QuotaView>;
  /** This box's share of all limits. */
  part: LimitShare;
  /** Reserve of that share for the time after a restart. */
  restartReserve: RestartReserve;
  /** Pending requests for units of other boxes, by their id. */
  unitRequests: Map<number, UnitRequest>;
  nextAskId: number;
  /** Units that this box lent recently, by borrower and request id. */
  lentUnits: Map<string, LentUnits>;
  /** Requests that wait for units of other boxes, in order of arrival. */
  waitingForUnits: WaitingSend[];
  /**
   * Units reserved for refused requests: by this box, by others according to gossip, and
   * reservations whose callers have returned.
   */
  unitReservations: { own: UnitReservation[]; ofPeers: UnitReservation[]; used: UnitReservation[] };
  retryBudgets: Map<string, RetryBudget>;
  peers: Map<string, PeerView>;
  /** When a life of a box that this one had heard last ended, as far as it has noticed. */
  lifeEndedAtMs: number;
  /**
   * Peer that sends the summed-up gossip of all others to this box; undefined if this box has no
   * hub.
   */
  hubId: string | undefined;
  /** Time at which that peer became the hub of this box. */
  hubSinceMs: number;
  /** Totals that other boxes reported for themselves, and that hubs reported for others. */
  totalsFromBoxes: ReceivedTotals;
  totalsFromHubs: ReceivedTotals;
  /** Zones from whose boxes this box receives nothing. */
  silentZones: ReadonlySet<string>;
  usageSentAtMs: number;
  peerSequence: number;
  gossipSentAtMs: number;
  lease: LeaseState;
  /** Wall clock minus store clock, in ms, as agreed by all boxes in a row of the store. */
  agreedClockOffsetMs: number | undefined;
  clockRequestedAtMs: number;
  /** True while the row with the agreed value may be missing. */
  clockRowIsLost: boolean;
  /** Difference between wall clock and monotonic clock at the last event, in ms. */
  wallClockAheadMs: number | undefined;
  /** Time of the last event, and of the first one after the process last stood still. */
  lastEventAtMs: number;
  stalledAtMs: number;
  /** Time at which this box last resumed from a suspension, as far as it knows. */
  resumedAtMs: number;
  /**
   * Monotonic time of this box at the store's time 0; undefined before the first answer with a
   * time.
   */
  storeEpochMs: number | undefined;
  usage: Map<number, UsageWindow>;
  /** Counts of requests that started before the agreed clock was known. */
  unplacedUsage: UnplacedCount[];
  /** Time at which this box last received the usage counts of each other box, by box id. */
  usageReceivedAtMs: Map<string, number>;
  /** True if counts have changed since the last checkpoint. */
  usageChanged: boolean;
  checkpointAtMs: number;
  /** Last known version of the checkpoint row; 0 before. */
  checkpointVersion: number;
  /** Fencing token under which this box last read or wrote the checkpoint. */
  checkpointFence: number | undefined;
  /** Roll-outs ordered last, by service. */
  rollouts: Map<string, RolloutView>;
  rolloutsEvaluatedAtMs: number;
  orders: Map<string, EngineOrder>;
  plannedAtMs: number;
  /**
   * Prompt tokens that this box has sent for processing since its start, without those in a
   * server's cache.
   */
  workTokens: number;
  /** The same for all boxes, at the last plan. */
  workTokensAtLastPlan: number;
  /** Prompt tokens per second over all boxes, averaged over seconds and over a longer time. */
  tokensPerSecond: LoadAverage;
  /** Statistics of this box's own sends, by service. */
  ownSends: Map<string, OwnSends>;
  /** Models last fitted from sends of this box and its peers, by service. */
  engineModels: Map<string, { model: EngineModel; fittedAtMs: number }>;
  /** Speeds and large requests on which placement by size is based, by service. */
  placements: Map<string, ServicePlacement>;
  /** Sums from which the speeds of servers are estimated, and the estimates. */
  serverSpeeds: ServerSpeedsState;
  /** Requests in progress over all boxes, averaged over the same times, by service. */
  openRequests: Map<string, LoadAverage>;
  /** Time at which this box first saw any load, its own or that of peers; undefined before. */
  loadSinceMs: number | undefined;
  /**
   * On-demand engines that were present before the registry was complete and any request arrived,
   * by service.
   */
  initialOnDemand: Map<string, Set<string>>;
  stabilizedNeeds: Map<string, StabilizedNeed>;
  /** Time until which no further reclaimable engines are available, by service and zone. */
  outOfCapacityUntilMs: Map<string, number>;
  /** Time until which more engines are expected to be reclaimed, by service. */
  reclaimsExpectedUntilMs: Map<string, number>;
  /** Reclaimable engines that accepted requests at the last plan, by service and zone. */
  readyReclaimable: Map<string, number>;
  /** Work by service and workspace, and retry times, for sharing capacity that is short. */
  workspaceShares: WorkspaceShares;
  /** How long recent plain answers took, by route. */
  answerTimes: Map<string, AnswerTimes>;
  /** How long they took to leave to callers that did not read them at once, by route. */
  deliveryTimes: Map<string, AnswerTimes>;
  stoppingSinceMs: number | undefined;
  stopped: boolean;
}

/** Returns empty totals. */
export function createReceivedTotals(): ReceivedTotals {
  return { admitted: new Map(), workTokens: 0 };
}

/**
 * Updates a stabilized value: a lower value takes effect only once the hold time of the higher one
 * is over.
 */
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

/** Adds a log line to the effects of a step. */
export function log(step: Step, event: string, fields: Readonly<Record<string, LogField>>): void {
  step.effects.push({ type: 'log', event, fields });
}

/** Requests an operation of the table; the answer event carries the purpose. */
export function requestTable(step: Step, purpose: TablePurpose, op: TableOp): void {
  step.effects.push({ type: 'requestTable', purpose, op, sentAtMs: step.nowMs });
}
