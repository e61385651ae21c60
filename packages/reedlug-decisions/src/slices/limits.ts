/**
 * Rate limits of workspaces: one limit across all boxes, split by recent demand.
 *
 * While a box is silent without having announced its shutdown, shares may shrink but
 * not grow, so that the two sides of a network partition never exceed the limit together.
 */
import {
  createTokenBucket,
  MemberState,
  setRate,
  shareOfLimit,
  takeTokens,
  type DemandEntry,
} from 'reedlug-coordination';
import type { WorkspaceDemand } from '../types/peer.js';
import type { WorkspaceLimits } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { WorkspaceView } from '../types/views.js';

/** Weight of the newest interval in the smoothed demand. */
const DEMAND_SMOOTHING = 0.3;
/** Demand below which a workspace is left out of the heartbeats, in requests per second. */
const MIN_REPORTED_DEMAND = 0.05;
/** Retry time for a workspace whose share is zero, in ms. */
const NO_SHARE_RETRY_MS = 1000;

/** Returns the limits of a workspace from the confirmed configuration, or else from the settings. */
export function limitsOf(state: BoxState, workspaceId: string): WorkspaceLimits | undefined {
  const item = state.config.items.get(`workspace/${workspaceId}`);
  if (item !== undefined) return item.value as WorkspaceLimits;
  return state.settings.workspaces.find((limits) => limits.id === workspaceId);
}

/** Returns the state of a workspace, created on first use; undefined if it does not exist. */
export function workspaceView(state: BoxState, workspaceId: string): WorkspaceView | undefined {
  const known = state.workspaces.get(workspaceId);
  if (known !== undefined) return known;
  const limits = limitsOf(state, workspaceId);
  if (limits === undefined) return undefined;
  const boxes = Math.max(1, state.settings.boxes.length);
  const share = limits.requestsPerSecond / boxes;
  const burst = Math.max(1, limits.burst / boxes);
  const view: WorkspaceView = {
    limits,
    bucket: createTokenBucket(share, burst, state.nowMs),
    sharePerSecond: share,
    asked: 0,
    demandPerSecond: 0,
    inProgress: 0,
  };
  state.workspaces.set(workspaceId, view);
  return view;
}

/** Counts a request against the share; returns 0, or the time until it would be admitted in ms. */
export function consumeLimit(view: WorkspaceView, nowMs: number): number {
  view.asked += 1;
  if (view.sharePerSecond <= 0) return NO_SHARE_RETRY_MS;
  return takeTokens(view.bucket, 1, nowMs);
}

/** Returns the demand of busy workspaces, for the heartbeat. */
export function demandsOf(state: BoxState): WorkspaceDemand[] {
  const demands: WorkspaceDemand[] = [];
  for (const [workspaceId, view] of state.workspaces) {
    if (view.demandPerSecond < MIN_REPORTED_DEMAND) continue;
    const requestsPerSecond = Math.round(view.demandPerSecond * 100) / 100;
    demands.push({ workspaceId, requestsPerSecond });
  }
  return demands;
}

/** Updates the smoothed demand by the last interval and recomputes the share of every limit. */
export function updateShares(state: BoxState, nowMs: number): void {
  const seconds = state.settings.control.heartbeatMs / 1000;
  const growthFrozen = isAnyBoxSilent(state);
  for (const [workspaceId, view] of state.workspaces) {
    const rate = view.asked / seconds;
    view.asked = 0;
    view.demandPerSecond += DEMAND_SMOOTHING * (rate - view.demandPerSecond);
    view.limits = limitsOf(state, workspaceId) ?? view.limits;
    const computed = shareFor(state, workspaceId, view);
    const share = growthFrozen ? Math.min(view.sharePerSecond, computed) : computed;
    view.sharePerSecond = share;
    const burst = Math.max(1, (view.limits.burst * share) / view.limits.requestsPerSecond);
    setRate(view.bucket, Math.max(share, Number.EPSILON), burst, nowMs);
  }
}

function shareFor(state: BoxState, workspaceId: string, view: WorkspaceView): number {
  const { boxId, boxes } = state.settings;
  const entries: DemandEntry[] = [];
  for (const box of boxes) {
    if (box.id !== boxId && hasAnnouncedShutdown(state, box.id)) continue;
    const demandPerSecond =
      box.id === boxId ? view.demandPerSecond : peerDemand(state, box.id, workspaceId);
    entries.push({ boxId: box.id, demandPerSecond });
  }
  return shareOfLimit(view.limits.requestsPerSecond, boxId, entries);
}

function peerDemand(state: BoxState, boxId: string, workspaceId: string): number {
  const demands = state.peers.get(boxId)?.demands ?? [];
  return demands.find((demand) => demand.workspaceId === workspaceId)?.requestsPerSecond ?? 0;
}

/** True if a box has announced its shutdown; a silent one may be behind a network partition. */
function hasAnnouncedShutdown(state: BoxState, boxId: string): boolean {
  return state.boxMembers.members.get(boxId)?.leavingSinceMs !== undefined;
}

function isAnyBoxSilent(state: BoxState): boolean {
  const { boxId, boxes } = state.settings;
  return boxes.some((box) => {
    if (box.id === boxId || hasAnnouncedShutdown(state, box.id)) return false;
    const member = state.boxMembers.members.get(box.id);
    return member === undefined || member.state !== MemberState.live;
  });
}
