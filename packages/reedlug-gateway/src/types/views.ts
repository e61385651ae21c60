/** What a box knows of others: servers, peers, limits, orders, usage; parts of its state. */
import type { UnitWindow } from '../policy/unitWindow.js';
import type { Configuration, RouteSpec, WorkspaceSpec } from './configuration.js';
import type { CloudCall } from './effect.js';
import type { PeerAddress, PeerMessage } from './peer.js';
import type { HostPort, ServerEntry } from './server.js';
import type { IncarnationStatements } from './serverStatement.js';

/** A configuration with the look-ups that a request needs. */
export interface ActiveConfiguration {
  configuration: Configuration;
  /** Routes of each host, the longest prefix first. */
  routesByHost: Map<string, RouteSpec[]>;
  workspaceByKey: Map<string, WorkspaceSpec>;
}

/** What a box knows of one backend server. */
export interface ServerView {
  entry: ServerEntry;
  /** Hash of its id, for rankings. */
  idHash: number;
  /** Counts the lives of servers that this box has seen; attempts belong to one. */
  life: number;
  /** True once any source has said that it leaves; never undone for one id. */
  leaving: boolean;
  /** Set while its entry is missing after the store was away; the server goes at this time. */
  expiresAtMs: number | undefined;
  /** This box's open work there. */
  running: number;
  prefillTokens: number;
  unread: number;
  /** Prompt tokens of this box still to be read there, by urgency. */
  unreadByUrgency: number[];
  /** Recent failures, and refusals without a time, halved every few seconds. */
  failureScore: number;
  failureAtMs: number;
  /** When anything last came from it to this box, or was sent while nothing else was open. */
  lastActivityAtMs: number;
  /** How much longer its first events take than those of its service: 1 for as long; it goes back to 1 with time. */
  slowness: number;
  slownessAtMs: number;
  /** What its life has said in answers; undefined while nothing of it matters. */
  statements: IncarnationStatements | undefined;
  /** Prompt parts it is taken to keep, by last use on this box's clock, least recent first. */
  cachedParts: Map<string, number>;
}

/** A workspace's limit from a moment on. */
export interface LimitInForce {
  fromMs: number;
  ratePerSecond: number;
  burst: number;
}

/** Units that another box lent, for one use. */
export interface UnitLoan {
  units: number;
  /** Until when they may be sent, on this box's clock. */
  untilMs: number;
  askId: number;
  lender: HostPort;
}

/** Units that this box lent, while they may come back. */
export interface LentUnits {
  workspace: string;
  units: number;
  /** From when on they count in the window of this box. */
  countsFromMs: number;
}

/** A workspace's limit as this box sees it. */
export interface QuotaView {
  /** What this box's part was charged lately: own sends, and units lent, which count from the end of the loan. */
  charged: UnitWindow;
  /** True once what was sent before this box held its part is charged. */
  isPriorUseCharged: boolean;
  /** Units lent to this box and not sent yet, the first to end first. */
  loans: UnitLoan[];
  /** Limits of the last window, the newest last; never empty. */
  limits: LimitInForce[];
  /** Units that this box has sent since its start. */
  admitted: number;
}

/** A peer as last heard. */
export interface PeerView {
  boxId: string;
  address: PeerAddress;
  /** True while the store lists the box; then it is kept while it is silent. */
  listed: boolean;
  lastReceivedAtMs: number;
  /** Undefined until the first message, and again after a long silence. */
  message: PeerMessage | undefined;
  /** What its messages have added to the totals of this box. */
  contribution: ReceivedTotals;
  /** Units that this box has asked of it, or has had asked, since its last message, by workspace. */
  requestedUnits: Map<string, number>;
  /** Number of its last change of the registry that this box took; undefined before the first. */
  registryNumber: number | undefined;
  gossipSentAtMs: number;
  /** True once it was silent as this box's hub, until it is heard again. */
  isSuspected: boolean;
  /** Since when it has had a newer configuration or registry; undefined while it has none. */
  aheadSinceMs: number | undefined;
  stateRequestedAtMs: number;
}

/** Sums of what other boxes told; they only grow while the boxes are known. */
export interface ReceivedTotals {
  /** Units admitted, by workspace. */
  admitted: Map<string, number>;
  /** Prompt tokens sent to be read. */
  workTokens: number;
}

/** Engines ordered of one kind in one zone. */
export interface EngineOrder {
  call: Extract<CloudCall, { kind: 'orderEngines' }>;
  /** True once the platform has taken it. */
  taken: boolean;
  /** Engines that the platform last granted, with this order or one before, and when that was asked. */
  granted: number;
  grantedAtMs: number;
  /** Engines that orders have given up and that still took work at the last plan. */
  releasedEngines: number;
  /** The fence it was sent under; a new holder orders anew. */
  fence: number;
  callId: number;
  sentAtMs: number;
  notBeforeMs: number;
}

/** A load averaged over seconds, and over a longer time. */
export interface LoadAverage {
  recent: number;
  long: number;
}

/** A figure that falls only after a time. */
export interface StabilizedValue {
  value: number;
  untilMs: number;
}

/** Engines needed by a service, held against short dips of its load. */
export interface StabilizedNeed {
  usual: StabilizedValue;
  least: StabilizedValue;
}

/** Requests by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** A usage window on its way to the platform. */
export interface UsageWindow {
  window: number;
  /** Counts by box and incarnation, then workspace. */
  byBox: Map<string, UsageCounts>;
  /** What is to be reported, by the store's row or by a peer; nothing else may be. */
  decided: UsageCounts | undefined;
  /** When this box came to know that. */
  decidedAtMs: number;
  reported: boolean;
  /** Until when peers are told what is decided. */
  announcedUntilMs: number;
  /** True once the log says that it stays without a report. */
  isOmissionLogged: boolean;
  requestedAtMs: number;
  callId: number;
}
