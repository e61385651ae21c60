/**
 * Limits of workspaces over all boxes together.
 *
 * Each box keeps the whole bucket and takes from it what it admits and what its
 * peers, or the hub of its group, tell that others admitted. A peer that has
 * fallen silent may still admit at its last rate, so its last share of the rate
 * is left to it.
 */
import { LimitUnit, type WorkspaceSpec } from '../types/configuration.js';
import type { RequestFacts } from '../types/request.js';
import type { GatewayState, QuotaView } from '../state.js';
import { heardShare } from './fleet.js';

/** Part of the users' slack that is used: peers' news are 0.2 s old, and a burst of one workspace admits up to three quarters of the slack in that time. */
const SLACK_SHARE = 0.1;
/** Part of the burst that a fresh box takes to be left: it cannot know what was used before its start. */
const FRESH_LEVEL_SHARE = 0.25;

/** What a request counts against its workspace's limit. */
export function unitsOf(workspace: WorkspaceSpec, facts: RequestFacts): number {
  if (workspace.unit === LimitUnit.requests) return 1;
  if (facts.promptTokens === undefined) return workspace.plainTokens;
  return facts.promptTokens + (facts.maxOutputTokens ?? 0);
}

/** What a limit says of a request. */
export type Admission =
  | { kind: 'admitted' }
  /** `waitMs` until it fits; the figures that decided it are for the log. */
  | { kind: 'overLimit'; waitMs: number; level: number; heardShare: number };

/** Admits a request against its workspace's limit. */
export function admitUnits(
  state: GatewayState,
  workspace: WorkspaceSpec,
  units: number,
  nowMs: number,
): Admission {
  const quota = quotaOf(state, workspace, nowMs);
  const share = heardShare(state, nowMs);
  const ratePerSecond = workspace.ratePerSecond * share;
  refill(quota, workspace, ratePerSecond, nowMs);
  const lacking = units - quota.level - toleratedUnits(state);
  if (workspace.ratePerSecond > 0 && lacking > 0) {
    const waitMs = (lacking / Math.max(1, ratePerSecond)) * 1000;
    return { kind: 'overLimit', waitMs, level: quota.level, heardShare: share };
  }
  quota.level -= units;
  quota.admitted += units;
  return { kind: 'admitted' };
}

/** Takes what a peer has admitted since its last message. */
export function takePeerUnits(
  state: GatewayState,
  workspaceName: string,
  units: number,
  nowMs: number,
): void {
  const workspace = findWorkspace(state, workspaceName);
  if (workspace === undefined) return;
  const quota = quotaOf(state, workspace, nowMs);
  refill(quota, workspace, usableRate(state, workspace, nowMs), nowMs);
  quota.level -= units;
}

function findWorkspace(state: GatewayState, name: string): WorkspaceSpec | undefined {
  return state.active?.configuration.workspaces.find((workspace) => workspace.name === name);
}

function quotaOf(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): QuotaView {
  const known = state.quotas.get(workspace.name);
  if (known !== undefined) return known;
  const level = workspace.burst * FRESH_LEVEL_SHARE;
  const quota: QuotaView = { level, refilledAtMs: nowMs, admitted: 0 };
  state.quotas.set(workspace.name, quota);
  return quota;
}

function refill(
  quota: QuotaView,
  workspace: WorkspaceSpec,
  ratePerSecond: number,
  nowMs: number,
): void {
  const elapsedMs = Math.max(0, nowMs - quota.refilledAtMs);
  quota.refilledAtMs = nowMs;
  quota.level = Math.min(workspace.burst, quota.level + (ratePerSecond * elapsedMs) / 1000);
}

/**
 * How far below nothing a limit may be drawn. What is refused within the limit is
 * lost, what is admitted a little beyond it is not; a request that is large is
 * refused by itself and leaves the small ones their place.
 */
function toleratedUnits(state: GatewayState): number {
  return state.settings.bounds.limitSlackUnits * SLACK_SHARE;
}

/** The rate less the last shares of silent peers. */
function usableRate(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): number {
  return workspace.ratePerSecond * heardShare(state, nowMs);
}
