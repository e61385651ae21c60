/** Randomised checks, policy measurements and trace replays of reedlug's decisions. */
export * from './check/checkPlan.js';
export * from './check/runCheck.js';
export * from './check/runSeed.js';
export * from './check/shrink.js';
export * from './measure/measure.js';
export * from './measure/policyVariants.js';
export { ScenarioName } from './measure/scenario.js';
export * from './measure/median.js';
export * from './replay/recordSeed.js';
export * from './replay/trace.js';
export * from './check/inForce.js';
