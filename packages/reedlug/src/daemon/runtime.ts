/** What a running entry daemon is made of. */
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

/** Switches for tests of cuts; all closed in production. */
export interface PartitionSwitches {
  /** Nothing passes between this box and the platform. */
  platform: () => boolean;
  /** Nothing passes between this box and a zone. */
  zone: (zone: string) => boolean;
}

/** What a daemon needs. */
export interface EntryDaemonOptions {
  settings: Settings;
  box: BoxSettings;
  incarnation: number;
  peerSecret: string;
  peerTls: PeerTls | undefined;
  logger: Logger;
  partitions: PartitionSwitches;
  /** Takes each event, for a trace. */
  onEvent: ((event: BoxEvent) => void) | undefined;
  /** Takes what the state was made from, for the head of a trace. */
  onStarted?: (head: {
    kind: 'head';
    seed: number;
    startedAtMs: number;
    settings: DecisionSettings;
  }) => void;
  /** A planned stop has ended, or an invariant is broken. */
  onStopped: (error: Error | undefined) => void;
}

/** Everything that the effects work on. */
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
