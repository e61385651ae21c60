/** Simulates a whole fleet of gateway boxes in one process in virtual time. */
export { generateStoreRestores } from './scene/generateStoreRestores.js';
export { generateUnheardLeaves } from './scene/generateUnheardLeaves.js';
export * from './scene/generateCrashFaults.js';
export * from './scene/generateLimitFaults.js';
export * from './scene/generateRollout.js';
export { generateSoftwareVersions } from './scene/generateSoftwareVersions.js';
export { generateServerLimits } from './scene/generateServerLimits.js';
export * from './scene/generateBrittleServers.js';
export * from './scene/generateServerStatements.js';
export * from './report/outcomes.js';
export * from './report/sceneReport.js';
export type { Fairness, WorkspaceOutcomes, WorkspaceRow } from './report/workspaceRecord.js';
export type { BrokenGuarantee, LogLine } from './report/sceneRecord.js';
export type { BeginningCounts, CrashingRequestRow } from './faults/crashingRequests.js';
export * from './runScene.js';
export type * from './scene/scene.js';
export { readSceneFile, type SceneFileResult } from './scene/readSceneFile.js';
export { validateScene, type SceneFileError } from './scene/sceneValidation.js';
