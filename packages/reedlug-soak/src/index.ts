/** Soak of real boxes under faults. */
export * from './faultPlan.js';
export * from './guarantees.js';
export * from './runSoak.js';
export * from './soakRecord.js';
