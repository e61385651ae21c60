/** Calls to the platform's services, as they are counted by what they are for and how they ended. */

/** Kind of a call. */
export const PlatformCallKind = { poll: 'poll', read: 'read', write: 'write' } as const;
export type PlatformCallKind = (typeof PlatformCallKind)[keyof typeof PlatformCallKind];

/** How a call ended. */
export const PlatformCallOutcome = {
  /** A read or poll with rows, or a write that was done. */
  done: 'done',
  /** A read or poll without rows. */
  empty: 'empty',
  /** A write whose condition did not hold. */
  conflict: 'conflict',
  /** Turned away by a service that is busy. */
  refused: 'refused',
  /** Any other answer. */
  failed: 'failed',
  /** No answer in time, a lost connection, or a call that was given up. */
  unanswered: 'unanswered',
} as const;
export type PlatformCallOutcome = (typeof PlatformCallOutcome)[keyof typeof PlatformCallOutcome];

/** What a call is for: the name of a feed, the kind of a table's purpose, or the box's own entry. */
export interface CallPurpose {
  purpose: string;
  kind: PlatformCallKind;
}

/** A call that has ended. */
export interface PlatformCall extends CallPurpose {
  outcome: PlatformCallOutcome;
}
