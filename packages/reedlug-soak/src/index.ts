/** Soak of real boxes under faults. */
export * from './faultPlan.js';
export * from './promises.js';
export * from './runSoak.js';
export * from './soakRecord.js';
