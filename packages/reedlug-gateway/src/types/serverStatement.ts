/**
 * What servers say of themselves in their answers: a limit of requests a second, a time of
 * rest, that they leave. Said to one box, it is meant for all, and belongs to one life.
 */
import type { ServerIncarnation } from './server.js';

/** What the head of an answer says of its server, beside the answer itself. */
export interface AnswerStatements {
  limit: LimitStatement;
  /** The server takes no new requests any more. */
  isDraining: boolean;
  /** Time for which a server that refused the request wants no other one, in ms; undefined where it does not tell. */
  pauseMs: number | undefined;
}

/** What an answer says of its server's limit. */
export type LimitStatement =
  /** It names none: a limit that was named before has ended. */
  | { kind: 'none' }
  | { kind: 'limit'; perSecond: number }
  /** What it says is no limit that can be kept, and changes nothing. */
  | { kind: 'odd'; value: string };

/** A statement as boxes tell it each other; ages are in ms when it is sent. */
export type ServerStatement =
  | {
      kind: 'limit';
      /** Undefined once the server names none any more. */
      perSecond: number | undefined;
      /** How long ago the request was sent, and the head of its answer received. */
      sentAgeMs: number;
      receivedAgeMs: number;
    }
  | {
      kind: 'rest';
      /** Until the last rest ends that was asked for, and since that was asked. */
      leftMs: number;
      askedAgeMs: number;
      /** Since a box sent the one request that shows whether it stands, and since that was served; undefined before. */
      probeAgeMs: number | undefined;
      servedAgeMs: number | undefined;
    }
  /** It refused a request and asked for no rest. */
  | { kind: 'refusal'; ageMs: number }
  | { kind: 'leaving' };

/** A statement of one life of a server. */
export interface IncarnationStatement extends ServerIncarnation {
  statement: ServerStatement;
}

/** What servers told one box and is meant for the fleet. */
export interface ServerStatementsMessage {
  kind: 'serverStatements';
  boxId: string;
  statements: readonly IncarnationStatement[];
}

/** How far a box has told others of a statement. */
export interface Announcement {
  /** When this box learned what stands now. */
  changedAtMs: number;
  /** When it last told others, or was told by one that tells them; undefined before. */
  announcedAtMs: number | undefined;
}

/** Everything that a box knows of the statements of one life of a server. */
export interface IncarnationStatements extends ServerIncarnation {
  limit: ServerLimit | undefined;
  rest: ServerPause | undefined;
  /** The last one without a time of rest. */
  refusal: ServerRefusal | undefined;
  /** Set once the server has said that it leaves; that ends with the life. */
  leaving: ServerDraining | undefined;
  /** When the life was last in the registry, as this box knows it. */
  listedAtMs: number;
}

/**
 * What is known of a server's limit, by one answer of it. Answers overtake each other, so
 * both ends of the time in which the server said it are kept.
 */
export interface LimitObservation {
  /** Undefined once the server names none any more. */
  perSecond: number | undefined;
  /** When the request was sent, and when the head of its answer came, on this box's clock. */
  sentAtMs: number;
  receivedAtMs: number;
}

/** The limit of one life of a server as a box knows it. */
export interface ServerLimit extends LimitObservation {
  /** The limit that was named last, also once there is none any more. */
  lastPerSecond: number;
  /** When this box first learned that the server has a limit. */
  knownSinceMs: number;
  announcement: Announcement;
  /** Undefined before the first look. */
  rank: SenderRank | undefined;
  /** What this box sends to it. */
  sends: LimitedSends;
}

/** This box's sends to a limited server. */
export interface LimitedSends {
  /** The latest ones, oldest first. */
  atMs: number[];
  /** Since when this box is one of those that share the limit; undefined while it is not. */
  sharingSinceMs: number | undefined;
  /** Whether it took the place of another box, which may have sent the whole of the window before. */
  replacedAnotherBox: boolean;
}

/** Rests that a server asked for, on this box's clock; times that are not known lie before all others. */
export interface ServerPause {
  /** When the last of them ends, and when that was asked. */
  untilMs: number;
  requestedAtMs: number;
  /** When the last one ends that this box was asked for itself. */
  ownUntilMs: number;
  /** When a box sent a request to learn whether the rest stands, and when that was served. */
  probeAtMs: number;
  servedAtMs: number;
  announcement: Announcement;
  /** Undefined before the first look. */
  rank: SenderRank | undefined;
}

/** A refusal without a time of rest, on this box's clock. */
export interface ServerRefusal {
  atMs: number;
  announcement: Announcement;
}

/** A server that takes no new requests any more. */
export interface ServerDraining {
  announcement: Announcement;
}

/** The fleet as a box reaches it: its boxes, the share of them that is heard, and whether hubs sum up their news. */
export interface ReachableFleet {
  boxes: number;
  share: number;
  viaHubs: boolean;
  checkedAtMs: number;
}

/** How many boxes come before this one among those that may send to a limited server. */
export interface SenderRank {
  rank: number;
  checkedAtMs: number;
}
