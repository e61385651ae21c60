/** The duty lease: the box that holds it performs the tasks that one box does for the whole fleet. */
import { handleLeaseAnswer, leaseTick, usableFence } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import { startDelayMs } from '../peers/fleet.js';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';

/** Time since the last message of a peer that names a holder of the lease after which this box tries to acquire it, in ms. */
const HOLDER_SILENT_AFTER_MS = 1500;

/** Renews the lease, or tries to acquire it when no peer holds it. */
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

/** Returns whether this box may try to acquire the lease. In a large fleet only hubs try, so that few boxes read the row. */
function mayAcquireLease(state: GatewayState, step: Step): boolean {
  if (state.hubId !== undefined) return false;
  if (step.nowMs - state.startedAtMs < startDelayMs(state)) return false;
  for (const peer of state.peers.values()) {
    const silentMs = step.nowMs - peer.lastReceivedAtMs;
    if (peer.message?.leaseHolder !== undefined && silentMs < HOLDER_SILENT_AFTER_MS) return false;
  }
  return true;
}

/** Handles the store's answer about the row of the lease. */
export function onLeaseRow(state: GatewayState, step: Step, event: EventOf<'tableAnswered'>): void {
  const fenceBefore = state.lease.held?.fence;
  handleLeaseAnswer(state.lease, event.answer, { sentAtMs: event.sentAtMs, nowMs: step.nowMs });
  const fence = state.lease.held?.fence;
  if (fence === fenceBefore) return;
  log(step, fence === undefined ? 'leaseLost' : 'leaseTaken', { fence: fence ?? fenceBefore ?? 0 });
}

/** Returns the fence (fencing token of the lease) under which this box may perform duties now, or undefined. */
export function dutyFence(state: GatewayState, nowMs: number): number | undefined {
  if (state.stoppingSinceMs !== undefined) return undefined;
  return usableFence(state.lease, nowMs, true);
}

/** Drops the lease after the platform refused this box's fence. */
export function dropLease(state: GatewayState, step: Step): void {
  if (state.lease.held === undefined) return;
  log(step, 'leaseRefused', { fence: state.lease.held.fence });
  state.lease.held = undefined;
}
