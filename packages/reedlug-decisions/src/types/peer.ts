/** Messages between entry boxes. */
import type { ConfigDelta, ConfigSnapshot, Outcome } from 'reedlug-coordination';
import type { ConfirmedPlan } from './plan.js';
import type { Reason, RequestSpec } from './request.js';

/** Recent demand of one busy workspace at one box. */
export interface WorkspaceDemand {
  workspaceId: string;
  requestsPerSecond: number;
}

/** Load of a pool's engines in one zone, as the box that probes them sees it. */
export interface PoolLoad {
  pool: string;
  zone: string;
  engines: number;
  slots: number;
  /** Requests running or waiting. */
  busy: number;
}

/** An exception about a backend server. */
export interface ServerUpdate {
  serverId: string;
  incarnation: number;
  news: 'live' | 'silent' | 'leaving' | 'gone' | 'hot' | 'cool';
  /** Ms from now until it leaves, for `leaving`. */
  leavesInMs: number | undefined;
}

/** A conversation whose cached prefix is not where peers would look first. */
export interface CacheUpdate {
  affinityHash: number;
  serverId: string;
  tokens: number;
}

/** What a box knows of a request, for another box. */
export interface RequestSnapshot {
  requestId: string;
  workspaceId: string;
  fromOffset: number;
  tokens: readonly string[];
  outcome: Outcome | undefined;
  reason: Reason | undefined;
  status: number | undefined;
  /** Answer of a plain service; put in and taken out by the daemon. */
  answer: RelayedAnswer | undefined;
}

/** The answer of a plain service on its way over the peer link. */
export interface RelayedAnswer {
  contentType: string;
  /** The body's bytes, one character each. */
  latin1: string;
}

/** A message to a peer. */
export type PeerMessage =
  | {
      kind: 'heartbeat';
      incarnation: number;
      zone: string;
      revision: number;
      draining: boolean;
      /** Undefined when it is not their turn; the last ones told stay. */
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
      /** The caller's body, put in and taken out by the daemon. */
      payload: string | undefined;
    }
  | { kind: 'handoverTaken'; requestId: string };
