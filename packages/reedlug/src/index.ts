/** Public API of the package: the entry daemon, its settings and the command line. */
export { runCli } from './cli.js';
export * from './daemon/entryDaemon.js';
export * from './daemon/exchange.js';
export * from './dev/devCluster.js';
export type { DevBox } from './dev/devMembers.js';
export { createCallerServer } from './http/callerServer.js';
export { hashKey } from './http/keys.js';
export * from './observe/histograms.js';
export { createLogger, quoted, type Logger, type LogValue } from 'reedlug-gateway';
export * from './settings/settingsFile.js';
export type * from './settings/settingsTypes.js';
export * from './settings/settingsSchema.js';
export * from './settings/settingsValidation.js';
