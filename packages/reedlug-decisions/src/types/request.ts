/** Types of a caller's request, its attempts and its record. */
import type { AttemptLedger, Outcome, Reach } from 'reedlug-coordination';
import type { RequestClass, ServerKind } from './settings.js';

/** A request as it was received from a caller. The daemon keeps the body. */
export interface RequestSpec {
  requestId: string;
  workspaceId: string;
  requestClass: RequestClass;
  kind: ServerKind;
  /** Name of the model or service. */
  pool: string;
  /** Model version that the caller expects; empty for any version. */
  version: string;
  repeatable: boolean;
  idempotencyKey: string | undefined;
  /** Digest of the method, the path and the body. */
  digest: string;
  deadlineAtMs: number;
  /** Hash of the workspace and the conversation or prompt prefix. */
  affinityHash: number;
  promptTokens: number;
  maxTokens: number;
}

/** Why a request was settled with its outcome. */
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

/** One attempt to run a request at one server. */
export interface Attempt {
  attemptId: string;
  serverId: string;
  incarnation: number;
  sentAtMs: number;
  progressAtMs: number;
  firstTokenAtMs: number | undefined;
  reach: Reach;
  /** True while the attempt occupies a slot at its server. */
  open: boolean;
}

/** The phase that a request is in. */
export type RequestPhase =
  | { kind: 'claiming'; sinceMs: number }
  | { kind: 'queued'; sinceMs: number; notBeforeMs: number }
  | { kind: 'running' }
  | { kind: 'moving'; attemptId: string; sinceMs: number }
  | {
      kind: 'following';
      sourceRequestId: string;
      /** The box that is asked; undefined while all peers are asked. */
      holderId: string | undefined;
      /** When following stops unless an answer arrives; each answer extends it. */
      giveUpAtMs: number;
      nextLookupAtMs: number;
      /** True once the claim's row is read again because no peer had the request. */
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

/** The state of a request at a box. */
export interface RequestRecord {
  spec: RequestSpec;
  arrivedAtMs: number;
  phase: RequestPhase;
  attempts: Attempt[];
  ledger: AttemptLedger;
  /** Number of tokens delivered to the caller so far. */
  deliveredCount: number;
  /** True while this box holds the claim of the request in the table. */
  claimHeld: boolean;
  claimVersion: number;
  /** Ticket for the exported KV cache of a moved run. */
  kvTicket: KvTicket | undefined;
  /** Servers that refused or lost the request; used only if no other server is available. */
  avoidedServers: Set<string>;
  cachedTokens: number;
  /** Expected work in prompt-token equivalents, used by the queues. */
  cost: number;
  waitedMs: number | undefined;
  firstTokenMs: number | undefined;
  /** True while a retry still has to be granted by the retry budget. */
  needsRetryBudget: boolean;
  /** When the caller disconnected; the stream is kept for a reconnect. */
  callerGoneAtMs: number | undefined;
  /** Number of tokens that a reconnected caller already has. */
  reconnectOffset: number;
  /** Number of tokens that the caller had when another box handed the request over. */
  handoverOffset: number;
}

/** Identifies exported KV cache at its source server. */
export interface KvTicket {
  ticketId: string;
  sourceServerId: string;
  /** Offset of the next answer token. */
  offset: number;
}
