/** Orders to engines and the cloud, and the wanted states behind them. */

/** The end state that an engine should reach; an order repeats it, so a second one harms nothing. */
export interface DesiredEngineState {
  model: string;
  version: string;
  adapters: readonly string[];
  role: 'serve' | 'drain';
}

/** What an engine reports of itself. */
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
  /** Share of recent prompt tokens found in the cache, 0 to 1. */
  kvHitShare: number;
}

/** A request to the cloud. */
export type CloudRequest =
  | {
      kind: 'start';
      zone: string;
      machineClass: string;
      reclaimable: boolean;
      pool: string;
      /** Makes a repeated start harmless. */
      startToken: string;
      fence: number;
    }
  | { kind: 'stop'; serverId: string; fence: number };

/** The three-way answer of the cloud and of an order. */
export type CommandResult =
  { kind: 'done' } | { kind: 'refused'; reason: string } | { kind: 'unknown' };
