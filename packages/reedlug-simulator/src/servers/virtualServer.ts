/** A simulated server: the engine or plain server behind an entry of the registry. */
import type { ServerEntry } from 'reedlug-gateway';
import type { BatchEngine } from './batchEngine.js';
import type { PlainServer } from './plainServer.js';

/** The simulated engine or plain server behind an entry. */
export type ServerWork =
  { kind: 'engine'; engine: BatchEngine } | { kind: 'plain'; server: PlainServer };

/** A server of the world. */
export interface VirtualServer {
  entry: ServerEntry;
  work: ServerWork;
  startedAtMs: number;
  /** Whether the server has stopped responding and accepting connections. */
  isSilent: boolean;
  /** The limit that its answers state, and whether it rejects requests beyond it. */
  limit: { perSecond: number; turnsDown: boolean } | undefined;
  /** Whether it announces in its answers that it drains. */
  isDraining: boolean;
  /** The share of requests that it refuses, and the pause that its refusals request, if any. */
  refusing: { share: number; pauseMs: number | undefined } | undefined;
  /** Handlers by run id, called for the open requests when the server ends. */
  openRuns: Map<number, () => void>;
  /** Returns the number of requests that wait, or -1 while a slot is free. */
  waiting: () => number;
}
