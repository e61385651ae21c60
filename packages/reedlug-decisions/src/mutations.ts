/**
 * Injected faults that test the checker itself. Each one breaks an invariant;
 * none is enabled in production.
 */
export const Mutation = {
  /** Retries a request that may not be repeated. */
  retryNonRepeatable: 'retryNonRepeatable',
  /** Reports `notRun` for a lost request. */
  callLossNotRun: 'callLossNotRun',
  /** Reports an outcome twice. */
  settleTwice: 'settleTwice',
  /** Drops a request that should go back to its queue. */
  forgetRequeued: 'forgetRequeued',
  /** Delivers the tokens of any attempt, whatever their offset. */
  takeAnyTokens: 'takeAnyTokens',
  /** Trusts the box list although a server is known to be draining. */
  trustStaleList: 'trustStaleList',
  /** Applies an older revision over a newer one. */
  applyOlderRevision: 'applyOlderRevision',
  /** Acquires the lease with a fencing token that was used before. */
  reuseFence: 'reuseFence',
  /** Sends orders after the safety margin of the lease has begun. */
  skipLeaseMargin: 'skipLeaseMargin',
  /** Does not release the slot of a closed attempt. */
  leakPlace: 'leakPlace',
  /** Sends a keyed request before its claim is confirmed. */
  skipClaim: 'skipClaim',
  /** Runs a keyed request again when the holder of its claim is gone. */
  rerunWhenHolderGone: 'rerunWhenHolderGone',
} as const;
export type Mutation = (typeof Mutation)[keyof typeof Mutation];
