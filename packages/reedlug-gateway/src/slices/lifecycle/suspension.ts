/**
 * Detects that the machine was suspended, a time that its monotonic clock does not count.
 *
 * Anything timed from a moment before would seem valid for longer than it is: a lease that
 * another box has acquired, units that are no longer lent, a share of a server's limit that
 * another box uses. The wall clock shows the suspension at the first event after it; if the
 * wall clock was set at the same time, the store's clock shows it with its next answer. A wall
 * clock that was only set ahead costs a renewal of the lease, so timers whose end would end
 * callers' requests are left as they are.
 */
import { ageLease } from 'reedlug-coordination';
import { log, type GatewayState, type Step } from '../../state.js';

/** Minimum time that counts as a suspension, in ms: several ticks, and more than clocks are corrected by. */
const MIN_SUSPENSION_MS = 250;
/** Minimum time without an event that counts as standing still, in ms: a busy box is late by less. */
const MIN_STALL_MS = 1000;
/** Time within which the store's clock shows the suspension that the wall clock has already shown, in ms. */
const SAME_SUSPENSION_MS = 5000;

/** Checks the wall clock before an event is handled. */
export function checkWallClock(state: GatewayState, step: Step): void {
  const aheadMs = step.wallClockMs - step.nowMs;
  const lostMs = aheadMs - (state.wallClockAheadMs ?? aheadMs);
  state.wallClockAheadMs = aheadMs;
  if (lostMs >= MIN_SUSPENSION_MS) applySuspension(state, step, lostMs, 'timeOfDay');
}

/** Records that the process stood still: ticks come far more often than its threshold. */
export function recordStall(state: GatewayState, nowMs: number): void {
  if (nowMs - state.lastEventAtMs >= MIN_STALL_MS) state.stalledAtMs = nowMs;
  state.lastEventAtMs = nowMs;
}

/** Checks the store's clock: a slow answer makes its time 0 seem later, never earlier, so it does not look like a suspension. */
export function checkStoreEpoch(state: GatewayState, step: Step, epochMs: number): void {
  const lostMs = (state.storeEpochMs ?? epochMs) - epochMs;
  const isKnown = step.nowMs - state.resumedAtMs < SAME_SUSPENSION_MS;
  if (lostMs >= MIN_SUSPENSION_MS && !isKnown) applySuspension(state, step, lostMs, 'storeClock');
}

/** Ages everything that is valid for a limited time by the time that was lost. */
function applySuspension(state: GatewayState, step: Step, lostMs: number, witness: string): void {
  state.resumedAtMs = step.nowMs;
  log(step, 'suspended', { lostMs: Math.round(lostMs), witness });
  ageLease(state.lease, lostMs);
  for (const quota of state.quotas.values()) {
    for (const loan of quota.loans) loan.untilMs -= lostMs;
  }
  for (const request of state.unitRequests.values()) request.sentAtMs -= lostMs;
  for (const { limit } of state.statements.values()) {
    const sends = limit?.sends;
    if (sends?.sharingSinceMs === undefined) continue;
    sends.sharingSinceMs = step.nowMs;
    sends.replacedAnotherBox = true;
  }
}
