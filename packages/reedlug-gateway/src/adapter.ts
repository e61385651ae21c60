/**
 * Interface of a platform adapter, which encodes and decodes the platform's formats and calls its
 * services.
 *
 * An adapter has no state, timers, retries or decisions. Calls resolve with outcomes as values
 * and never reject.
 */
import type { TableAnswer, TableOp } from 'reedlug-coordination';
import type { Configuration } from './types/configuration.js';
import type { CloudCall, SendOrder } from './types/effect.js';
import type { CloudOutcome, PeerChange } from './types/event.js';
import type { PeerAddress } from './types/peer.js';
import type { PlatformCall } from './types/platformCall.js';
import type { AnswerVerdict, HeadFacts } from './types/request.js';
import type { RolloutOrder } from './types/rollout.js';
import type { ServerChange } from './types/server.js';
import type { AnswerStatements } from './types/serverStatement.js';
import type { GatewaySettings } from './types/settings.js';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

/** Head of a request, as received. */
export interface RequestHead {
  method: string;
  path: string;
  rawHeaders: RawHeaders;
}

/** A decoded request head, or the reason why it is malformed. */
export type DecodedRequest =
  { kind: 'request'; facts: HeadFacts } | { kind: 'malformed'; message: string };

/** A page of a collection that boxes follow in the store. */
export interface FeedPage<T> {
  items: readonly T[];
  /** Store revision from which to continue. */
  revision: number;
  /**
   * Revision of the latest item; 0 without items. It is the same at all boxes that have read the
   * same changes.
   */
  newestRevision: number;
  storeNowMs: number | undefined;
}

/** Answer of a call that reads or follows a collection. */
export type FeedAnswer<T> =
  | { kind: 'page'; page: FeedPage<T> }
  /** The requested changes are no longer available, so the whole collection must be read again. */
  | { kind: 'historyGone' }
  | { kind: 'unavailable'; reason: string };

/** Position from which to continue, and how long an answer may wait for a change. */
export interface FeedPosition {
  afterRevision: number;
  waitMs: number;
  timeoutMs: number;
  /** Aborts the call. */
  signal?: AbortSignal;
}

/** A collection that can be read completely or followed by its changes. */
export interface Feed<T> {
  readAll: (timeoutMs: number) => Promise<FeedAnswer<T>>;
  follow: (position: FeedPosition) => Promise<FeedAnswer<T>>;
}

/** An entry written by the operators. */
export type OperatorEntry =
  | { kind: 'configuration'; configuration: Configuration }
  | { kind: 'rollout'; order: RolloutOrder }
  /** An entry that this version cannot read; it is logged and has no effect. */
  | { kind: 'unreadable'; key: string; reason: string };

/**
 * Answer of the shared table, with the time and era of the store, which are undefined if it did not
 * answer.
 */
export interface StoreTableReply {
  answer: TableAnswer;
  storeNowMs: number | undefined;
  era: number | undefined;
}

/**
 * Store of the platform. A record under `ROLLOUT_KEY_PREFIX` is shown to the operators in the same
 * transaction.
 */
export interface PlatformStore {
  operators: Feed<OperatorEntry>;
  servers: Feed<ServerChange>;
  boxes: Feed<PeerChange>;
  /** Adds a box to the collection of boxes, or removes it if `address` is undefined. */
  announceBox: (
    boxId: string,
    address: PeerAddress | undefined,
    holdsPart: boolean,
  ) => Promise<boolean>;
  /** Carries out an operation; calls of the store are counted under `purpose`. */
  table: (op: TableOp, timeoutMs: number, purpose: string) => Promise<StoreTableReply>;
  close: () => Promise<void>;
}

/** Interface of the platform for the duties of the lease holder. */
export interface PlatformCloud {
  call: (params: {
    call: CloudCall;
    holderId: string;
    fence: number;
    timeoutMs: number;
  }) => Promise<CloudOutcome>;
  close: () => Promise<void>;
}

/** Head of an answer, with the id of the request that was sent. */
export interface AnswerHead {
  requestId: string;
  status: number;
  rawHeaders: RawHeaders;
}

/** Encodes and decodes the headers of requests and answers. */
export interface HeaderCodec {
  decodeRequest: (head: RequestHead) => DecodedRequest;
  /**
   * Returns the headers of a send to a server: the caller's end-to-end headers, and those set by
   * the order.
   */
  encodeSend: (rawHeaders: RawHeaders, order: SendOrder) => string[];
  evaluateAnswer: (head: AnswerHead) => AnswerVerdict;
  /**
   * Returns the statements of an answer about its server; undefined if it answers another request
   * or is from another server.
   */
  statementsOf: (head: AnswerHead) => AnswerStatements | undefined;
  /** Returns the end-to-end headers of an answer. */
  answerHeaders: (rawHeaders: RawHeaders) => string[];
  /** Returns the headers of an error answer of this box. */
  refusalHeaders: (params: {
    requestId: string | undefined;
    retryAfterMs: number | undefined;
  }) => string[];
}

/** Receives information that accompanies the answers of the store. */
export interface StoreListener {
  /**
   * Receives the era of each answer before the caller receives the answer; 0 if the store has no
   * eras.
   */
  onEra: (era: number) => void;
  /** Receives each call of the store that has ended, to be counted. */
  onCall: (call: PlatformCall) => void;
}

/** Adapter of a platform. */
export interface PlatformAdapter {
  headers: HeaderCodec;
  /** Creates the client of the store; nothing is sent before the first call. */
  openStore: (settings: GatewaySettings, listener: StoreListener) => PlatformStore;
  openCloud: (settings: GatewaySettings) => PlatformCloud | undefined;
}
