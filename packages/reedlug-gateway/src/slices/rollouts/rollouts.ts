/**
 * Roll-outs as a box knows them: orders from the store or from peers, and the phase of each.
 *
 * Phases only move forward, so boxes that exchange theirs converge on the same one.
 */
import { describeRevision, eraOf, versionOf } from 'reedlug-coordination';
import { isUsableDuration, laterPhase } from '../../policy/rolloutStep.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import {
  RolloutPhase,
  type RolloutGossip,
  type RolloutOrder,
  type RolloutView,
} from '../../types/rollout.js';
import type { PeerWithMessage } from '../peers/fleet.js';
import { evidenceOf } from './rolloutEvidence.js';

/** Maximum number of blocked versions kept per service, the newest ones; earlier ones left the registry long ago. */
const MAX_BLOCKED_VERSIONS = 8;

/** Maximum number of roll-outs in a message; with usual names they fill a tenth of a datagram. */
const MAX_GOSSIPED_ROLLOUTS = 50;

/** Maximum number of earlier orders kept per service: more than are given within the age of any backup of the store. */
const MAX_EARLIER_ORDERS = 8;

/** Handles an order from the store. */
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

/** Returns whether an order is an earlier one that a restore of the store brought back: it has the version of an order of an earlier era. */
function isFromBackup({ earlierRevisions }: RolloutView, received: RolloutOrder): boolean {
  return earlierRevisions.some((revision) => versionOf(revision) === versionOf(received.revision));
}

/** Returns whether an order of a later era is the one that is known: it was in the backup, or was written again. */
function isSameOrder(known: RolloutOrder, received: RolloutOrder): boolean {
  const isSameTime = Object.is(known.durationMs, received.durationMs);
  return isSameTime && known.targetVersion === received.targetVersion;
}

/** Discards what is known of a roll-out's record in the table. */
export function forgetRecord(view: RolloutView): void {
  view.recordVersion = undefined;
  view.recordedPhase = undefined;
}

/** Returns the first phase of an order. A version that already carries the load and is ordered again is completed at once: held, its service would stop. */
function initialPhase(known: RolloutView | undefined, order: RolloutOrder): RolloutPhase {
  const isInService =
    known?.phase === RolloutPhase.completed && known.order.targetVersion === order.targetVersion;
  return isInService ? RolloutPhase.completed : RolloutPhase.held;
}

/** Returns the versions that receive no requests after a later order: those blocked before, and the target of an earlier roll-out that was not completed, unless it is the new target. */
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

/** Merges a peer's gossip about roll-outs. */
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

/** Moves a roll-out to a phase; does nothing if it is already there. */
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

/** Returns this box's gossip about roll-outs, with the evidence of the peers that it sums up. */
export function rolloutGossip(
  state: GatewayState,
  nowMs: number,
  of: readonly PeerWithMessage[],
): RolloutGossip[] {
  return gossipedRollouts(state).map((view) => ({
    order: view.order,
    ageMs: Math.round(nowMs - view.orderedAtMs),
    phase: view.phase,
    barred: view.barred,
    evidence: isFinished(view) ? { trial: [], usual: [] } : evidenceOf(view, of),
  }));
}

/** Returns the roll-outs to tell of: of too many, those of services in the configuration, and then the latest ones. */
function gossipedRollouts({ rollouts, active }: GatewayState): RolloutView[] {
  const views = [...rollouts.values()];
  if (views.length <= MAX_GOSSIPED_ROLLOUTS) return views;
  const services = new Set(active?.configuration.services.map(({ name }) => name));
  const rankOf = ({ order }: RolloutView): number => (services.has(order.service) ? 1 : 0);
  views.sort((a, b) => rankOf(b) - rankOf(a) || b.order.revision - a.order.revision);
  return views.slice(0, MAX_GOSSIPED_ROLLOUTS);
}

/** Returns whether a roll-out has ended. */
export function isFinished({ phase }: RolloutView): boolean {
  return phase === RolloutPhase.completed || phase === RolloutPhase.rolledBack;
}
