/**
 * Decides by version which servers a request may be sent to, during and after a roll-out.
 *
 * The share of requests that are exposed to the new version needs no count over boxes: a
 * request's own id decides whether it is in the sample. So the share holds even when boxes
 * fail or are partitioned. Only first sends are in the sample.
 */
import { hashFraction } from 'reedlug-coordination';
import { catchUpFactor, shareOfPhase } from '../../policy/rolloutStep.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { RolloutPhase, type RolloutView } from '../../types/rollout.js';
import type { ServerEntry } from '../../types/server.js';
import type { ServerView } from '../../types/views.js';
import { isFinished } from './rollouts.js';

/** Whether a server runs the version that is being rolled out. */
export function isTargetVersion(view: RolloutView, entry: ServerEntry): boolean {
  return entry.version === view.order.targetVersion;
}

/** Whether a server runs a version whose roll-out did not complete. */
export function isBlockedVersion(view: RolloutView, entry: ServerEntry): boolean {
  return entry.version !== undefined && view.barred.includes(entry.version);
}

/** Whether a server runs the version that currently carries its service's load. */
export function carriesLoad(state: GatewayState, entry: ServerEntry): boolean {
  const view = state.rollouts.get(entry.service);
  if (view === undefined) return true;
  if (isBlockedVersion(view, entry)) return false;
  const isShifted = view.phase === RolloutPhase.shifted || view.phase === RolloutPhase.completed;
  return isShifted === isTargetVersion(view, entry);
}

/** Which servers a request may be sent to. */
export interface VersionRule {
  isAllowed: (view: ServerView) => boolean;
  /** True when the request is in the sample. */
  isSample: boolean;
}

/** Returns the rule for a request's next send; undefined if its service has no roll-out. */
export function versionRule(state: GatewayState, record: RequestRecord): VersionRule | undefined {
  const view = state.rollouts.get(record.service);
  if (view === undefined) return undefined;
  if (isInSample(state, view, record)) {
    const servers = view.phase === RolloutPhase.widened ? view.widenedServers : view.sampleServers;
    return { isAllowed: ({ entry }) => servers.has(entry.id), isSample: true };
  }
  return { isAllowed: ({ entry }) => carriesLoad(state, entry), isSample: false };
}

/** Whether a send is in the sample. Only first sends are: a request that is sent again after a failure goes to the old version. */
function isInSample(state: GatewayState, view: RolloutView, record: RequestRecord): boolean {
  const { phase, order } = view;
  if (phase !== RolloutPhase.sampling && phase !== RolloutPhase.widened) return false;
  if (record.attempts.length > 0) return false;
  const share = view.shareByRoute.get(record.route.name) ?? sampleShare(state, view);
  return hashFraction(`${record.facts.requestId} ${order.revision}`) < share;
}

/** Whether two versions of a service run side by side. */
export function isRollingOut(state: GatewayState, service: string): boolean {
  const view = state.rollouts.get(service);
  return view !== undefined && !isFinished(view);
}

/** Returns the share of the service's requests that is in the sample now. */
export function sampleShare(state: GatewayState, view: RolloutView): number {
  const { order, waitedMs = 0, phase } = view;
  const share = shareOfPhase(phase, state.settings.bounds.exposeShare);
  const isSmall = phase === RolloutPhase.sampling;
  return isSmall ? share * catchUpFactor({ durationMs: order.durationMs, waitedMs }) : share;
}
