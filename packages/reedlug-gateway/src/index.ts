/** The gateway: decisions, daemon, and the interface that a platform adapter fills. */
export type * from './adapter.js';
export { createGatewayState, type GatewayState } from './state.js';
export { reduce } from './reduce.js';
export { runGateway } from './daemon/runGateway.js';
export { startGatewayDaemon, type GatewayDaemon } from './daemon/gatewayDaemon.js';
export { explainRequest, type Explanation } from './observe/explainRequest.js';
export { createLogger, quoted, type Logger, type LogValue } from './observe/logger.js';
export { parseHostPort, validateGatewaySettings } from './settings/gatewaySettingsValidation.js';
export * from './types/configuration.js';
export type * from './types/effect.js';
export type * from './types/event.js';
export type * from './types/peer.js';
export type * from './types/request.js';
export * from './types/server.js';
export type * from './types/settings.js';
