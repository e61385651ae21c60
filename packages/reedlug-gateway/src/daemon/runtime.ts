/** What the parts of a running daemon share. */
import type { PlatformAdapter, PlatformCloud, PlatformStore } from '../adapter.js';
import type { GatewayMetrics } from '../observe/gatewayMetrics.js';
import type { Logger } from '../observe/logger.js';
import type { PlatformCallCounts } from '../observe/platformCalls.js';
import type { GatewayState } from '../state.js';
import type { EventBody } from '../types/event.js';
import type { GatewaySettings } from '../types/settings.js';
import type { BufferShares } from '../policy/bufferShares.js';
import type { AnswerHolds } from './answerHolds.js';
import type { AnswerBudget, RequestBudget } from './bufferBudget.js';
import type { BackendAttempt } from './backendAttempt.js';
import type { CallerExchange } from './callerServer.js';
import type { Clock } from './clock.js';
import type { ConnectionPool } from './connectionPool.js';
import type { PeerSocket } from './peerSocket.js';
import type { PlatformFeeds } from './platformFeeds.js';
import type { ReadProgress } from './readProgress.js';
import type { ReadTurns } from './readTurns.js';
import type { RegistryReader } from './registryReader.js';
import type { InternalFaults } from './internalFaults.js';
import type { LinkChecker } from './linkChecker.js';
import type { ThreadLoadMeter } from './threadLoad.js';
import type { ServerDialer } from './serverDialer.js';
import type { StateFetcher } from './stateTransfer/stateFetcher.js';

/** State, connections and services that the parts of a running daemon share. */
export interface Runtime {
  settings: GatewaySettings;
  adapter: PlatformAdapter;
  store: PlatformStore;
  cloud: PlatformCloud | undefined;
  state: GatewayState;
  clock: Clock;
  dialer: ServerDialer;
  linkChecker: LinkChecker;
  pool: ConnectionPool;
  peers: PeerSocket;
  /** Gets states from other boxes. */
  states: StateFetcher;
  /** Undefined until the daemon follows the store. */
  feeds: PlatformFeeds | undefined;
  registry: RegistryReader;
  exchanges: Map<number, CallerExchange>;
  faults: InternalFaults;
  attempts: Map<number, BackendAttempt>;
  answerHolds: AnswerHolds;
  bufferShares: BufferShares;
  answerBudget: AnswerBudget;
  requestBudget: RequestBudget;
  readTurns: ReadTurns;
  threadLoad: ThreadLoadMeter;
  reads: ReadProgress;
  logger: Logger;
  metrics: GatewayMetrics;
  calls: PlatformCallCounts;
  emit: (body: EventBody) => void;
  onStopped: () => void;
}
