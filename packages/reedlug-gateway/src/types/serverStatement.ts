/**
 * Server statements: what servers state about themselves in their answers. A server can state a
 * limit on requests per second, ask for a pause, or state that it is draining. A statement is
 * received by one box, applies to all boxes, and belongs to one incarnation of the server.
 */
import type { ServerIncarnation } from './server.js';

/** Statements of a server in the head of an answer. */
export interface AnswerStatements {
  limit: LimitStatement;
  /** True if the server accepts no new requests any more. */
  isDraining: boolean;
  /** Pause that a server asks for when it refuses a request, in ms; undefined if it states none. */
  pauseMs: number | undefined;
  /**
   * How many requests a second a brittle server may have to reject for want of room before it crashes;
   * undefined if it is not brittle.
   */
  rejectionsPerSecond: number | undefined;
}

/** Statement of an answer about its server's limit. */
export type LimitStatement =
  /** The answer states no limit, so an earlier limit has ended. */
  | { kind: 'none' }
  | { kind: 'limit'; perSecond: number }
  /** The stated limit is invalid and has no effect. */
  | { kind: 'odd'; value: string };

/** A statement in a message between boxes; ages are in ms at the time of sending. */
export type ServerStatement =
  | {
      kind: 'limit';
      /** Undefined once the server no longer states a limit. */
      perSecond: number | undefined;
      /** Ages of the request and of the receipt of its answer's head. */
      sentAgeMs: number;
      receivedAgeMs: number;
    }
  | {
      kind: 'rest';
      /** Remaining time of the pause that ends last, and the age of its request. */
      leftMs: number;
      askedAgeMs: number;
      /**
       * Age of the single request that a box sends to probe whether the pause still applies, and
       * the age of its success; undefined before.
       */
      probeAgeMs: number | undefined;
      servedAgeMs: number | undefined;
    }
  /** The server refused a request without asking for a pause. */
  | { kind: 'refusal'; ageMs: number }
  | { kind: 'leaving' };

/** A statement of one incarnation of a server. */
export interface IncarnationStatement extends ServerIncarnation {
  statement: ServerStatement;
}

/** Statements that one box received from servers, for all boxes. */
export interface ServerStatementsMessage {
  kind: 'serverStatements';
  boxId: string;
  statements: readonly IncarnationStatement[];
}

/** Progress of a box in announcing a statement to others. */
export interface Announcement {
  /** Time at which this box learned the current statement. */
  changedAtMs: number;
  /**
   * Time at which it last announced the statement, or received it from a box that announces it;
   * undefined before.
   */
  announcedAtMs: number | undefined;
}

/** Statements of one incarnation of a server, as known to a box. */
export interface IncarnationStatements extends ServerIncarnation {
  limit: ServerLimit | undefined;
  rest: ServerPause | undefined;
  /** Last refusal without a pause. */
  refusal: ServerRefusal | undefined;
  /** Set once the server has stated that it is draining, until the end of the incarnation. */
  leaving: ServerDraining | undefined;
  /** Time at which the incarnation was last in the registry, as known to this box. */
  listedAtMs: number;
}

/**
 * A server's limit as stated by one of its answers. Answers overtake each other, so both ends of
 * the interval in which the server made the statement are kept.
 */
export interface LimitObservation {
  /** Undefined once the server no longer states a limit. */
  perSecond: number | undefined;
  /**
   * Times at which the request was sent and the head of its answer was received, on this box's
   * clock.
   */
  sentAtMs: number;
  receivedAtMs: number;
}

/** Limit of one incarnation of a server, as known to a box. */
export interface ServerLimit extends LimitObservation {
  /** Last stated limit, also after its end. */
  lastPerSecond: number;
  /** Time at which this box first learned of a limit of the server. */
  knownSinceMs: number;
  announcement: Announcement;
  /** Undefined before the first check. */
  rank: SenderRank | undefined;
  /** Sends of this box to the server. */
  sends: LimitedSends;
}

/** Sends of this box to a limited server. */
export interface LimitedSends {
  /** Times of the latest sends, oldest first. */
  atMs: number[];
  /** Time since which this box is among those that share the limit; undefined while it is not. */
  sharingSinceMs: number | undefined;
  /** True if it replaced another box, which may have used up the preceding window. */
  replacedAnotherBox: boolean;
}

/** Pauses that a server asked for, on this box's clock; unknown times are negative infinity. */
export interface ServerPause {
  /** End of the pause that ends last, and the time at which it was requested. */
  untilMs: number;
  requestedAtMs: number;
  /** End of the last pause that was requested from this box itself. */
  ownUntilMs: number;
  /**
   * Times at which a box sent a request to probe whether the pause still applies, and at which it
   * succeeded.
   */
  probeAtMs: number;
  servedAtMs: number;
  announcement: Announcement;
  /** Undefined before the first check. */
  rank: SenderRank | undefined;
}

/** A refusal without a pause, on this box's clock. */
export interface ServerRefusal {
  atMs: number;
  announcement: Announcement;
}

/** A statement of a server that it accepts no new requests any more. */
export interface ServerDraining {
  announcement: Announcement;
}

/**
 * Reachable part of the fleet: number of boxes, the share of them that is reachable, and whether
 * hubs sum up their gossip.
 */
export interface ReachableFleet {
  boxes: number;
  share: number;
  viaHubs: boolean;
  checkedAtMs: number;
}

/** Number of boxes that rank before this one among those that may send to a limited server. */
export interface SenderRank {
  rank: number;
  checkedAtMs: number;
}
