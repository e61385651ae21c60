/** Names of the invariants, and the error for a violation. */
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

/** A violated invariant. */
export interface Violation {
  name: InvariantName;
  detail: string;
}

/** Error that stops the process; carries the violation and the type of the event that caused it. */
export const BrokenInvariantError = ModernError.subclass('BrokenInvariantError', {
  props: { violation: undefined as Violation | undefined, eventType: '' },
});
