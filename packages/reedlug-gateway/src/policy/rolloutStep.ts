/**
 * Phases of a roll-out: a small sample, a larger one near the end, then all traffic.
 *
 * The users bound the requests that a bad version may get before its deadline, as a share of all
 * requests. So the sample stays small for as long as possible, and most of the bound is left for
 * the last seconds: a version that shows no fault before it gets all traffic may serve all of it
 * for 0.7 s until it is found bad.
 * For a roll-out of 12 s and a bound of a tenth, 8.3 s at 4 %, 2 s at 20 % and 0.7 s at 100 %
 * amount to 1.43 s of the traffic. The bound allows 1.2 s and 50 requests on top, which is 1.47 s
 * at 187 requests a second.
 */
import { RolloutPhase } from '../types/rollout.js';
import { Verdict } from './rolloutVerdict.js';

/**
 * Shares of the requests that the sample and the larger sample get, as factors of the allowed
 * share.
 */
const SAMPLE_BOUND_FACTOR = 0.4;
const WIDENED_BOUND_FACTOR = 2;
/**
 * Time between the start of the larger sample and the shift of all traffic, as a share of the
 * duration.
 */
const WIDENED_DURATION_SHARE = 1 / 6;
/**
 * Time from the shift of all traffic until completion is written, in ms: gossip reaches all boxes
 * within 0.4 s, most streams end, and a version that fails under load shows it.
 */
const SHIFTED_DURATION_MS = 1200;
/**
 * Time reserved before the deadline for writing completion, in ms: it covers an order that is seen
 * up to 0.2 s late, and one retry.
 */
const WRITE_MARGIN_MS = 500;
/**
 * Minimum number of servers of the new version for completion, as a share of the old ones: fewer
 * cannot carry the load.
 */
const MIN_SERVERS_SHARE = 0.3;
/** Maximum factor by which the sample grows if servers of the new version started late. */
const MAX_CATCH_UP_FACTOR = 2;
/** Maximum share of a route's requests in a sample. */
const MAX_ROUTE_SHARE = 0.3;

/** Facts that the next phase is based on. */
export interface RolloutProgress {
  phase: RolloutPhase;
  /** Time since the order, and the duration that it specifies, in ms. */
  ageMs: number;
  durationMs: number;
  verdict: Verdict;
  /**
   * Servers that accept requests, of the new version and of others, and answers of those others
   * since the order.
   */
  newServers: number;
  oldServers: number;
  oldAnswers: number;
}

/** Returns whether a duration is positive and finite; an order with another one has no effect. */
export function isUsableDuration(durationMs: number): boolean {
  return Number.isFinite(durationMs) && durationMs > 0;
}

/** Returns the next phase; the current one if nothing changes. */
export function nextPhase(progress: RolloutProgress): RolloutPhase {
  const { phase, verdict } = progress;
  switch (phase) {
    case RolloutPhase.held:
    case RolloutPhase.completed:
    case RolloutPhase.rolledBack:
      return phase;
    case RolloutPhase.sampling:
    case RolloutPhase.widened:
    case RolloutPhase.shifted:
      if (verdict === Verdict.bad) return RolloutPhase.rolledBack;
      return phase === RolloutPhase.shifted ? afterShift(progress) : beforeShift(progress);
  }
}

function afterShift({ ageMs, durationMs }: RolloutProgress): RolloutPhase {
  return ageMs >= durationMs - WRITE_MARGIN_MS ? RolloutPhase.completed : RolloutPhase.shifted;
}

function beforeShift(progress: RolloutProgress): RolloutPhase {
  const { phase, ageMs, durationMs, verdict, newServers, oldServers, oldAnswers } = progress;
  // No other version serves, so there is no traffic to shift.
  if (oldServers === 0 && oldAnswers === 0 && newServers > 0) return RolloutPhase.completed;
  const hasEnoughServers = newServers > 0 && newServers >= oldServers * MIN_SERVERS_SHARE;
  const shiftAtMs = durationMs - WRITE_MARGIN_MS - SHIFTED_DURATION_MS;
  if (ageMs >= shiftAtMs && verdict === Verdict.good && hasEnoughServers)
    return RolloutPhase.shifted;
  if (ageMs >= durationMs - WRITE_MARGIN_MS) return RolloutPhase.rolledBack;
  const widenAtMs = shiftAtMs - durationMs * WIDENED_DURATION_SHARE;
  const mayWiden = ageMs >= widenAtMs && verdict === Verdict.good && hasEnoughServers;
  return mayWiden ? RolloutPhase.widened : phase;
}

/** Returns the share of a service's requests that goes to the new version in a phase. */
export function shareOfPhase(phase: RolloutPhase, allowedShare: number): number {
  switch (phase) {
    case RolloutPhase.held:
    case RolloutPhase.rolledBack:
      return 0;
    case RolloutPhase.sampling:
      return allowedShare * SAMPLE_BOUND_FACTOR;
    case RolloutPhase.widened:
      return Math.min(1, allowedShare * WIDENED_BOUND_FACTOR);
    case RolloutPhase.shifted:
    case RolloutPhase.completed:
      return 1;
  }
}

/**
 * Returns the factor by which the sample grows to make up for the wait for the first server of the
 * new version.
 */
export function catchUpFactor(params: { durationMs: number; waitedMs: number }): number {
  const { durationMs, waitedMs } = params;
  const leftMs = Math.max(1, durationMs - waitedMs);
  return Math.min(MAX_CATCH_UP_FACTOR, durationMs / leftMs);
}

/**
 * Returns the share of each route's requests in a sample that has the given share of all requests.
 * Each route contributes the same number, so that a version that fails on a rare route shows it.
 */
export function spreadSample(
  share: number,
  answersByRoute: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const total = [...answersByRoute.values()].reduce((sum, answers) => sum + answers, 0);
  const spread = new Map<string, number>();
  for (const [route, answers] of answersByRoute) {
    const even = (share * total) / (answersByRoute.size * Math.max(1, answers));
    spread.set(route, Math.min(MAX_ROUTE_SHARE, even));
  }
  return spread;
}

const PHASE_RANKS: Readonly<Record<RolloutPhase, number>> = {
  held: 0,
  sampling: 1,
  widened: 2,
  shifted: 3,
  // Ranks above the others, so that the roll-back that one box decided is not undone by another
  // box's view.
  rolledBack: 4,
  // Ranks highest: it takes effect only once it is in the table, and the old servers are gone by
  // then.
  completed: 5,
};

/** Returns the later one of two phases, so that boxes that exchange theirs converge. */
export function laterPhase(a: RolloutPhase, b: RolloutPhase): RolloutPhase {
  return PHASE_RANKS[b] > PHASE_RANKS[a] ? b : a;
}
