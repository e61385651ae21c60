/** Names of the invariants, and what one says when it is broken. */
import ModernError from 'modern-errors';

/** The invariants. */
export const InvariantName = {
  atMostOneRun: 'atMostOneRun',
  notRunHasNone: 'notRunHasNone',
  oneOutcome: 'oneOutcome',
  everyOutcome: 'everyOutcome',
  gaplessTokens: 'gaplessTokens',
  noWorkForLeaving: 'noWorkForLeaving',
  revisionGrows: 'revisionGrows',
  fenceGrows: 'fenceGrows',
  orderWithinLease: 'orderWithinLease',
  countsAddUp: 'countsAddUp',
} as const;
export type InvariantName = (typeof InvariantName)[keyof typeof InvariantName];

/** A broken invariant. */
export interface Violation {
  name: InvariantName;
  detail: string;
}

/** Stops the process; carries the violation and the event that brought it about. */
export const BrokenInvariantError = ModernError.subclass('BrokenInvariantError', {
  props: { violation: undefined as Violation | undefined, eventType: '' },
});
