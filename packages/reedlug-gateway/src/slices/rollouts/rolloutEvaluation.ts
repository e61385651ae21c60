/** Evaluates roll-outs in progress, on every box by the gossip it has received, and chooses their samples. */
import { hashString } from 'reedlug-coordination';
import { highestRanked } from '../../policy/highestRanked.js';
import { nextPhase, shareOfPhase, spreadSample } from '../../policy/rolloutStep.js';
import { evidenceSince, evaluateRollout } from '../../policy/rolloutVerdict.js';
import type { GatewayState, Step } from '../../state.js';
import { RolloutPhase, type RolloutEvidence, type RolloutView } from '../../types/rollout.js';
import type { ServerView } from '../../types/views.js';
import { countedPeers } from '../peers/fleet.js';
import { evidenceOf } from './rolloutEvidence.js';
import { enterPhase, isFinished } from './rollouts.js';
import { isBlockedVersion, isTargetVersion, sampleShare } from './versionRule.js';

/** Interval between evaluations, in ms: as often as peers send their evidence. */
const EVALUATION_INTERVAL_MS = 200;
/** Spans that are evaluated separately, in ms: the shorter one shows first that a version turns bad, the longer one shows it at a lower rate of answers. */
const RECENT_SPANS_MS = [800, 2500] as const;
/** Minimum number of servers in the sample: a single failing one must not decide. */
const MIN_SAMPLE_SERVERS = 4;

/** Evaluates roll-outs in progress and chooses their samples. */
export function rolloutEvaluationTick(state: GatewayState, step: Step): void {
  if (
    state.rollouts.size === 0 ||
    step.nowMs - state.rolloutsEvaluatedAtMs < EVALUATION_INTERVAL_MS
  )
    return;
  state.rolloutsEvaluatedAtMs = step.nowMs;
  for (const view of state.rollouts.values()) advanceRollout(state, step, view);
}

function advanceRollout(state: GatewayState, step: Step, view: RolloutView): void {
  if (isFinished(view)) return;
  const { service } = view.order;
  const evidence = evidenceOf(view, countedPeers(state, step.nowMs));
  const servers = serversOf(state, service);
  const newServers = servers.filter(({ entry }) => isTargetVersion(view, entry));
  const oldServers = servers.filter(
    ({ entry }) => !isTargetVersion(view, entry) && !isBlockedVersion(view, entry),
  );
  if (newServers.length > 0) view.waitedMs ??= step.nowMs - view.orderedAtMs;
  chooseSample(state, view, { evidence, newServers, oldServers: oldServers.length });
  const result = evaluateRollout(evidence, recentEvidence(view, evidence, step.nowMs));
  const progress = {
    phase: view.phase,
    ageMs: step.nowMs - view.orderedAtMs,
    durationMs: view.order.durationMs,
    verdict: result.verdict,
    newServers: newServers.length,
    oldServers: oldServers.length,
    oldAnswers: evidence.usual.reduce((sum, { answers }) => sum + answers, 0),
  };
  const next = nextPhase(progress);
  view.wantsCompletion = next === RolloutPhase.completed;
  if (view.wantsCompletion) return;
  enterPhase(step, view, next, {
    verdict: result.verdict,
    evidence: Number(result.evidence.toFixed(2)),
    route: result.route,
    kind: result.kind,
    answers: result.answers,
    bad: result.bad,
    usualShare: Number(result.baselineShare.toFixed(3)),
    newServers: progress.newServers,
    oldServers: progress.oldServers,
  });
}

/** Returns what was observed within each of the recent spans, and records the evidence for later evaluations. */
function recentEvidence(
  view: RolloutView,
  evidence: RolloutEvidence,
  nowMs: number,
): RolloutEvidence[] {
  const longestMs = Math.max(...RECENT_SPANS_MS);
  const { history } = view;
  while (history[0] !== undefined && nowMs - history[0].atMs > longestMs) history.shift();
  const recent = RECENT_SPANS_MS.flatMap((spanMs) => {
    const before = history.find(({ atMs }) => nowMs - atMs <= spanMs);
    return before === undefined ? [] : [evidenceSince(evidence, before.evidence)];
  });
  history.push({ atMs: nowMs, evidence });
  return recent;
}

function serversOf(state: GatewayState, service: string): ServerView[] {
  return [...state.servers.values()].filter(
    ({ entry, leaving }) => entry.service === service && !leaving,
  );
}

/** Chooses the servers of the sample and its share of each route. Few servers take it, so that each carries as much load as one of the old version. */
function chooseSample(
  state: GatewayState,
  view: RolloutView,
  params: { evidence: RolloutEvidence; newServers: readonly ServerView[]; oldServers: number },
): void {
  const { evidence, newServers, oldServers } = params;
  const { exposeShare } = state.settings.bounds;
  const { order } = view;
  const count = (phase: RolloutPhase): number =>
    Math.max(MIN_SAMPLE_SERVERS, Math.ceil(oldServers * shareOfPhase(phase, exposeShare)));
  const keyHash = hashString(`${order.service} ${order.revision}`);
  const widened = highestRanked(newServers, keyHash, count(RolloutPhase.widened));
  const ids = widened.map(({ entry }) => entry.id);
  view.sampleServers = new Set(ids.slice(0, count(RolloutPhase.sampling)));
  view.widenedServers = new Set(ids);
  const answersByRoute = new Map<string, number>();
  for (const { route, answers } of [...evidence.usual, ...evidence.trial]) {
    answersByRoute.set(route, (answersByRoute.get(route) ?? 0) + answers);
  }
  view.shareByRoute = spreadSample(sampleShare(state, view), answersByRoute);
}
