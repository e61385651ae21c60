/** Messages that entry boxes send to each other. */
import type { ConfigDelta, ConfigSnapshot, Outcome } from 'reedlug-coordination';
import type { ConfirmedPlan } from './plan.js';
import type { Reason, RequestSpec } from './request.js';

/** Recent demand of one busy workspace at one box. */
export interface WorkspaceDemand {
  workspaceId: string;
  requestsPerSecond: number;
}

/** Load of a pool's engines in one zone, as reported by the box that probes them. */
export interface PoolLoad {
  pool: string;
  zone: string;
  engines: number;
  slots: number;
  /** Number of requests running or waiting. */
  busy: number;
}

/** A change in the state or load of a backend server, announced to peers. */
export interface ServerUpdate {
  serverId: string;
  incarnation: number;
  news: 'live' | 'silent' | 'leaving' | 'gone' | 'hot' | 'cool';
  /** Time until the server stops, in ms, for `leaving`. */
  leavesInMs: number | undefined;
}

/** The location of a cached prefix that is not at the server that peers would try first. */
export interface CacheUpdate {
  affinityHash: number;
  serverId: string;
  tokens: number;
}

/** The progress of a request at one box, sent to a box that follows the request. */
export interface RequestSnapshot {
  requestId: string;
  workspaceId: string;
  fromOffset: number;
  tokens: readonly string[];
  outcome: Outcome | undefined;
  reason: Reason | undefined;
  status: number | undefined;
  /** Answer of a plain service, which the daemon fills in on sending and reads on receipt. */
  answer: RelayedAnswer | undefined;
}

/** The answer of a plain service as it is sent over the peer link. */
export interface RelayedAnswer {
  contentType: string;
  /** Bytes of the body, one character per byte. */
  latin1: string;
}

/** A message to a peer, by kind. */
export type PeerMessage =
  | {
      kind: 'heartbeat';
      incarnation: number;
      zone: string;
      revision: number;
      draining: boolean;
      /** Undefined in heartbeats that carry no demands; the receiver keeps the last ones. */
      demands: readonly WorkspaceDemand[] | undefined;
      poolLoads: readonly PoolLoad[];
    }
  | { kind: 'serverNews'; news: readonly ServerUpdate[] }
  | { kind: 'cacheNews'; news: readonly CacheUpdate[] }
  | {
      kind: 'configDeltas';
      deltas: readonly ConfigDelta[];
      plans: readonly ConfirmedPlan[];
    }
  | { kind: 'configAsk'; afterRevision: number }
  | { kind: 'configSnapshot'; snapshot: ConfigSnapshot }
  | { kind: 'lookup'; requestId: string; workspaceId: string; fromOffset: number }
  | { kind: 'sight'; sight: RequestSnapshot }
  | { kind: 'notHere'; requestId: string }
  | {
      kind: 'handover';
      spec: RequestSpec;
      deadlineInMs: number;
      tokens: readonly string[];
      claimHeld: boolean;
      claimVersion: number;
      /** Body of the caller's request, which the daemon fills in on sending and reads on receipt. */
      payload: string | undefined;
    }
  | { kind: 'handoverTaken'; requestId: string };
