/**
 * The course of a roll-out: a small sample, a larger one near the end, then everything.
 *
 * What a bad version gets before its deadline is bounded by the users, as a share of
 * all requests. So the sample stays small for as long as possible, and what goes
 * beyond it is left for the last seconds: a version that shows no fault before
 * everything goes to it may have it for 0.7 s until it is found bad.
 * 12 s at the users' bound of a tenth: 8.3 s of 4 %, 2 s of 20 % and 0.7 s of all are
 * 1.43 s of the traffic, 1.2 s and 50 requests on top are allowed (1.47 s at 187 a second).
 */
import { RolloutPhase } from '../types/rollout.js';
import { Verdict } from './rolloutVerdict.js';

/** Parts of the bound that the sample and the larger sample take, as factors of the allowed share. */
const SAMPLE_BOUND_FACTOR = 0.4;
const WIDENED_BOUND_FACTOR = 2;
/** When the larger sample begins, as a share of the duration that is left over by then. */
const WIDENED_DURATION_SHARE = 1 / 6;
/** From when everything goes to the new version until the end is written, in ms: news reach all boxes in 0.4 s, most streams end, and a version that is bad under load has shown it. */
const SHIFTED_DURATION_MS = 1200;
/** Time kept before the deadline for the write of the end, in ms: the order was seen up to 0.2 s late, and one more try. */
const WRITE_MARGIN_MS = 500;
/** Servers of the new version, as a share of those of the old one, without which it is not completed: fewer would not carry the load. */
const MIN_SERVERS_SHARE = 0.3;
/** How many times its usual part the sample takes at most, where servers of the new version came late. */
const MAX_CATCH_UP_FACTOR = 2;
/** Highest share of a route's requests that a sample takes. */
const MAX_ROUTE_SHARE = 0.3;

/** What decides the next phase. */
export interface RolloutProgress {
  phase: RolloutPhase;
  /** Time since the order, and the time that it gives, in ms. */
  ageMs: number;
  durationMs: number;
  verdict: Verdict;
  /** Servers that take work, of the new version and of others, and answers that those others gave since the order. */
  newServers: number;
  oldServers: number;
  oldAnswers: number;
}

/** Whether a duration leaves any time to judge; an order with another one moves nothing. */
export function isUsableDuration(durationMs: number): boolean {
  return Number.isFinite(durationMs) && durationMs > 0;
}

/** The phase that follows; the same one while nothing changes. */
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
  // Where no other version serves, nothing has to move.
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

/** Share of a service's requests that goes to the new version in a phase. */
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

/** The factor by which the sample makes up for the time until the first server of the new version stood. */
export function catchUpFactor(params: { durationMs: number; waitedMs: number }): number {
  const { durationMs, waitedMs } = params;
  const leftMs = Math.max(1, durationMs - waitedMs);
  return Math.min(MAX_CATCH_UP_FACTOR, durationMs / leftMs);
}

/**
 * The share of each route's requests that a sample takes: as many of each route, so
 * that a version that is bad on a seldom one shows it, and the given share of all.
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
  // Once one box has found it bad, no other one's view brings it back.
  rolledBack: 4,
  // It counts only once the table has it: the old servers are gone then.
  completed: 5,
};

/** The phase that is further on; boxes that tell each other theirs come to the same one. */
export function laterPhase(a: RolloutPhase, b: RolloutPhase): RolloutPhase {
  return PHASE_RANKS[b] > PHASE_RANKS[a] ? b : a;
}
