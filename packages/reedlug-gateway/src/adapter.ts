/**
 * What the gateway asks of a platform: decoding and encoding, and calls.
 *
 * An adapter holds no state, timer, retry or decision. Calls resolve with
 * outcomes as values and never reject.
 */
import type { TableAnswer, TableOp } from 'reedlug-coordination';
import type { Configuration } from './types/configuration.js';
import type { CloudCall, SendOrder } from './types/effect.js';
import type { CloudOutcome, PeerChange } from './types/event.js';
import type { PeerAddress } from './types/peer.js';
import type { AnswerVerdict, HeadFacts } from './types/request.js';
import type { RolloutOrder } from './types/rollout.js';
import type { ServerChange } from './types/server.js';
import type { AnswerStatements } from './types/serverStatement.js';
import type { GatewaySettings } from './types/settings.js';

/** Names and values in turn, as they stood on the wire. */
export type RawHeaders = readonly string[];

/** A request's head as received. */
export interface RequestHead {
  method: string;
  path: string;
  rawHeaders: RawHeaders;
}

/** A head that was read, or why it is not one of the protocol. */
export type DecodedRequest =
  { kind: 'request'; facts: HeadFacts } | { kind: 'malformed'; message: string };

/** A collection of the store that boxes follow. */
export interface FeedPage<T> {
  items: readonly T[];
  /** Go on from here; a revision of the store, as all others here. */
  revision: number;
  /** Revision of the newest item; 0 without items. It is the same at all boxes that have read the same changes. */
  newestRevision: number;
  storeNowMs: number | undefined;
}

/** Answer of a call that reads or follows a collection. */
export type FeedAnswer<T> =
  | { kind: 'page'; page: FeedPage<T> }
  /** The changes asked for are no longer kept; read the whole again. */
  | { kind: 'historyGone' }
  | { kind: 'unavailable'; reason: string };

/** Where to go on, and how long an answer may wait for a change. */
export interface FeedPosition {
  afterRevision: number;
  waitMs: number;
  timeoutMs: number;
  /** Ends the call early. */
  signal?: AbortSignal;
}

/** One collection: its whole, and its changes. */
export interface Feed<T> {
  readAll: (timeoutMs: number) => Promise<FeedAnswer<T>>;
  follow: (position: FeedPosition) => Promise<FeedAnswer<T>>;
}

/** What the operators write. */
export type OperatorEntry =
  | { kind: 'configuration'; configuration: Configuration }
  | { kind: 'rollout'; order: RolloutOrder }
  /** Nothing that this version understands; it is told in the log and moves nothing. */
  | { kind: 'unreadable'; key: string; reason: string };

/** Answer of the shared table, and what the store told with it: undefined where it did not answer. */
export interface StoreTableReply {
  answer: TableAnswer;
  storeNowMs: number | undefined;
  era: number | undefined;
}

/** The platform's store. A record under `ROLLOUT_KEY_PREFIX` is shown to the operators in the same step. */
export interface PlatformStore {
  operators: Feed<OperatorEntry>;
  servers: Feed<ServerChange>;
  boxes: Feed<PeerChange>;
  /** Enters a box into the collection of boxes, or takes it out. */
  announceBox: (
    boxId: string,
    address: PeerAddress | undefined,
    holdsPart: boolean,
  ) => Promise<boolean>;
  table: (op: TableOp, timeoutMs: number) => Promise<StoreTableReply>;
  close: () => Promise<void>;
}

/** The platform's interface for duties. */
export interface PlatformCloud {
  call: (params: {
    call: CloudCall;
    holderId: string;
    fence: number;
    timeoutMs: number;
  }) => Promise<CloudOutcome>;
  close: () => Promise<void>;
}

/** An answer's head, with the id of the request that was sent. */
export interface AnswerHead {
  requestId: string;
  status: number;
  rawHeaders: RawHeaders;
}

/** Headers of requests and answers. */
export interface HeaderCodec {
  decodeRequest: (head: RequestHead) => DecodedRequest;
  /** The fields that go to a server: the caller's end-to-end ones, and those that the order sets. */
  encodeSend: (rawHeaders: RawHeaders, order: SendOrder) => string[];
  evaluateAnswer: (head: AnswerHead) => AnswerVerdict;
  /** What an answer says of its server; undefined where it answers another request, or comes from another server. */
  statementsOf: (head: AnswerHead) => AnswerStatements | undefined;
  /** The answer's end-to-end fields. */
  answerHeaders: (rawHeaders: RawHeaders) => string[];
  /** Fields of an answer of this box itself. */
  refusalHeaders: (params: {
    requestId: string | undefined;
    retryAfterMs: number | undefined;
  }) => string[];
}

/** What the store tells beside its answers. */
export interface StoreListener {
  /** The era of each answer, before whoever made the call has it; 0 of a store that tells none. */
  onEra: (era: number) => void;
}

/** A platform. */
export interface PlatformAdapter {
  headers: HeaderCodec;
  /** Opens the clients; nothing is sent before the first call. */
  openStore: (settings: GatewaySettings, listener: StoreListener) => PlatformStore;
  openCloud: (settings: GatewaySettings) => PlatformCloud | undefined;
}
