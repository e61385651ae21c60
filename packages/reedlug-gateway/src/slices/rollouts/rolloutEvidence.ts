/** Collects evidence from sends about both versions of a service during a roll-out. */
import { serverOf } from '../requests/requestCompletion.js';
import { modelOf } from '../engines/engineModels.js';
import type { PeerWithMessage } from '../peers/fleet.js';
import { isCutOff } from '../../policy/connectPlan.js';
import { addEvidence } from '../../policy/rolloutVerdict.js';
import type { GatewayState, Step } from '../../state.js';
import type { Attempt, RequestAttempt, RequestRecord } from '../../types/request.js';
import {
  RolloutPhase,
  type AnswerTally,
  type RolloutEvidence,
  type RolloutView,
} from '../../types/rollout.js';

/** Multiple of the expected time above which an answer counts as slow: "several times" in the users' words. */
const SLOW_FACTOR = 3;
/** Minimum expected time of an answer, in ms: below it, network and timers dominate. */
const MIN_EXPECTED_MS = 40;

/** How an answer ended, for the evaluation of its version. */
export const AnswerEnd = { good: 'good', failed: 'failed' } as const;
export type AnswerEnd = (typeof AnswerEnd)[keyof typeof AnswerEnd];

/** Counts an answer, or the failure in its place. A stream that is cut after its first event counts once more, as failed. */
export function recordAnswer(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; end: AnswerEnd },
): void {
  const { record, attempt, end } = params;
  const view = state.rollouts.get(record.service);
  if (view === undefined || attempt.version === undefined || !countsAnswers(view)) return;
  const tally = tallyOf(view, record, attempt);
  tally.answers += 1;
  if (end === AnswerEnd.failed) tally.failed += 1;
  else if (isSlow(state, step, record, attempt)) tally.slow += 1;
}

/** Counts a lost answer as failed, unless its server is draining or gone or this box is partitioned from a zone or from the servers: none of these is the version's fault. */
export function recordLostAnswer(state: GatewayState, step: Step, lost: RequestAttempt): void {
  const isDrainingOrGone = serverOf(state, lost.attempt)?.leaving !== false;
  const isOwnLinkDown = state.silentZones.size > 0 || isCutOff(state.serverLinks);
  if (isDrainingOrGone || isOwnLinkDown) return;
  recordAnswer(state, step, { ...lost, end: AnswerEnd.failed });
}

/** Counts a slow answer whose first event is no longer awaited, because its caller left or its server is silent: it shows as much as one that arrived. */
export function recordAbandonedAnswer(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
): void {
  const attempt = record.attempts.at(-1);
  const isUnanswered = attempt?.open === true && attempt.firstOutputAtMs === undefined;
  if (!isUnanswered || !isSlow(state, step, record, attempt)) return;
  recordAnswer(state, step, { record, attempt, end: AnswerEnd.good });
}

function isSlow(state: GatewayState, step: Step, record: RequestRecord, attempt: Attempt): boolean {
  const expectedMs = Math.max(MIN_EXPECTED_MS, expectedAnswerMs(state, step, record, attempt));
  return step.nowMs - attempt.sentAtMs > SLOW_FACTOR * expectedMs;
}

/**
 * Returns the expected time of an answer, in ms. A server of the new version has read no
 * prompt before, so the time to read the tokens assumed to be cached is added. Without that,
 * many first answers of a healthy version count as slow. The speeds of servers are left out:
 * otherwise a slow version would soon be compared with its own speed.
 */
function expectedAnswerMs(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): number {
  const order = state.rollouts.get(record.service)?.order;
  if (attempt.version !== order?.targetVersion) return attempt.modelMs;
  const cachedTokens = Math.max(0, (record.facts.promptTokens ?? 0) - attempt.prefillTokens);
  return attempt.modelMs + cachedTokens / modelOf(state, record.service, step.nowMs).tokensPerMs;
}

function countsAnswers({ phase }: RolloutView): boolean {
  switch (phase) {
    case RolloutPhase.sampling:
    case RolloutPhase.widened:
    case RolloutPhase.shifted:
      return true;
    case RolloutPhase.held:
    case RolloutPhase.completed:
    case RolloutPhase.rolledBack:
      return false;
  }
}

function tallyOf(view: RolloutView, record: RequestRecord, attempt: Attempt): AnswerTally {
  const route = record.route.name;
  const empty = { answers: 0, failed: 0, slow: 0 };
  if (attempt.version !== view.order.targetVersion) {
    const known = view.usual.get(route) ?? { route, ...empty };
    view.usual.set(route, known);
    return known;
  }
  const serverId = view.widenedServers.has(attempt.serverId) ? attempt.serverId : '';
  const key = `${route} ${serverId}`;
  const known = view.trial.get(key) ?? { route, serverId, ...empty };
  view.trial.set(key, known);
  return known;
}

/** Returns what this box observed, with what peers reported for the same order. */
export function evidenceOf(view: RolloutView, peers: readonly PeerWithMessage[]): RolloutEvidence {
  const own = { trial: [...view.trial.values()], usual: [...view.usual.values()] };
  const received = peers.flatMap(({ message }) => message.rollouts ?? []);
  const ofOrder = received.filter(({ order }) => order.revision === view.order.revision);
  return addEvidence([own, ...ofOrder.map(({ evidence }) => evidence)]);
}
