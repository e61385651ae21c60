/** The decisions of reedlug as a reducer over events: state, policies, plans and invariants. */
export * from './defaults.js';
export * from './invariants/index.js';
export * from './mutations.js';
export * from './plans/items.js';
export { digestMatches } from './plans/draft.js';
export * from './reduce.js';
export { workspaceView } from './slices/limits.js';
export { isReady } from './slices/readiness.js';
export * from './state.js';
export * from './types/index.js';
