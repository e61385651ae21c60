/**
 * Public API of the gateway: reducer, daemon, and the interface that a platform adapter implements.
 */
export type * from './adapter.js';
export { createGatewayState, LEASE_KEY } from './createGatewayState.js';
export type { GatewayState } from './state.js';
export type { Clock } from './daemon/clock.js';
export * from './daemon/daemonTimes.js';
export { eventOfDatagram } from './daemon/datagramEvent.js';
export { createSequentialHandler } from './daemon/sequentialHandler.js';
export { createAnswerHolds, type AnswerHolds } from './daemon/answerHolds.js';
export { createRegistryReader } from './daemon/registryReader.js';
export { followPlatform, type PlatformFeeds } from './daemon/platformFeeds.js';
export { eventsOfTable } from './daemon/tableEvents.js';
export {
  eventsOfSharedState as eventsOfShared,
  sharedStateOf,
  type SharedState,
} from './slices/peers/sharedState.js';
export { isReady } from './slices/lifecycle/shutdown.js';
export { isNewEra } from './slices/store/storeEra.js';
export { hasRequest } from './slices/requests/requests.js';
export { NO_SERVER_RETRY_MS } from './slices/requests/requestCompletion.js';
export { reduce, reduceStep, type StepOutcome } from './reduce.js';
export type { StepFault } from './types/stepFault.js';
export { runGateway } from './daemon/runGateway.js';
export { startGatewayDaemon, type GatewayDaemon } from './daemon/gatewayDaemon.js';
export { explainRequest, type Explanation } from './observe/explainRequest.js';
export { summarizeLimitRefusals, limitRefusals } from './observe/limitRefusals.js';
export { createLogger, quoted, type Logger, type LogValue } from './observe/logger.js';
export {
  DEFAULT_ANSWER_SETTINGS,
  DEFAULT_LOAD_SETTINGS,
  DEFAULT_TUNNEL_SETTINGS,
} from './settings/defaults.js';
export { maxMinShares } from './policy/fairShare.js';
export { faultOfAddress } from './policy/serverAddress.js';
export { parseHostPort, validateGatewaySettings } from './settings/gatewaySettingsValidation.js';
export { CHECKPOINT_KEY } from './types/checkpoint.js';
export { parseLocatedYaml, type LocatedYaml } from './settings/locatedYaml.js';
export * from './types/configuration.js';
export type * from './types/effect.js';
export type * from './types/event.js';
export type * from './types/peer.js';
export * from './types/platformCall.js';
export type * from './types/request.js';
export * from './types/rollout.js';
export * from './types/server.js';
export * from './types/serverLink.js';
export type * from './types/serverStatement.js';
export type * from './types/settings.js';
export { StoreFeed } from './types/storeFeed.js';
