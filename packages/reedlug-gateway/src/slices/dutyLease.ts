/** The lease under which one box carries out the duties for all. */
import { leaseAnswered, leaseTick, usableFence } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { startDelayMs } from './fleet.js';
import { log, requestTable, type GatewayState, type Step } from '../state.js';

/** How recently a peer must have said that it holds the lease for this box to leave the row alone, in ms. */
const HOLDER_SILENT_AFTER_MS = 1500;

/** Renews the lease, or tries for it when no peer holds it. */
export function dutyLeaseTick(state: GatewayState, step: Step): void {
  if (state.settings.cloud === undefined) return;
  const { lease } = state;
  const wasHeld = lease.held !== undefined;
  if (!wasHeld && !mayAcquireLease(state, step)) return;
  if (state.stoppingSinceMs !== undefined) return;
  const op = leaseTick(lease, step.nowMs);
  if (wasHeld && lease.held === undefined) log(step, 'leaseLapsed', { fence: lease.lastFence });
  if (op !== undefined) requestTable(step, { kind: 'lease' }, op);
}

/** In a large fleet only hubs try, so that few boxes ask for the row. */
function mayAcquireLease(state: GatewayState, step: Step): boolean {
  if (state.hubId !== undefined) return false;
  if (step.nowMs - state.startedAtMs < startDelayMs(state)) return false;
  for (const peer of state.peers.values()) {
    const silentMs = step.nowMs - peer.lastReceivedAtMs;
    if (peer.message?.leaseHolder !== undefined && silentMs < HOLDER_SILENT_AFTER_MS) return false;
  }
  return true;
}

/** Takes the store's answer about the lease's row. */
export function onLeaseRow(state: GatewayState, step: Step, event: EventOf<'tableAnswered'>): void {
  const fenceBefore = state.lease.held?.fence;
  leaseAnswered(state.lease, event.answer, { sentAtMs: event.sentAtMs, nowMs: step.nowMs });
  const fence = state.lease.held?.fence;
  if (fence === fenceBefore) return;
  log(step, fence === undefined ? 'leaseLost' : 'leaseTaken', { fence: fence ?? fenceBefore ?? 0 });
}

/** The fence under which duties may be done now, or undefined. */
export function dutyFence(state: GatewayState, nowMs: number): number | undefined {
  if (state.stoppingSinceMs !== undefined) return undefined;
  return usableFence(state.lease, nowMs, true);
}

/** Gives duties up after the platform refused this box's fence. */
export function dropLease(state: GatewayState, step: Step): void {
  if (state.lease.held === undefined) return;
  log(step, 'leaseRefused', { fence: state.lease.held.fence });
  state.lease.held = undefined;
}
