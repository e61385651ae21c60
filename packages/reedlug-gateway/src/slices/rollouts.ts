/**
 * Roll-outs as a box carries them out: orders from the store or from peers, which
 * version a request may go to, and the step to the next phase.
 *
 * Exposure needs no count over boxes: each request is in the sample by its own id,
 * so the share holds whatever boxes die or are cut off, and only first sends are.
 */
import { hashId, hashShare, hashString, rendezvousWeight } from 'reedlug-coordination';
import {
  catchUpFactor,
  isUsableDuration,
  laterPhase,
  nextPhase,
  shareOfPhase,
  spreadSample,
} from '../policy/rolloutStep.js';
import { evidenceSince, judgeRollout } from '../policy/rolloutVerdict.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import type { RequestRecord } from '../types/request.js';
import {
  RolloutPhase,
  type RolloutEvidence,
  type RolloutNews,
  type RolloutOrder,
  type RolloutView,
} from '../types/rollout.js';
import type { ServerEntry } from '../types/server.js';
import type { ServerView } from '../types/views.js';
import { countedPeers, type HeardPeer } from './fleet.js';
import { evidenceOf } from './rolloutEvidence.js';

/** Pause between looks at the evidence, in ms: as often as peers tell theirs. */
const JUDGE_EVERY_MS = 200;
/** Spans that are judged by themselves, in ms: a version that turns bad shows in the shorter one first, in the longer one by fewer answers. */
const RECENT_MS = [800, 2500] as const;
/** Servers of the sample at least: a single failing one must not decide. */
const LEAST_SAMPLE_SERVERS = 4;
/** Versions kept as barred for a service: the newest ones; earlier ones have left the registry long ago. */
const MAX_BARRED = 8;

/** Takes an order that the store or a peer told. */
export function onRolloutOrdered(
  state: GatewayState,
  step: Step,
  event: EventOf<'rolloutOrdered'>,
): void {
  takeOrder(state, step, { order: event.order, ageMs: 0, barred: [], source: 'store' });
}

function takeOrder(
  state: GatewayState,
  step: Step,
  told: { order: RolloutOrder; ageMs: number; barred: readonly string[]; source: string },
): RolloutView {
  const { order, ageMs, source } = told;
  const known = state.rollouts.get(order.service);
  if (known !== undefined && known.order.revision >= order.revision) return known;
  const view: RolloutView = {
    order,
    phase: RolloutPhase.held,
    orderedAtMs: step.nowMs - ageMs,
    barred: barredAfter(known, order, told.barred),
    waitedMs: undefined,
    wantsCompletion: false,
    trial: new Map(),
    usual: new Map(),
    history: [],
    sampleServers: new Set(),
    widenedServers: new Set(),
    shareByRoute: new Map(),
    recordVersion: undefined,
    recordedPhase: undefined,
    askedAtMs: Number.NEGATIVE_INFINITY,
  };
  state.rollouts.set(order.service, view);
  log(step, isUsableDuration(order.durationMs) ? 'rolloutOrdered' : 'rolloutOrderUnusable', {
    service: order.service,
    version: order.targetVersion,
    durationMs: String(order.durationMs),
    revision: order.revision,
    source,
  });
  return view;
}

/** A version whose roll-out did not end well before the next order gets nothing, unless it is the next target. */
function barredAfter(
  known: RolloutView | undefined,
  order: RolloutOrder,
  told: readonly string[],
): readonly string[] {
  const barred = new Set([...(known?.barred ?? []), ...told]);
  const isLeft = known !== undefined && known.phase !== RolloutPhase.completed;
  if (isLeft) barred.add(known.order.targetVersion);
  barred.delete(order.targetVersion);
  return [...barred].slice(-MAX_BARRED);
}

/** Takes what a peer tells of roll-outs. */
export function takeRolloutNews(
  state: GatewayState,
  step: Step,
  peerId: string,
  told: readonly RolloutNews[],
): void {
  for (const { order, ageMs, phase, barred } of told) {
    const view = takeOrder(state, step, { order, ageMs, barred, source: peerId });
    if (view.order.revision !== order.revision) continue;
    view.orderedAtMs = Math.min(view.orderedAtMs, step.nowMs - ageMs);
    if (barred.length > view.barred.length) view.barred = barred;
    enterPhase(step, view, laterPhase(view.phase, phase), { source: peerId });
  }
}

/** Moves a roll-out to a phase; the same one is no change. */
export function enterPhase(
  step: Step,
  view: RolloutView,
  phase: RolloutPhase,
  reasons: Readonly<Record<string, string | number>>,
): void {
  if (phase === view.phase) return;
  const before = view.phase;
  view.phase = phase;
  log(step, 'rolloutPhase', {
    service: view.order.service,
    version: view.order.targetVersion,
    phase,
    before,
    ageMs: Math.round(step.nowMs - view.orderedAtMs),
    ...reasons,
  });
}

/** Judges roll-outs in progress and lays out their samples. */
export function rolloutsTick(state: GatewayState, step: Step): void {
  if (state.rollouts.size === 0 || step.nowMs - state.rolloutsJudgedAtMs < JUDGE_EVERY_MS) return;
  state.rolloutsJudgedAtMs = step.nowMs;
  for (const view of state.rollouts.values()) judge(state, step, view);
}

function judge(state: GatewayState, step: Step, view: RolloutView): void {
  if (isOver(view)) return;
  const { service } = view.order;
  const evidence = evidenceOf(view, countedPeers(state, step.nowMs));
  const servers = serversOf(state, service);
  const newOnes = servers.filter(({ entry }) => isTarget(view, entry));
  const oldOnes = servers.filter(({ entry }) => !isTarget(view, entry) && !isBarred(view, entry));
  if (newOnes.length > 0) view.waitedMs ??= step.nowMs - view.orderedAtMs;
  layOutSample(state, view, { evidence, newOnes, oldServers: oldOnes.length });
  const found = judgeRollout(evidence, recentEvidence(view, evidence, step.nowMs));
  const facts = {
    phase: view.phase,
    ageMs: step.nowMs - view.orderedAtMs,
    durationMs: view.order.durationMs,
    verdict: found.verdict,
    newServers: newOnes.length,
    oldServers: oldOnes.length,
    oldAnswers: evidence.usual.reduce((sum, { answers }) => sum + answers, 0),
  };
  const next = nextPhase(facts);
  view.wantsCompletion = next === RolloutPhase.completed;
  if (view.wantsCompletion) return;
  enterPhase(step, view, next, {
    verdict: found.verdict,
    evidence: Number(found.evidence.toFixed(2)),
    route: found.route,
    kind: found.kind,
    answers: found.answers,
    bad: found.bad,
    usualShare: Number(found.usualShare.toFixed(3)),
    newServers: facts.newServers,
    oldServers: facts.oldServers,
  });
}

/** What was seen within each of the recent times; notes the look for later ones. */
function recentEvidence(
  view: RolloutView,
  evidence: RolloutEvidence,
  nowMs: number,
): RolloutEvidence[] {
  const longestMs = Math.max(...RECENT_MS);
  const { history } = view;
  while (history[0] !== undefined && nowMs - history[0].atMs > longestMs) history.shift();
  const recent = RECENT_MS.flatMap((spanMs) => {
    const before = history.find(({ atMs }) => nowMs - atMs <= spanMs);
    return before === undefined ? [] : [evidenceSince(evidence, before.evidence)];
  });
  history.push({ atMs: nowMs, evidence });
  return recent;
}

/** Whether a roll-out has come to its end. */
export function isOver({ phase }: RolloutView): boolean {
  return phase === RolloutPhase.completed || phase === RolloutPhase.rolledBack;
}

/** Whether two versions of a service stand side by side. */
export function isRollingOut(state: GatewayState, service: string): boolean {
  const view = state.rollouts.get(service);
  return view !== undefined && !isOver(view);
}

function serversOf(state: GatewayState, service: string): ServerView[] {
  return [...state.servers.values()].filter(
    ({ entry, leaving }) => entry.service === service && !leaving,
  );
}

/** Few servers take the sample, so that each carries as much as one of the old version does. */
function layOutSample(
  state: GatewayState,
  view: RolloutView,
  params: { evidence: RolloutEvidence; newOnes: readonly ServerView[]; oldServers: number },
): void {
  const { evidence, newOnes, oldServers } = params;
  const { exposeShare } = state.settings.bounds;
  const ranked = rank(newOnes, view.order);
  const count = (phase: RolloutPhase): number =>
    Math.max(LEAST_SAMPLE_SERVERS, Math.ceil(oldServers * shareOfPhase(phase, exposeShare)));
  view.sampleServers = new Set(ranked.slice(0, count(RolloutPhase.sampling)));
  view.widenedServers = new Set(ranked.slice(0, count(RolloutPhase.widened)));
  const answersByRoute = new Map<string, number>();
  for (const { route, answers } of [...evidence.usual, ...evidence.trial]) {
    answersByRoute.set(route, (answersByRoute.get(route) ?? 0) + answers);
  }
  view.shareByRoute = spreadSample(sampleShare(state, view), answersByRoute);
}

/** Share of the service's requests in the sample now. */
function sampleShare(state: GatewayState, view: RolloutView): number {
  const { order, waitedMs = 0, phase } = view;
  const share = shareOfPhase(phase, state.settings.bounds.exposeShare);
  const isSmall = phase === RolloutPhase.sampling;
  return isSmall ? share * catchUpFactor({ durationMs: order.durationMs, waitedMs }) : share;
}

/** All boxes rank the servers alike. */
function rank(servers: readonly ServerView[], order: RolloutOrder): string[] {
  const keyHash = hashString(`${order.service} ${order.revision}`);
  return servers
    .map(({ entry: { id } }) => ({ id, weight: rendezvousWeight(keyHash, hashId(id)) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ id }) => id);
}

function isTarget(view: RolloutView, entry: ServerEntry): boolean {
  return entry.version === view.order.targetVersion;
}

function isBarred(view: RolloutView, entry: ServerEntry): boolean {
  return entry.version !== undefined && view.barred.includes(entry.version);
}

/** Whether a server is of the version that carries its service's load now. */
export function carriesLoad(state: GatewayState, entry: ServerEntry): boolean {
  const view = state.rollouts.get(entry.service);
  if (view === undefined) return true;
  if (isBarred(view, entry)) return false;
  const isMoved = view.phase === RolloutPhase.shifted || view.phase === RolloutPhase.completed;
  return isMoved === isTarget(view, entry);
}

/** Which servers a request may be sent to. */
export interface VersionRule {
  admits: (view: ServerView) => boolean;
  /** True when the request is one of the sample. */
  isSample: boolean;
}

/** The rule for a request's next send; undefined where its service has no roll-out. */
export function versionRule(state: GatewayState, record: RequestRecord): VersionRule | undefined {
  const view = state.rollouts.get(record.service);
  if (view === undefined) return undefined;
  if (isInSample(state, view, record)) {
    const servers = view.phase === RolloutPhase.widened ? view.widenedServers : view.sampleServers;
    return { admits: ({ entry }) => servers.has(entry.id), isSample: true };
  }
  return { admits: ({ entry }) => carriesLoad(state, entry), isSample: false };
}

/** Only first sends are: a request that comes back after a failure goes to the old version. */
function isInSample(state: GatewayState, view: RolloutView, record: RequestRecord): boolean {
  const { phase, order } = view;
  if (phase !== RolloutPhase.sampling && phase !== RolloutPhase.widened) return false;
  if (record.attempts.length > 0) return false;
  const share = view.shareByRoute.get(record.route.name) ?? sampleShare(state, view);
  return hashShare(`${record.facts.requestId} ${order.revision}`) < share;
}

/** What this box tells of roll-outs, with what the boxes that it sums up told. */
export function rolloutNews(
  state: GatewayState,
  nowMs: number,
  of: readonly HeardPeer[],
): RolloutNews[] {
  return [...state.rollouts.values()].map((view) => ({
    order: view.order,
    ageMs: Math.round(nowMs - view.orderedAtMs),
    phase: view.phase,
    barred: view.barred,
    evidence: isOver(view) ? { trial: [], usual: [] } : evidenceOf(view, of),
  }));
}
