/**
 * Roll-outs as a box knows them: orders from the store or from peers, and how far each is.
 *
 * Phases only go forward, so boxes that tell each other theirs come to the same one.
 */
import { describeRevision, eraOf, versionOf } from 'reedlug-coordination';
import { isUsableDuration, laterPhase } from '../policy/rolloutStep.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import {
  RolloutPhase,
  type RolloutGossip,
  type RolloutOrder,
  type RolloutView,
} from '../types/rollout.js';
import type { PeerWithMessage } from './fleet.js';
import { evidenceOf } from './rolloutEvidence.js';

/** Versions kept as barred for a service: the newest ones; earlier ones have left the registry long ago. */
const MAX_BLOCKED_VERSIONS = 8;

/** Earlier orders of a service that are known, in number: more than are given within any copy's age. */
const MAX_EARLIER_ORDERS = 8;

/** Takes an order that the store or a peer told. */
export function onRolloutOrdered(
  state: GatewayState,
  step: Step,
  event: EventOf<'rolloutOrdered'>,
): void {
  applyOrder(state, step, { order: event.order, ageMs: 0, barred: [], source: 'store' });
}

function applyOrder(
  state: GatewayState,
  step: Step,
  received: { order: RolloutOrder; ageMs: number; barred: readonly string[]; source: string },
): RolloutView {
  const { order, ageMs, source } = received;
  const known = state.rollouts.get(order.service);
  if (known !== undefined) {
    if (known.order.revision >= order.revision) return known;
    const isOfLaterEra = eraOf(known.order.revision) < eraOf(order.revision);
    if (isOfLaterEra && isFromBackup(known, order)) return known;
    if (isOfLaterEra && isSameOrder(known.order, order)) {
      known.order = order;
      forgetRecord(known);
      return known;
    }
  }
  const view: RolloutView = {
    order,
    phase: initialPhase(known, order),
    orderedAtMs: step.nowMs - ageMs,
    barred: blockedVersionsAfter({
      barred: [...(known?.barred ?? []), ...received.barred],
      earlier: known && { targetVersion: known.order.targetVersion, phase: known.phase },
      targetVersion: order.targetVersion,
    }),
    earlierRevisions: [
      ...(known?.earlierRevisions ?? []),
      ...(known ? [known.order.revision] : []),
    ].slice(-MAX_EARLIER_ORDERS),
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
    requestedAtMs: Number.NEGATIVE_INFINITY,
  };
  state.rollouts.set(order.service, view);
  log(step, isUsableDuration(order.durationMs) ? 'rolloutOrdered' : 'rolloutOrderUnusable', {
    service: order.service,
    version: order.targetVersion,
    durationMs: String(order.durationMs),
    revision: describeRevision(order.revision),
    source,
  });
  return view;
}

/** An earlier order that came back with a copy of the store: it has the version that it was given in an era before. */
function isFromBackup({ earlierRevisions }: RolloutView, received: RolloutOrder): boolean {
  return earlierRevisions.some((revision) => versionOf(revision) === versionOf(received.revision));
}

/** Whether an order of a later era is the one that is known: it stood in the copy, or was written again. */
function isSameOrder(known: RolloutOrder, received: RolloutOrder): boolean {
  const isSameTime = Object.is(known.durationMs, received.durationMs);
  return isSameTime && known.targetVersion === received.targetVersion;
}

/** What the table says of a roll-out is not known any more. */
export function forgetRecord(view: RolloutView): void {
  view.recordVersion = undefined;
  view.recordedPhase = undefined;
}

/** A version that carries the load already has nothing to prove when it is ordered again: held, its service would stand still. */
function initialPhase(known: RolloutView | undefined, order: RolloutOrder): RolloutPhase {
  const isInService =
    known?.phase === RolloutPhase.completed && known.order.targetVersion === order.targetVersion;
  return isInService ? RolloutPhase.completed : RolloutPhase.held;
}

/** Versions that get nothing after a later order: those barred before, and the target of an earlier roll-out that did not end well, unless it is the next one. */
export function blockedVersionsAfter(params: {
  barred: readonly string[];
  earlier: { targetVersion: string; phase: RolloutPhase } | undefined;
  targetVersion: string;
}): readonly string[] {
  const { earlier, targetVersion } = params;
  const barred = new Set(params.barred);
  const isUnfinished = earlier !== undefined && earlier.phase !== RolloutPhase.completed;
  if (isUnfinished) barred.add(earlier.targetVersion);
  barred.delete(targetVersion);
  return [...barred].slice(-MAX_BLOCKED_VERSIONS);
}

/** Takes what a peer tells of roll-outs. */
export function mergeRolloutGossip(
  state: GatewayState,
  step: Step,
  peerId: string,
  gossip: readonly RolloutGossip[],
): void {
  for (const { order, ageMs, phase, barred } of gossip) {
    const view = applyOrder(state, step, { order, ageMs, barred, source: peerId });
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

/** What this box tells of roll-outs, with what the boxes that it sums up told. */
export function rolloutGossip(
  state: GatewayState,
  nowMs: number,
  of: readonly PeerWithMessage[],
): RolloutGossip[] {
  return [...state.rollouts.values()].map((view) => ({
    order: view.order,
    ageMs: Math.round(nowMs - view.orderedAtMs),
    phase: view.phase,
    barred: view.barred,
    evidence: isFinished(view) ? { trial: [], usual: [] } : evidenceOf(view, of),
  }));
}

/** Whether a roll-out has come to its end. */
export function isFinished({ phase }: RolloutView): boolean {
  return phase === RolloutPhase.completed || phase === RolloutPhase.rolledBack;
}
