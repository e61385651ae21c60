/** Faults and planned changes of a run. */
import type { BoundedFeed } from 'reedlug-platform/standins';

/** Kinds of network faults. */
export const LinkFault = {
  /** Drops all bytes in both directions; connections stay open. */
  silent: 'silent',
  /** Delivers requests but drops all responses. */
  oneWay: 'oneWay',
  /** Resets open connections and each new one. */
  reset: 'reset',
  /** Delays all bytes. */
  slow: 'slow',
} as const;
export type LinkFault = (typeof LinkFault)[keyof typeof LinkFault];

/** What a box that is partitioned from servers sees. */
export const Partition = {
  /** Open connections deliver nothing, and new ones hang. */
  hang: 'hang',
  /** Open connections are reset, and new ones refused. */
  reset: 'reset',
  /** Open connections go on, and new ones are refused. */
  refuseNew: 'refuseNew',
} as const;
export type Partition = (typeof Partition)[keyof typeof Partition];

/** A fault or a planned change. `box` and `server` are indexes. */
export type Fault =
  | { kind: 'pauseBox'; box: number; forMs: number }
  /** With `againAfterMs`, the box gets a second signal that long after the first one. */
  | { kind: 'stopBox'; box: number; backAfterMs: number; againAfterMs?: number }
  | { kind: 'killBox'; box: number; backAfterMs: number }
  | { kind: 'killAllBoxes'; backAfterMs: number }
  /** Kills the boxes at once; they start again together. */
  | { kind: 'killBoxes'; boxes: readonly number[]; backAfterMs: number }
  /** No box receives the datagrams of another one. */
  | { kind: 'boxesApart'; forMs: number }
  | { kind: 'storeLink'; box: number; how: LinkFault; forMs: number }
  | { kind: 'serverLink'; server: number; how: LinkFault; forMs: number }
  /**
   * The boxes are partitioned from a share of the servers; callers, the store and other boxes reach
   * them. Does nothing while another partition lasts.
   */
  | {
      kind: 'serversPartitioned';
      boxes: readonly number[];
      share: number;
      how: Partition;
      forMs: number;
    }
  /** The server neither reads nor answers for a while, then goes on where it was. */
  | { kind: 'serverStalls'; server: number; forMs: number }
  | { kind: 'storeAway'; forMs: number }
  /**
   * The store is unavailable for `forMs`, then restored from a backup that is `ageMs` old. Lost
   * writes are repeated within `againWithinMs`, and other writers use up `otherWrites` row versions
   * right after the restore.
   */
  | { kind: 'storeCopy'; ageMs: number; forMs: number; againWithinMs: number; otherWrites: number }
  | { kind: 'storeSlow'; delayMs: number; forMs: number }
  | { kind: 'storeLosesAnswers'; share: number; forMs: number }
  /** Each of the boxes loses the answer to its open or next poll of a feed, and collects its memory soon after. */
  | { kind: 'pollLost'; boxes: readonly number[]; feed: BoundedFeed }
  /** The open connections of the boxes to the store fall silent for good; new ones work. */
  | { kind: 'storeConnectionsSilent'; boxes: readonly number[] }
  | { kind: 'serverCrash'; server: number; backAfterMs: number }
  /** The server crashes; its next incarnation has the same id, and another version if one is given. */
  | { kind: 'serverRestarts'; server: number; backAfterMs: number; version?: string }
  /** Another writer adds an invalid registry entry; `odd` selects it from a fixed list. */
  | { kind: 'oddEntry'; odd: number }
  /** The server is drained; if `onlyListed` is set, it does not announce that in its responses. */
  | { kind: 'serverLeaves'; server: number; backAfterMs: number; onlyListed?: boolean }
  | { kind: 'serverFails'; server: number; how: 'fail' | 'lose' | 'refuse'; forMs: number }
  /** From now on a caller sends, every `everyMs`, a request that crashes its server. */
  | { kind: 'crashingCaller'; everyMs: number }
  /** The server announces a limit of requests per second in its responses. */
  | { kind: 'serverLimits'; server: number; perSecond: number; forMs: number }
  /**
   * The server announces only in its responses that it is draining, and later restarts under its
   * id.
   */
  | { kind: 'serverSaysLeaving'; server: number; forMs: number; backAfterMs: number }
  /**
   * The server refuses every request for `forMs` and asks for a pause; `restSeconds` is the header
   * value as sent.
   */
  | { kind: 'serverRests'; server: number; restSeconds: string; forMs: number }
  /** The server resets all its connections at each interval. */
  | { kind: 'serverResets'; server: number; everyMs: number; forMs: number }
  /** All servers of a software version end at once; later as many of another version start, if one is given. */
  | { kind: 'versionEnds'; version: string; backAs?: string }
  /**
   * A share of the servers of a software version end with their registry entries, and one of another version starts
   * at once for each, under its id or a new one.
   */
  | { kind: 'versionSwapped'; from: string; to: string; share: number; keepsId: boolean }
  /** Servers of a software version are drained one by one, and one of another version starts for each. */
  | { kind: 'versionReplaced'; from: string; to: string; everyMs: number }
  | { kind: 'configure' }
  | { kind: 'revokeKey' };

/** A fault with its time, counted from the start of the load. */
export interface PlannedFault {
  atMs: number;
  fault: Fault;
}

/** Returns the indexes of the first boxes. */
export function firstBoxes(count: number): number[] {
  return Array.from({ length: count }, (_, box) => box);
}
