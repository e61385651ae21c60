/**
 * Whether a new version answers worse than the one before.
 *
 * Both serve side by side, so a burst or a lost zone shows in both. Each answer is
 * good or bad in two ways (failed, slow), and a sequential test compares two
 * suppositions: the new version is as bad as the old one, or much worse. It is made
 * for all routes together and for each alone, since a version may be bad on one, and
 * for the last seconds alone, since it may turn bad after a good start.
 * A server that gave more than half of the bad answers is left out while others are
 * there: one failing server is no failing version.
 */
import type { AnswerTally, RolloutEvidence, TrialTally, BaselineTally } from '../types/rollout.js';

/** What the answers say. */
export const Verdict = { unknown: 'unknown', good: 'good', bad: 'bad' } as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/**
 * Log likelihood ratio from which a version is bad: Wald's bound for a wrong verdict
 * in one of 400 at each look, for some thirty looks that are not independent.
 */
const BAD_THRESHOLD = Math.log(400);
/** The same up to which it is good: one of ten, with the larger sample that follows still to come. */
const GOOD_THRESHOLD = -Math.log(10);
/** Log likelihood ratio of the last moments from which a version is not called good: one of ten. */
const DOUBTFUL_THRESHOLD = Math.log(10);
/** Share of bad answers that a version has at least by which it is called bad: the least that callers would complain of. */
const MIN_BAD_MARGIN = 0.15;
/** How many times worse than the old version it is then. */
const BAD_SHARE_FACTOR = 3;
/** Highest share that is supposed of a bad version: no answer proves it impossible. */
const MAX_BAD_SHARE = 0.9;
/** Share of bad answers that a sound version is allowed at least: a crash or two among few answers. */
const MIN_ACCEPTED_SHARE = 0.02;
/** Answers of that share that the old version's weigh against: few of them say little. */
const PRIOR_ANSWERS = 20;
/** Servers of the sample from which the worst one is left out. */
const MIN_SERVERS_TO_EXCLUDE = 3;

type BadKind = 'failed' | 'slow';
const BAD_KINDS: readonly BadKind[] = ['failed', 'slow'];

/** A verdict with the figures that decided it. */
export interface RolloutVerdict {
  verdict: Verdict;
  /** The highest log likelihood ratio that the new version is the worse one. */
  evidence: number;
  /** What was compared there: all routes, or one. */
  route: string;
  kind: BadKind;
  answers: number;
  bad: number;
  baselineShare: number;
}

/** Judges a new version by all answers, and by those of the last moments alone. */
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

/** The worst comparison of the last moments, against the old version's answers of all the time and of the same moments. */
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

/** One comparison: bad answers of one kind, of one route or of all. */
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

/** The tallies without a server that has more bad answers than all others, where enough of them are there. */
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

/** Sums answers over routes and servers. */
export function sumTallies(tallies: readonly AnswerTally[]): AnswerTally {
  return {
    answers: sumOf(tallies, 'answers'),
    failed: sumOf(tallies, 'failed'),
    slow: sumOf(tallies, 'slow'),
  };
}

/** Adds up what several boxes saw. */
export function addEvidence(parts: readonly RolloutEvidence[]): RolloutEvidence {
  const trial = new Map<string, TrialTally>();
  const usual = new Map<string, BaselineTally>();
  for (const part of parts) {
    for (const tally of part.trial) addTally(trial, `${tally.route} ${tally.serverId}`, tally);
    for (const tally of part.usual) addTally(usual, tally.route, tally);
  }
  return { trial: [...trial.values()], usual: [...usual.values()] };
}

/** What came since an earlier sum; what a box that died had told counts for neither. */
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
