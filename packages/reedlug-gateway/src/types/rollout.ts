/** Roll-outs: a service's traffic moves to another version of its servers, or comes back. */

/** What the operators ask for. */
export interface RolloutOrder {
  service: string;
  targetVersion: string;
  /** Time from the order until its end is due, in ms. */
  durationMs: number;
  /** Revision of the order in the store; a later order has a higher one. */
  revision: number;
}

/** How far a roll-out is. */
export const RolloutPhase = {
  /** Nothing goes to the new version: what was decided before is not known yet. */
  held: 'held',
  /** A small sample goes to a few servers of the new version, so that each carries a usual load. */
  sampling: 'sampling',
  /** A larger sample goes to more of them. */
  widened: 'widened',
  /** Everything goes to the new version; the old one serves what it has begun. */
  shifted: 'shifted',
  /** The end is written: the old servers stop. */
  completed: 'completed',
  /** Nothing goes to the new version any more. */
  rolledBack: 'rolledBack',
} as const;
export type RolloutPhase = (typeof RolloutPhase)[keyof typeof RolloutPhase];

/** Answers of servers, and the bad ones among them. */
export interface AnswerTally {
  answers: number;
  /** The server's own failures, and answers that broke off. */
  failed: number;
  /** Answers that took several times as long as expected. */
  slow: number;
}

/** Answers of one route from the new version, by server. */
export interface TrialTally extends AnswerTally {
  route: string;
  /** Empty for all servers beyond those of the sample. */
  serverId: string;
}

/** Answers of one route from the version that served before. */
export interface BaselineTally extends AnswerTally {
  route: string;
}

/** What was seen of both versions since the order. */
export interface RolloutEvidence {
  trial: readonly TrialTally[];
  usual: readonly BaselineTally[];
}

/** What a box tells of a roll-out. */
export interface RolloutGossip {
  order: RolloutOrder;
  /** Time since the order, in ms. */
  ageMs: number;
  phase: RolloutPhase;
  /** Targets of earlier roll-outs that did not end well; nothing goes to them. */
  barred: readonly string[];
  evidence: RolloutEvidence;
}

/** Keys of the records in the shared table; a service's name follows. */
export const ROLLOUT_KEY_PREFIX = 'rollout/';

/** A roll-out as it stands in the shared table; the platform's adapter shows it to the operators as well. */
export interface RolloutRecord {
  revision: number;
  targetVersion: string;
  phase: RolloutPhase;
  /** The store's clock at the order, as far as known. */
  orderedAtStoreMs: number;
  barred: readonly string[];
}

/** A roll-out as a box knows it. */
export interface RolloutView {
  order: RolloutOrder;
  phase: RolloutPhase;
  orderedAtMs: number;
  barred: readonly string[];
  /** Revisions of the orders before it, the newest last. */
  earlierRevisions: readonly number[];
  /** Time from the order until a server of the new version was first seen, in ms; undefined before. */
  waitedMs: number | undefined;
  /** True when it may be completed as this box sees it; the holder of the lease writes that. */
  wantsCompletion: boolean;
  /** This box's own sends. */
  trial: Map<string, TrialTally>;
  usual: Map<string, BaselineTally>;
  /** What all boxes had seen at earlier looks of the last seconds, the newest last. */
  history: { atMs: number; evidence: RolloutEvidence }[];
  /** Servers of the new version that take the sample, and those of the larger one; set each tick. */
  sampleServers: ReadonlySet<string>;
  widenedServers: ReadonlySet<string>;
  /** Share of a route's requests that the sample takes. */
  shareByRoute: ReadonlyMap<string, number>;
  /** The record's version in the table; undefined while it is not known, 0 where there is none. */
  recordVersion: number | undefined;
  /** The phase that the table holds; undefined while it is not known. */
  recordedPhase: RolloutPhase | undefined;
  requestedAtMs: number;
}
