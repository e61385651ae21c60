/** Roll-outs, which shift a service's traffic to another version of its servers, or back. */

/** An order of the operators to roll out a version. */
export interface RolloutOrder {
  service: string;
  targetVersion: string;
  /** Time from the order until its completion is due, in ms. */
  durationMs: number;
  /** Revision of the order in the store; a later order has a higher one. */
  revision: number;
}

/** Phase of a roll-out. */
export const RolloutPhase = {
  /** Nothing goes to the new version, because the phase decided so far is not known yet. */
  held: 'held',
  /**
   * A small sample goes to a few servers of the new version, so that each of them has a normal
   * load.
   */
  sampling: 'sampling',
  /** A larger sample goes to more servers of the new version. */
  widened: 'widened',
  /** All requests go to the new version; the old one finishes its open requests. */
  shifted: 'shifted',
  /** Completion is recorded, and the old servers stop. */
  completed: 'completed',
  /** The roll-out failed; nothing goes to the new version any more. */
  rolledBack: 'rolledBack',
} as const;
export type RolloutPhase = (typeof RolloutPhase)[keyof typeof RolloutPhase];

/** Counts of answers, and of bad ones among them. */
export interface AnswerTally {
  answers: number;
  /** Failures of the server, and incomplete answers. */
  failed: number;
  /** Answers that took several times the expected time. */
  slow: number;
}

/** Answers of one route from a server of the new version. */
export interface TrialTally extends AnswerTally {
  route: string;
  /** Empty for the sum over all servers outside the sample. */
  serverId: string;
}

/** Answers of one route from the old version. */
export interface BaselineTally extends AnswerTally {
  route: string;
}

/** Answers of both versions since the order. */
export interface RolloutEvidence {
  trial: readonly TrialTally[];
  usual: readonly BaselineTally[];
}

/** State of a roll-out in a message. */
export interface RolloutGossip {
  order: RolloutOrder;
  /** Time since the order, in ms. */
  ageMs: number;
  phase: RolloutPhase;
  /** Target versions of earlier roll-outs that failed; nothing is sent to them. */
  barred: readonly string[];
  evidence: RolloutEvidence;
}

/** Prefix of the keys of roll-out records in the shared table; the service's name follows. */
export const ROLLOUT_KEY_PREFIX = 'rollout/';

/**
 * Record of a roll-out in the shared table; the platform's adapter also shows it to the operators.
 */
export interface RolloutRecord {
  revision: number;
  targetVersion: string;
  phase: RolloutPhase;
  /** Time of the order on the store's clock, as far as known. */
  orderedAtStoreMs: number;
  barred: readonly string[];
}

/** State of a roll-out at a box. */
export interface RolloutView {
  order: RolloutOrder;
  phase: RolloutPhase;
  orderedAtMs: number;
  barred: readonly string[];
  /** Revisions of earlier orders, latest last. */
  earlierRevisions: readonly number[];
  /**
   * Time from the order until the first server of the new version was seen, in ms; undefined
   * before.
   */
  waitedMs: number | undefined;
  /** True if this box would complete the roll-out; the lease holder writes the completion. */
  wantsCompletion: boolean;
  /** Answers to this box's own sends, by version. */
  trial: Map<string, TrialTally>;
  usual: Map<string, BaselineTally>;
  /** Evidence of all boxes at the checks of the last seconds, latest last. */
  history: { atMs: number; evidence: RolloutEvidence }[];
  /**
   * Servers of the new version that get the sample, and those that get the larger one; set at each
   * tick.
   */
  sampleServers: ReadonlySet<string>;
  widenedServers: ReadonlySet<string>;
  /** Share of each route's requests in the sample. */
  shareByRoute: ReadonlyMap<string, number>;
  /** Version of the record in the table; undefined while unknown, 0 if there is none. */
  recordVersion: number | undefined;
  /** Phase in the table; undefined while unknown. */
  recordedPhase: RolloutPhase | undefined;
  requestedAtMs: number;
}
