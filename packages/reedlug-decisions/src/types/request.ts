/** A caller's request, its attempts and its record. */
import type { AttemptLedger, Outcome, Reach } from 'reedlug-coordination';
import type { RequestClass, ServerKind } from './settings.js';

/** A request as it was accepted from a caller; the body stays with the daemon. */
export interface RequestSpec {
  requestId: string;
  workspaceId: string;
  requestClass: RequestClass;
  kind: ServerKind;
  /** Model or service name. */
  pool: string;
  /** Model version that the caller expects; empty for any. */
  version: string;
  repeatable: boolean;
  idempotencyKey: string | undefined;
  /** Digest of method, path and body. */
  digest: string;
  deadlineAtMs: number;
  /** Hash of workspace plus conversation or prompt prefix. */
  affinityHash: number;
  promptTokens: number;
  maxTokens: number;
}

/** Why a request was refused or given up. */
export const Reason = {
  draining: 'draining',
  notReady: 'notReady',
  limited: 'limited',
  overloaded: 'overloaded',
  deadline: 'deadline',
  claimUnavailable: 'claimUnavailable',
  keyReused: 'keyReused',
  holderGone: 'holderGone',
  connectionLost: 'connectionLost',
  callerGone: 'callerGone',
  answered: 'answered',
  notFound: 'notFound',
  handedOver: 'handedOver',
} as const;
export type Reason = (typeof Reason)[keyof typeof Reason];

/** Why a server refused an attempt before running it. */
export const RefusalReason = {
  leaving: 'leaving',
  full: 'full',
  wrongModel: 'wrongModel',
  notConnected: 'notConnected',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** One try of a request at one server. */
export interface Attempt {
  attemptId: string;
  serverId: string;
  incarnation: number;
  sentAtMs: number;
  progressAtMs: number;
  firstTokenAtMs: number | undefined;
  reach: Reach;
  /** True while the attempt holds a place at its server. */
  open: boolean;
}

/** Where a request stands. */
export type RequestPhase =
  | { kind: 'claiming'; sinceMs: number }
  | { kind: 'queued'; sinceMs: number; notBeforeMs: number }
  | { kind: 'running' }
  | { kind: 'moving'; attemptId: string; sinceMs: number }
  | {
      kind: 'following';
      sourceRequestId: string;
      /** The box that was asked; undefined while all peers are asked. */
      holderId: string | undefined;
      /** Until when an answer is waited for; moved on by each answer. */
      giveUpAtMs: number;
      nextLookupAtMs: number;
      /** True once the claim's row is read again, after nobody had the request. */
      rereadingClaim: boolean;
    }
  | { kind: 'handing'; toBoxId: string; sinceMs: number; tries: number }
  | {
      kind: 'settled';
      outcome: Outcome;
      reason: Reason;
      status: number | undefined;
      atMs: number;
    };

/** Everything that a box holds about a request. */
export interface RequestRecord {
  spec: RequestSpec;
  arrivedAtMs: number;
  phase: RequestPhase;
  attempts: Attempt[];
  ledger: AttemptLedger;
  /** Tokens handed to the caller so far. */
  deliveredCount: number;
  /** True while a claim row of this box is open for it. */
  claimHeld: boolean;
  claimVersion: number;
  /** Where the KV cache of a moved run waits. */
  kvTicket: KvTicket | undefined;
  /** Servers that refused or lost it; avoided while others remain. */
  avoidedServers: Set<string>;
  cachedTokens: number;
  /** Expected work, used in the queues. */
  cost: number;
  waitedMs: number | undefined;
  firstTokenMs: number | undefined;
  /** True while a retry has not yet been granted by the budget. */
  needsRetryBudget: boolean;
  /** When the caller's connection went away, while its stream is kept for a reconnect. */
  callerGoneAtMs: number | undefined;
  /** Offset below which a reconnected caller already has the tokens. */
  reconnectOffset: number;
  /** Tokens that the caller had when another box handed the request over. */
  handoverOffset: number;
}

/** Names exported KV cache at its source. */
export interface KvTicket {
  ticketId: string;
  sourceServerId: string;
  /** Offset of the next token of the answer. */
  offset: number;
}
