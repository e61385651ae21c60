/** Orders to engines, requests to the cloud, and the desired states of engines. */

/** The state that an engine should reach. An order carries all of it, so a repeated order is harmless. */
export interface DesiredEngineState {
  model: string;
  version: string;
  adapters: readonly string[];
  role: 'serve' | 'drain';
}

/** The status that an engine reports about itself. */
export interface EngineReport {
  incarnation: number;
  running: number;
  waiting: number;
  model: string;
  version: string;
  role: 'serve' | 'drain';
  leaving: boolean;
  /** Share of the KV cache in use, 0 to 1. */
  kvUsedShare: number;
  /** Share of recent prompt tokens that were found in the KV cache, 0 to 1. */
  kvHitShare: number;
}

/** A request to the cloud to start or stop a machine. */
export type CloudRequest =
  | {
      kind: 'start';
      zone: string;
      machineClass: string;
      reclaimable: boolean;
      pool: string;
      /** Idempotency token of the start: repeating it starts no second machine. */
      startToken: string;
      fence: number;
    }
  | { kind: 'stop'; serverId: string; fence: number };

/** The result of a cloud request or an order; `unknown` means that it may or may not have run. */
export type CommandResult =
  { kind: 'done' } | { kind: 'refused'; reason: string } | { kind: 'unknown' };
