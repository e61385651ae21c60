/** Options and runtime state of an entry daemon. */
import type {
  BoxEvent,
  BoxState,
  DecisionSettings,
  EventBody,
  OperatorAnswer,
} from 'reedlug-decisions';
import type { EngineStream } from '../backends/engineClient.js';
import type { ServerPools } from '../backends/serverPools.js';
import type { Histograms } from '../observe/histograms.js';
import type { Logger } from 'reedlug-gateway';
import type { Metrics } from '../observe/metrics.js';
import type { PeerLink, PeerTls } from '../peers/peerLink.js';
import type { PlatformClients } from '../platform/platformClients.js';
import type { BoxSettings, Settings } from '../settings/settingsTypes.js';
import type { AnswerStore } from './answerStore.js';
import type { Exchange, Payload } from './exchange.js';

/** Simulated network partitions for tests; every function returns false in production. */
export interface PartitionSwitches {
  /** Returns true while this box cannot reach the platform. */
  platform: () => boolean;
  /** Returns true while this box cannot reach a zone. */
  zone: (zone: string) => boolean;
}

/** Options of a daemon. */
export interface EntryDaemonOptions {
  settings: Settings;
  box: BoxSettings;
  incarnation: number;
  peerSecret: string;
  peerTls: PeerTls | undefined;
  logger: Logger;
  partitions: PartitionSwitches;
  /** Receives each event, to record a trace. */
  onEvent: ((event: BoxEvent) => void) | undefined;
  /** Receives the seed, start time and settings of the initial state, for the head of a trace. */
  onStarted?: (head: {
    kind: 'head';
    seed: number;
    startedAtMs: number;
    settings: DecisionSettings;
  }) => void;
  /** Called without an error after a planned stop, or with the error of a broken invariant. */
  onStopped: (error: Error | undefined) => void;
}

/** State that is shared by the effects of one daemon. */
export interface Runtime {
  options: EntryDaemonOptions;
  state: BoxState;
  emit: (event: EventBody) => void;
  pools: ServerPools;
  platform: PlatformClients;
  peerLink: PeerLink | undefined;
  exchanges: Map<string, Exchange>;
  payloads: Map<string, Payload>;
  streams: Map<string, EngineStream>;
  calls: Map<string, AbortController>;
  answers: AnswerStore;
  pendingOperatorRequests: Map<string, (answer: OperatorAnswer) => void>;
  histograms: Histograms;
  metrics: Metrics;
  lastTokenAtMs: Map<string, number>;
}
