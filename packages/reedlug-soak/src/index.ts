/** Soak test that runs real boxes under injected faults. */
export * from './fault.js';
export * from './faultPlan.js';
export * from './guaranteeBounds.js';
export * from './guarantees.js';
export * from './runSoak.js';
export * from './soakRecord.js';
export { drawProcessorShare, planLeavingFaults } from './leavingCallers.js';
export { drawPartLoad } from './partCallers.js';
export { planStopsInTurn } from './stopCallers.js';
export { drawStreamLoad } from './streamCallers.js';
export { describeStreams } from './streamVersions.js';
export { planVersionLosses } from './versionFaultPlan.js';
