/**
 * Deliberate faults by which the checker itself is checked. None is ever on in
 * production; each breaks one invariant.
 */
export const Mutation = {
  /** Sends a request again that may not be repeated. */
  retryNonRepeatable: 'retryNonRepeatable',
  /** Calls a lost request `notRun`. */
  callLossNotRun: 'callLossNotRun',
  /** Tells an outcome twice. */
  settleTwice: 'settleTwice',
  /** Forgets a request that goes back to its queue. */
  forgetRequeued: 'forgetRequeued',
  /** Takes tokens of any attempt, whatever their offset. */
  takeAnyTokens: 'takeAnyTokens',
  /** Believes a list that says that a leaving server lives. */
  trustStaleList: 'trustStaleList',
  /** Applies a late revision over a newer one. */
  applyOlderRevision: 'applyOlderRevision',
  /** Takes the lease under the first fence again. */
  reuseFence: 'reuseFence',
  /** Sends orders after the lease's margin. */
  skipLeaseMargin: 'skipLeaseMargin',
  /** Does not give a place at a server back. */
  leakPlace: 'leakPlace',
  /** Sends a keyed request before its claim is confirmed. */
  skipClaim: 'skipClaim',
  /** Runs a keyed request again when the claim's holder is gone. */
  rerunWhenHolderGone: 'rerunWhenHolderGone',
} as const;
export type Mutation = (typeof Mutation)[keyof typeof Mutation];
