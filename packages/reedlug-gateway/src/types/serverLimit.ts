/** Limits that servers in need name: requests a second from all boxes together. */

/** What an answer says of its server's limit. */
export type LimitWord =
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
