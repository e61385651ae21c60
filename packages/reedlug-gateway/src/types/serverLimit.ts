/** Limits that servers in need name: requests a second from all boxes together. */
import type { LimitedSends } from '../policy/serverLimit.js';

/** What the head of an answer says of its server, beside the answer itself. */
export interface AnswerStatements {
  limit: LimitStatement;
  /** The server takes no new requests any more. */
  isLeaving: boolean;
  /** Time for which a server that refused the request wants no other one, in ms; undefined where it does not tell. */
  restMs: number | undefined;
}

/** What an answer says of its server's limit. */
export type LimitStatement =
  /** It names none: a limit that was named before has ended. */
  | { kind: 'none' }
  | { kind: 'limit'; perSecond: number }
  /** What it says is no limit that can be kept, and changes nothing. */
  | { kind: 'odd'; value: string };

/**
 * What is known of a server's limit, by one answer of it. Answers overtake each other, so
 * both ends of the time in which the server said it are kept.
 */
export interface LimitFact {
  /** Undefined once the server names none any more. */
  perSecond: number | undefined;
  /** When the request was sent, and when the head of its answer came, on this box's clock. */
  sentAtMs: number;
  heardAtMs: number;
}

/** The fleet as a box hears it: its boxes, the share of them that is heard, and whether hubs sum up their news. */
export interface HeardFleet {
  boxes: number;
  share: number;
  byHubs: boolean;
  lookedAtMs: number;
}

/** Where a box stands among those that may send to a limited server: how many come before it. */
export interface SenderPlace {
  rank: number;
  lookedAtMs: number;
}

/** The limit of one life of a server as a box knows it. */
export interface ServerLimit extends LimitFact {
  /** The limit that was named last, also once there is none any more. */
  lastPerSecond: number;
  /** When this box first heard that the server has a limit. */
  knownSinceMs: number;
  /** When this box learned of the limit that stands, or of its end. */
  changedAtMs: number;
  /** What this box last told others of it, or was told, and when. */
  told: { perSecond: number | undefined; atMs: number } | undefined;
  /** Undefined before the first look. */
  place: SenderPlace | undefined;
  /** What this box sends to it. */
  sends: LimitedSends;
}

/** A limit as it is told: server, start of its life, requests a second, and how long ago it was asked and said, in ms. */
export type LimitRow = readonly [string, number | null, number | null, number, number];

/** A pause as it is told: server, start of its life, and how much longer it lasts, in ms. */
export type PauseRow = readonly [string, number | null, number];

/** What servers told one box and is meant for the fleet. */
export interface ServerFactsMessage {
  kind: 'serverFacts';
  boxId: string;
  limits: readonly LimitRow[];
  pauses: readonly PauseRow[];
}
