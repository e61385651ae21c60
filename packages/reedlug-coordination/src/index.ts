/** Coordination components of reedlug; each one is usable without the others. */
export * from './attemptLedger.js';
export * from './breaker.js';
export * from './claims.js';
export * from './configReplica.js';
export * from './fairQueue.js';
export * from './lease.js';
export * from './membership.js';
export * from './outcome.js';
export * from './rendezvous.js';
export * from './retryBudget.js';
export * from './sharedLimit.js';
export * from './storeRevision.js';
export * from './tableTypes.js';
export * from './tokenBucket.js';
