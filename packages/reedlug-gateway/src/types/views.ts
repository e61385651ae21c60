/** Parts of the state of a box: its views of servers, peers, limits, orders and usage. */
import type { UnitWindow } from '../policy/unitWindow.js';
import type { Configuration, RouteSpec, WorkspaceSpec } from './configuration.js';
import type { CloudCall } from './effect.js';
import type { PeerAddress, PeerMessage } from './peer.js';
import type { HostPort, ServerEntry } from './server.js';
import type { PlaceUse } from './brittleService.js';
import type { ServerLink } from './serverLink.js';
import type { IncarnationStatements } from './serverStatement.js';

/** A configuration with the look-up tables for requests. */
export interface ActiveConfiguration {
  configuration: Configuration;
  /** Routes of each host, longest prefix first. */
  routesByHost: Map<string, RouteSpec[]>;
  workspaceByKey: Map<string, WorkspaceSpec>;
  /** Time at which it was read after a call of the store that brought no answer; undefined otherwise. */
  readLateAtMs: number | undefined;
}

/** State of a box with regard to one backend server. */
export interface ServerView {
  entry: ServerEntry;
  /** Hash of the id, for rankings. */
  idHash: number;
  /**
   * Number of this incarnation among all server incarnations seen by this box; attempts refer to
   * it.
   */
  life: number;
  /** True once any source states that the server is draining; never reset for an incarnation. */
  leaving: boolean;
  /**
   * Set while the entry is missing after an outage of the store: the time at which the server is
   * removed.
   */
  expiresAtMs: number | undefined;
  /** Open work of this box at the server. */
  running: number;
  prefillTokens: number;
  unread: number;
  /** Prompt tokens of this box that the server has yet to process, by urgency. */
  unreadByUrgency: number[];
  /** Recent failures, and refusals without a pause; decays with a half-life of a few seconds. */
  failureScore: number;
  failureAtMs: number;
  /**
   * Time at which this box last received data from the server, or sent a request while nothing else
   * was open.
   */
  lastActivityAtMs: number;
  /** Time at which this box last received data from the server; negative infinity before. */
  receivedAtMs: number;
  /** Ratio of the time to its first events to that of the service; decays to 1. */
  slowness: number;
  slownessAtMs: number;
  /** Statements of its incarnation; undefined while there are none of relevance. */
  statements: IncarnationStatements | undefined;
  /**
   * Prompt parts that it is assumed to have cached, with their last use on this box's clock, least
   * recent first.
   */
  cachedParts: Map<string, number>;
  /** Undefined until this box uses the server while it is brittle. */
  placeUse: PlaceUse | undefined;
  /** Undefined unless the last direct connection to the server failed. */
  link: ServerLink | undefined;
  /** Time at which its port last refused a peer, or this box and peers after a lost send: this life has probably ended. */
  endSuspectedAtMs: number;
}

/** A workspace's limit, in force from a given time. */
export interface LimitInForce {
  fromMs: number;
  ratePerSecond: number;
  burst: number;
}

/** Units that another box lent, to be used once. */
export interface UnitLoan {
  units: number;
  /** Time until which they may be used, on this box's clock. */
  untilMs: number;
  askId: number;
  /** Number of the loan at its lender; undefined for loans of older boxes. */
  loanId?: number | undefined;
  lender: HostPort;
}

/** Pending request for units of other boxes. */
export interface UnitRequest {
  sentAtMs: number;
  workspace: string;
  /** Loans that were accepted for it, by lender and number. */
  loans: Set<string>;
}

/** Units that this box lent, kept while they may be returned. */
export interface LentUnits {
  workspace: string;
  units: number;
  /** Number of the loan at this box. */
  loanId: number;
  /** Time from which they count in the window of this box. */
  countsFromMs: number;
}

/** State of a workspace's limit at this box. */
export interface QuotaView {
  /**
   * Units recently charged to this box's share: own sends, and units lent, which count from the end
   * of the loan.
   */
  charged: UnitWindow;
  /** True once the possible use of the share before this box held it is charged. */
  isPriorUseCharged: boolean;
  /** Units lent to this box and not used yet, earliest end first. */
  loans: UnitLoan[];
  /** Limits in force during the last window, latest last; never empty. */
  limits: LimitInForce[];
  /** Units admitted by this box since its start. */
  admitted: number;
  /** Time at which a request for a stream that has begun last asked for units; negative infinity before. */
  begunAskedAtMs: number;
  /** Units charged since the start for streams that had begun before. */
  begunCharged: number;
}

/** State of a box with regard to a peer. */
export interface PeerView {
  boxId: string;
  address: PeerAddress;
  /** True while the store lists the peer, which is then kept even if it is silent. */
  listed: boolean;
  lastReceivedAtMs: number;
  /** Undefined until the first message, and again after a long silence. */
  message: PeerMessage | undefined;
  /** Amount that its messages have added to the totals of this box. */
  contribution: ReceivedTotals;
  /** Units requested from it, by or through this box, since its last message, by workspace. */
  requestedUnits: Map<string, number>;
  /** Number of its last registry change that this box applied; undefined before the first one. */
  registryNumber: number | undefined;
  gossipSentAtMs: number;
  /** Times at which it last failed to connect this box to a server, and last did. */
  connectFailedAtMs: number;
  connectedAtMs: number;
  /** True if it became silent as this box's hub, until its next message. */
  isSuspected: boolean;
  /** Versions newer than this box's that it announced, and since when; undefined otherwise. */
  /** Incarnation whose changes `registryNumber` counts. */
  registryIncarnation: number | undefined;
  ahead: { sinceMs: number; configurationVersion: number; serversRevision: number } | undefined;
  /**
   * Set while the peer announces a newer configuration than this box has: since when, and whether a
   * transfer from it has failed.
   */
  behindConfiguration: { sinceMs: number; hasFailed: boolean } | undefined;
  stateRequestedAtMs: number;
}

/** Sums of totals received from other boxes; they only increase while the boxes are known. */
export interface ReceivedTotals {
  /** Units admitted, by workspace. */
  admitted: Map<string, number>;
  /** Prompt tokens sent for processing. */
  workTokens: number;
}

/** Order for engines of one kind in one zone. */
export interface EngineOrder {
  call: Extract<CloudCall, { kind: 'orderEngines' }>;
  /** True once the platform has accepted the order. */
  taken: boolean;
  /**
   * Number of engines last granted by the platform, for this order or an earlier one, and the time
   * of that request.
   */
  granted: number;
  grantedAtMs: number;
  /**
   * Number of engines that orders have released and that still accepted requests at the last plan.
   */
  releasedEngines: number;
  /** Fencing token that the order was sent under; a new lease holder sends its own orders. */
  fence: number;
  callId: number;
  sentAtMs: number;
  notBeforeMs: number;
}

/** Moving averages of a load over seconds, and over a longer time. */
export interface LoadAverage {
  recent: number;
  long: number;
}

/** Longest answers of a route: since `sinceMs`, and in the period before. */
export interface AnswerTimes {
  sinceMs: number;
  longestMs: number;
  previousMs: number | undefined;
}

/** A value that decreases only after a hold time. */
export interface StabilizedValue {
  value: number;
  untilMs: number;
}

/** Numbers of engines that a service needs, stabilized against short dips of its load. */
export interface StabilizedNeed {
  usual: StabilizedValue;
  least: StabilizedValue;
}

/** Numbers of requests by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Number of requests of a workspace that started at about a time of this box's clock. */
export interface UnplacedCount {
  atMs: number;
  workspace: string;
  count: number;
}

/** A usage window to be reported to the platform. */
export interface UsageWindow {
  window: number;
  /** Counts by box and incarnation, then by workspace. */
  byBox: Map<string, UsageCounts>;
  /**
   * Counts to report, as decided by the store's row or received from a peer; no other counts may be
   * reported.
   */
  decided: UsageCounts | undefined;
  /** Time at which this box learned of that decision. */
  decidedAtMs: number;
  reported: boolean;
  /** Time until which the decision is announced to peers. */
  announcedUntilMs: number;
  /** True once it is logged that the window is not reported. */
  isOmissionLogged: boolean;
  /** True once it is logged that its decision waits for counts of silent boxes. */
  isDelayLogged: boolean;
  requestedAtMs: number;
  callId: number;
}
