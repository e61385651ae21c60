/** State of a gateway box in virtual time. */
import type {
  AnswerHolds,
  EventBody,
  GatewaySettings,
  GatewayState,
  PlatformFeeds,
  PlatformStore,
} from 'reedlug-gateway';
import type { CallerAttempt } from '../callers/callerAttempt.js';

/** A send in progress. */
export interface VirtualSend {
  exchangeId: number;
  serverId: string;
  runId: number;
}

/** A box's process. */
export interface VirtualBox {
  id: string;
  settings: GatewaySettings;
  state: GatewayState;
  isAlive: boolean;
  /** Whether the box accepts connections. */
  isListening: boolean;
  /** False after a loss of power: connections time out. When only the process has ended, they are refused. */
  hasPower: boolean;
  incarnation: number;
  /** World time of the process's start. */
  startedAtMs: number;
  exchanges: Map<number, CallerAttempt>;
  sends: Map<number, VirtualSend>;
  nextExchangeId: number;
  /** Failed health checks in a row, and whether the load balancer sends callers to the box. */
  missedChecks: number;
  isInRotation: boolean;
  /** Real time spent in the reducer, in ms. */
  reducerMs: number;
  /** The process's connection to the store; undefined until it listens. */
  store: PlatformStore | undefined;
  feeds: PlatformFeeds | undefined;
  answerHolds: AnswerHolds | undefined;
  emit: (body: EventBody) => void;
}

/** Identity, address and size of a box. */
export interface BoxSpec {
  id: string;
  host: string;
  zone: string;
  processorCores: number;
}
