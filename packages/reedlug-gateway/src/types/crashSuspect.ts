/** Requests under which servers crashed, as a box knows them and as boxes tell each other. */

/** A server's life that ended while a request was open there that had not run for long. */
export interface ServerCrash {
  serverId: string;
  /** Start of that life; undefined where the server does not tell. */
  bornAtMs: number | undefined;
  /** When the request was sent there, and when the server was gone, on this box's clock. */
  sentAtMs: number;
  endedAtMs: number;
}

/** A request that may crash the servers that run it. */
export interface CrashSuspect {
  /** Workspace and digest: alike whenever the request comes again, at whatever box. */
  key: string;
  /** Crashes since its last good run, in the order of their time. */
  crashes: ServerCrash[];
  /** When a run of it last went well; before the start of the clock where none is known. */
  goodRunAtMs: number;
  /** Since when it is sent to no server any more. */
  blockedSinceMs: number | undefined;
  /** When it is judged; undefined while nothing is to be decided. */
  evaluationDueAtMs: number | undefined;
  /** When it last came to a box, or crashed a server. */
  seenAtMs: number;
}

/** A crash as it is told: server, start of its life, and how long ago it was sent there and ended, in ms. */
export type CrashEntry = readonly [string, number | null, number, number];

/** A suspect as it is told: all times are ages in ms, since boxes have no common clock. */
export interface CrashSuspectGossip {
  key: string;
  crashes: readonly CrashEntry[];
  goodRunAgeMs: number | undefined;
  keptOutAgeMs: number | undefined;
  seenAgeMs: number;
}

/** What a box knows of requests under which servers crashed; told at once when it changes, and now and then. */
export interface CrashSuspectsMessage {
  kind: 'crashSuspects';
  boxId: string;
  suspects: readonly CrashSuspectGossip[];
  /**
   * Crashes of the last moments, whoever was there. Who is cleared before the next tick is
   * told without its crashes: a box that heard of three of five at one moment took them for
   * all, and kept a popular request out.
   */
  recent: readonly CrashEntry[];
}

/** Key of the row in the table. */
export const CRASH_SUSPECTS_KEY = 'crash-suspects';

/** The row: suspects as told, with the store's time at which their ages were true. */
export interface CrashSuspectsRow {
  storeNowMs: number;
  suspects: readonly CrashSuspectGossip[];
}

/** A server with lost sends, until it is known whether it has crashed. */
export interface LostServer {
  serverId: string;
  bornAtMs: number | undefined;
  firstLostAtMs: number;
  sends: { key: string; sentAtMs: number; lostAtMs: number }[];
  /** True once it is known that this life is over. */
  isGone: boolean;
}

/** What a box knows of the row of suspects in the table. */
export interface CrashRowState {
  /** Undefined until it is read, and where a write may have been done. */
  version: number | undefined;
  /** What it says in short. */
  writtenSignature: string;
  requestedAtMs: number;
  /** True while this box wrote it last, as far as it knows. */
  isLastWriter: boolean;
  /** True once this box's own sends showed what the row may lack. */
  hasUnwrittenObservations: boolean;
}
