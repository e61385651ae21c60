/** Randomised check, policy measurement and replay of reedlug's decisions. */
export * from './check/checkPlan.js';
export * from './check/runCheck.js';
export * from './check/runSeed.js';
export * from './check/shrink.js';
