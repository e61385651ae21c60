/**
 * Crash suspects: requests, and shared parts of prompts, that were open on servers that crashed, as a
 * box tracks them and as boxes exchange them.
 */

/** End of a server incarnation while a recently sent request was open there. */
export interface ServerCrash {
  serverId: string;
  /** Start of that incarnation; undefined if the server does not state it. */
  bornAtMs: number | undefined;
  /** Times at which the request was sent and at which the server ended, on this box's clock. */
  sentAtMs: number;
  endedAtMs: number;
}

/**
 * A request that may crash the servers that run it, or a part of prompts that does, whatever else a
 * request holds.
 */
export interface CrashSuspect {
  /** Workspace and digest of the request, or service and id of the part: the same at all boxes. */
  key: string;
  /** Crashes since its last successful run, in order of time. */
  crashes: ServerCrash[];
  /** Time of its last successful run; negative infinity if none is known. */
  goodRunAtMs: number;
  /** Time since which it is no longer sent to any server; undefined while it is not blocked. */
  blockedSinceMs: number | undefined;
  /** Time at which it is evaluated; undefined while no evaluation is due. */
  evaluationDueAtMs: number | undefined;
  /** Time at which a box last received it, or at which it was last present at a crash. */
  seenAtMs: number;
}

/**
 * A crash in a message: server, start of its incarnation, and the ages of the send and of the
 * crash, in ms.
 */
export type CrashEntry = readonly [string, number | null, number, number];

/** A suspect in a message. All times are ages in ms, since boxes have no common clock. */
export interface CrashSuspectGossip {
  key: string;
  crashes: readonly CrashEntry[];
  goodRunAgeMs: number | undefined;
  keptOutAgeMs: number | undefined;
  seenAgeMs: number;
}

/** A lost send in a message: its crash, and the keys of the request and of its prompt parts. */
export type LostSendEntry = readonly [...CrashEntry, keys: readonly string[]];

/** A send that was open at a server that crashed, with the suspects that it may stand for. */
export interface LostSend {
  crash: ServerCrash;
  keys: readonly string[];
}

/** Crash suspects known to a box; sent at once after a change, and periodically. */
export interface CrashSuspectsMessage {
  kind: 'crashSuspects';
  boxId: string;
  suspects: readonly CrashSuspectGossip[];
  /** New lost sends; undefined in messages of older boxes. */
  lost?: readonly LostSendEntry[];
  /**
   * Recent crashes, whichever requests were present. A suspect that is cleared before the next
   * tick is sent without its crashes. A box that learned of only three of five simultaneous
   * crashes would take these for all, and block a popular request.
   */
  recent: readonly CrashEntry[];
}

/** Key of the table row that holds the crash suspects. */
export const CRASH_SUSPECTS_KEY = 'crash-suspects';

/** Table row of the crash suspects, with the store's time to which their ages refer. */
export interface CrashSuspectsRow {
  storeNowMs: number;
  suspects: readonly CrashSuspectGossip[];
}

/** A server on which attempts were lost, until it is known whether it has crashed. */
export interface LostServer {
  serverId: string;
  bornAtMs: number | undefined;
  firstLostAtMs: number;
  sends: { keys: readonly string[]; sentAtMs: number; lostAtMs: number }[];
  /** True once this incarnation is known to have ended. */
  isGone: boolean;
}

/** An answer that ended with its connection, before it was clear that its server goes on. */
export interface UncertainEnd {
  serverId: string;
  life: number;
  send: LostServer['sends'][number];
  /** Keys of its parts that are remembered if the server goes on. */
  goodParts: readonly string[];
}

/** State of a box with regard to the crash suspects row of the table. */
export interface CrashRowState {
  /** Version of the row; undefined until it is read, and after a write with an unknown outcome. */
  version: number | undefined;
  /** True from the start of the box until its first read of the row has ended, with or without an answer. */
  isFirstReadPending: boolean;
  /** Signature of the row's content. */
  writtenSignature: string;
  requestedAtMs: number;
  /** True while this box is the last writer, as far as it knows. */
  isLastWriter: boolean;
  /** True if this box's own sends gave results that the row may lack. */
  hasUnwrittenObservations: boolean;
}

/** Prefix of the keys of parts; no workspace has such a name. */
export const PART_PREFIX = 'part:';

/** Returns whether a key stands for a part of prompts. */
export function isPartKey(key: string): boolean {
  return key.startsWith(PART_PREFIX);
}
