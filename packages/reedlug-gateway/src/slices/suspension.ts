/**
 * A machine that was suspended: its steady clock has not counted the time.
 *
 * Whatever counts from a moment before would seem fresh for as long again: a lease that
 * another box has taken, units that are no longer lent, a part of a server's limit that
 * another box sends. The time of day tells at the first event after it; where that was set
 * at the same time, the store's clock does with its next answer. A clock that was only set
 * ahead costs a renewal of the lease, so what would end callers' requests stays as it is.
 */
import { ageLease } from 'reedlug-coordination';
import { log, type GatewayState, type Step } from '../state.js';

/** Least time that counts as a suspension, in ms: several ticks, and more than clocks are corrected by. */
const MIN_SUSPENSION_MS = 250;
/** Time in which the store's clock tells of the suspension that the time of day told of, in ms. */
const SAME_SUSPENSION_MS = 5000;

/** Looks at the time of day before an event is handled. */
export function checkWallClock(state: GatewayState, step: Step): void {
  const aheadMs = step.wallClockMs - step.nowMs;
  const lostMs = aheadMs - (state.wallClockAheadMs ?? aheadMs);
  state.wallClockAheadMs = aheadMs;
  if (lostMs >= MIN_SUSPENSION_MS) applySuspension(state, step, lostMs, 'timeOfDay');
}

/** Looks at the store's clock: time since its zero can seem longer than it is, never shorter. */
export function checkStoreEpoch(state: GatewayState, step: Step, epochMs: number): void {
  const lostMs = (state.storeEpochMs ?? epochMs) - epochMs;
  const isKnown = step.nowMs - state.resumedAtMs < SAME_SUSPENSION_MS;
  if (lostMs >= MIN_SUSPENSION_MS && !isKnown) applySuspension(state, step, lostMs, 'storeClock');
}

/** Takes everything that is only safe for a time as that much older. */
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
