/**
 * Which servers a request may go to by their version, while a roll-out is in progress or over.
 *
 * Exposure needs no count over boxes: each request is in the sample by its own id, so the
 * share holds whatever boxes die or are cut off, and only first sends are in it.
 */
import { hashShare } from 'reedlug-coordination';
import { catchUpFactor, shareOfPhase } from '../policy/rolloutStep.js';
import type { GatewayState } from '../state.js';
import type { RequestRecord } from '../types/request.js';
import { RolloutPhase, type RolloutView } from '../types/rollout.js';
import type { ServerEntry } from '../types/server.js';
import type { ServerView } from '../types/views.js';
import { isFinished } from './rollouts.js';

/** Whether a server is of the version that is rolled out. */
export function isTarget(view: RolloutView, entry: ServerEntry): boolean {
  return entry.version === view.order.targetVersion;
}

/** Whether a server is of a version whose roll-out did not end well. */
export function isBarred(view: RolloutView, entry: ServerEntry): boolean {
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

/** Whether two versions of a service stand side by side. */
export function isRollingOut(state: GatewayState, service: string): boolean {
  const view = state.rollouts.get(service);
  return view !== undefined && !isFinished(view);
}

/** Share of the service's requests in the sample now. */
export function sampleShare(state: GatewayState, view: RolloutView): number {
  const { order, waitedMs = 0, phase } = view;
  const share = shareOfPhase(phase, state.settings.bounds.exposeShare);
  const isSmall = phase === RolloutPhase.sampling;
  return isSmall ? share * catchUpFactor({ durationMs: order.durationMs, waitedMs }) : share;
}
