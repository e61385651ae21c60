/**
 * Decides whether a new version answers worse than the old one.
 *
 * Both versions serve concurrently, so a burst or a lost zone affects both. Answers can be bad in
 * two ways (failed, slow), and a sequential probability ratio test compares two hypotheses for
 * each: the new version is as bad as the old one, or much worse. The test is applied to all routes
 * together, to each route alone, since a version may fail on one of them, and to the last seconds
 * alone, since a version may become bad after a good start.
 * A server that gave more than half of the bad answers is excluded if there are others, because a
 * single failing server does not make the version bad.
 */
import type { AnswerTally, RolloutEvidence, TrialTally, BaselineTally } from '../types/rollout.js';

/** Outcome of the comparison. */
export const Verdict = { unknown: 'unknown', good: 'good', bad: 'bad' } as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/**
 * Log likelihood ratio from which a version is bad: Wald's bound for an error rate of 1/400 per
 * check, for some thirty checks that are not independent.
 */
const BAD_THRESHOLD = Math.log(400);
/**
 * Log likelihood ratio up to which a version is good: an error rate of 1/10, since a larger sample
 * follows.
 */
const GOOD_THRESHOLD = -Math.log(10);
/**
 * Log likelihood ratio of recent answers from which a version is not considered good: an error rate
 * of 1/10.
 */
const DOUBTFUL_THRESHOLD = Math.log(10);
/**
 * Minimum excess of a bad version over the accepted share of bad answers: the smallest one that
 * callers would complain about.
 */
const MIN_BAD_MARGIN = 0.15;
/** Minimum ratio of the share of bad answers of a bad version to the accepted share. */
const BAD_SHARE_FACTOR = 3;
/**
 * Maximum assumed share of bad answers: below 1, so that a single good answer does not rule out the
 * hypothesis.
 */
const MAX_BAD_SHARE = 0.9;
/**
 * Minimum accepted share of bad answers of a good version: it allows for one or two crashes among
 * few answers.
 */
const MIN_ACCEPTED_SHARE = 0.02;
/**
 * Weight of that minimum share as a prior, in answers: a few answers of the old version say little.
 */
const PRIOR_ANSWERS = 20;
/** Minimum number of servers in the sample for the worst one to be excluded. */
const MIN_SERVERS_TO_EXCLUDE = 3;

type BadKind = 'failed' | 'slow';
const BAD_KINDS: readonly BadKind[] = ['failed', 'slow'];

/** A verdict with the figures behind it. */
export interface RolloutVerdict {
  verdict: Verdict;
  /** Highest log likelihood ratio of the hypothesis that the new version is worse. */
  evidence: number;
  /** Route with that ratio; empty for all routes together. */
  route: string;
  kind: BadKind;
  answers: number;
  bad: number;
  baselineShare: number;
}

/** Evaluates a new version by all its answers, and by its recent answers alone. */
export function evaluateRollout(
  evidence: RolloutEvidence,
  recent: readonly RolloutEvidence[] = [],
): RolloutVerdict {
  const trial = withoutWorstServer(evidence.trial);
  const whole = worstOf(compareAll(trial, evidence.usual));
  const worst = worstOf([whole, ...compareRoutes(trial, evidence.usual)]);
  const recently = recent.map((part) => worstRecent(part, evidence.usual));
  const worstOverall = worstOf([worst, ...recently]);
  if (worstOverall.evidence >= BAD_THRESHOLD) return { ...worstOverall, verdict: Verdict.bad };
  const isGood = whole.evidence <= GOOD_THRESHOLD && worst.evidence <= 0;
  const turnsBad = worstOverall.evidence >= DOUBTFUL_THRESHOLD;
  return { ...worstOverall, verdict: isGood && !turnsBad ? Verdict.good : Verdict.unknown };
}

/**
 * Returns the worst comparison of recent answers with the old version's answers, both recent ones
 * and all since the order; the lower ratio of the two counts.
 */
function worstRecent(
  recent: RolloutEvidence,
  usualSinceOrder: readonly BaselineTally[],
): RolloutVerdict {
  const trial = withoutWorstServer(recent.trial);
  const compareWith = (usual: readonly BaselineTally[]): RolloutVerdict =>
    worstOf([...compareAll(trial, usual), ...compareRoutes(trial, usual)]);
  const [sinceOrder, recently] = [compareWith(usualSinceOrder), compareWith(recent.usual)];
  return recently.evidence < sinceOrder.evidence ? recently : sinceOrder;
}

function compareAll(
  trial: readonly TrialTally[],
  usual: readonly BaselineTally[],
): RolloutVerdict[] {
  return BAD_KINDS.map((kind) => compare('', kind, trial, usual));
}

function compareRoutes(
  trial: readonly TrialTally[],
  usual: readonly BaselineTally[],
): RolloutVerdict[] {
  const routes = new Set(trial.map(({ route }) => route));
  return [...routes].flatMap((route) =>
    BAD_KINDS.map((kind) =>
      compare(route, kind, trial.filter(ofRoute(route)), usual.filter(ofRoute(route))),
    ),
  );
}

function ofRoute(route: string) {
  return (tally: { route: string }): boolean => tally.route === route;
}

function worstOf(compared: readonly RolloutVerdict[]): RolloutVerdict {
  return compared.reduce((worst, next) => (next.evidence > worst.evidence ? next : worst));
}

/** Compares the bad answers of one kind, for one route or for all routes. */
function compare(
  route: string,
  kind: BadKind,
  trial: readonly AnswerTally[],
  usual: readonly AnswerTally[],
): RolloutVerdict {
  const answers = sumOf(trial, 'answers');
  const bad = sumOf(trial, kind);
  const usualShare =
    (sumOf(usual, kind) + MIN_ACCEPTED_SHARE * PRIOR_ANSWERS) /
    (sumOf(usual, 'answers') + PRIOR_ANSWERS);
  const acceptedShare = Math.min(MAX_BAD_SHARE / 2, Math.max(MIN_ACCEPTED_SHARE, usualShare));
  const badShare = Math.min(
    MAX_BAD_SHARE,
    Math.max(acceptedShare * BAD_SHARE_FACTOR, acceptedShare + MIN_BAD_MARGIN),
  );
  const evidence =
    bad * Math.log(badShare / acceptedShare) +
    (answers - bad) * Math.log((1 - badShare) / (1 - acceptedShare));
  return {
    verdict: Verdict.unknown,
    evidence,
    route,
    kind,
    answers,
    bad,
    baselineShare: usualShare,
  };
}

function sumOf(tallies: readonly AnswerTally[], field: keyof AnswerTally): number {
  return tallies.reduce((sum, tally) => sum + tally[field], 0);
}

/**
 * Returns the tallies without the server that gave more than half of the bad answers, if there are
 * enough servers.
 */
function withoutWorstServer(trial: readonly TrialTally[]): readonly TrialTally[] {
  const badByServer = new Map<string, number>();
  for (const { serverId, failed, slow } of trial) {
    if (serverId === '') continue;
    badByServer.set(serverId, (badByServer.get(serverId) ?? 0) + failed + slow);
  }
  if (badByServer.size < MIN_SERVERS_TO_EXCLUDE) return trial;
  const [worstId, worstBad] = [...badByServer].reduce((worst, next) =>
    next[1] > worst[1] ? next : worst,
  );
  const allBad = [...badByServer.values()].reduce((sum, bad) => sum + bad, 0);
  if (worstBad * 2 <= allBad) return trial;
  return trial.filter(({ serverId }) => serverId !== worstId);
}

/** Sums up answers over routes and servers. */
export function sumTallies(tallies: readonly AnswerTally[]): AnswerTally {
  return {
    answers: sumOf(tallies, 'answers'),
    failed: sumOf(tallies, 'failed'),
    slow: sumOf(tallies, 'slow'),
  };
}

/** Adds up the evidence of several boxes. */
export function addEvidence(parts: readonly RolloutEvidence[]): RolloutEvidence {
  const trial = new Map<string, TrialTally>();
  const usual = new Map<string, BaselineTally>();
  for (const part of parts) {
    for (const tally of part.trial) addTally(trial, `${tally.route} ${tally.serverId}`, tally);
    for (const tally of part.usual) addTally(usual, tally.route, tally);
  }
  return { trial: [...trial.values()], usual: [...usual.values()] };
}

/**
 * Returns the evidence since an earlier sum. Counts that shrank, because a box is gone, become 0.
 */
export function evidenceSince(now: RolloutEvidence, before: RolloutEvidence): RolloutEvidence {
  const trialBefore = new Map(
    before.trial.map((tally) => [`${tally.route} ${tally.serverId}`, tally]),
  );
  const usualBefore = new Map(before.usual.map((tally) => [tally.route, tally]));
  return {
    trial: now.trial.map((tally) =>
      tallySince(tally, trialBefore.get(`${tally.route} ${tally.serverId}`)),
    ),
    usual: now.usual.map((tally) => tallySince(tally, usualBefore.get(tally.route))),
  };
}

function tallySince<T extends AnswerTally>(now: T, before: T | undefined): T {
  if (before === undefined) return now;
  return {
    ...now,
    answers: Math.max(0, now.answers - before.answers),
    failed: Math.max(0, now.failed - before.failed),
    slow: Math.max(0, now.slow - before.slow),
  };
}

function addTally<T extends AnswerTally>(sums: Map<string, T>, key: string, tally: T): void {
  const sum = sums.get(key);
  if (sum === undefined) {
    sums.set(key, { ...tally });
    return;
  }
  sum.answers += tally.answers;
  sum.failed += tally.failed;
  sum.slow += tally.slow;
}
