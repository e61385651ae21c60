/** What a box keeps about servers, queues, peers, workspaces and orders. */
import type { FairQueue, TokenBucket } from 'reedlug-coordination';
import type { EngineReport } from './order.js';
import type { PoolLoad, WorkspaceDemand } from './peer.js';
import type { ServerSpec, WorkspaceLimits } from './settings.js';

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
