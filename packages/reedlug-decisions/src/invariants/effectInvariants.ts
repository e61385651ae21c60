/** Invariants of the effects of one event. */
import { mayHaveRun, Outcome, Reach } from 'reedlug-coordination';
import type { Effect } from '../types/effect.js';
import type { BoxState } from '../state.js';
import type { InvariantMemory } from './memory.js';
import { InvariantName, type Violation } from './violation.js';

/** Returns the invariant that an effect violates, or undefined. */
export function checkEffect(
  memory: InvariantMemory,
  state: BoxState,
  effect: Effect,
): Violation | undefined {
  switch (effect.type) {
    case 'sendAttempt':
      return checkAtMostOneRun(state, effect) ?? checkNoWorkForLeaving(state, effect);
    case 'deliverTokens':
      return checkGaplessTokens(memory, state, effect);
    case 'finishRequest':
      return checkOneOutcome(memory, state, effect) ?? checkNotRunHasNone(state, effect);
    case 'sendOrder':
      return checkWithinLease(memory, state, effect.fence);
    case 'askCloud':
      return checkWithinLease(memory, state, effect.ask.fence);
    case 'forgetRequest':
      memory.finished.delete(effect.requestId);
      memory.nextOffset.delete(effect.requestId);
      return undefined;
    case 'cancelAttempt':
    case 'exportKv':
    case 'moveCache':
    case 'requestTable':
    case 'writeSnapshot':
    case 'sendPeer':
    case 'probeServer':
    case 'answerOperator':
    case 'stopped':
    case 'log':
      return undefined;
  }
}

function checkAtMostOneRun(
  state: BoxState,
  effect: Extract<Effect, { type: 'sendAttempt' }>,
): Violation | undefined {
  const record = state.requests.get(effect.requestId);
  if (record === undefined || record.spec.repeatable) return undefined;
  const runs = record.attempts.filter((attempt) => mayHaveRun(attempt.reach)).length;
  if (runs <= 1) return undefined;
  const detail = `request ${effect.requestId} may not be repeated and has ${runs} attempts`;
  return { name: InvariantName.atMostOneRun, detail };
}

function checkNoWorkForLeaving(
  state: BoxState,
  effect: Extract<Effect, { type: 'sendAttempt' }>,
): Violation | undefined {
  const member = state.serverMembers.members.get(effect.serverId);
  const graceMs = state.settings.control.leavingGraceMs;
  if (member?.leavingSinceMs === undefined) return undefined;
  if (state.nowMs - member.leavingSinceMs <= graceMs) return undefined;
  const detail = `${effect.serverId} received a new request ${state.nowMs - member.leavingSinceMs} ms after its first draining notice`;
  return { name: InvariantName.noWorkForLeaving, detail };
}

function checkGaplessTokens(
  memory: InvariantMemory,
  state: BoxState,
  effect: Extract<Effect, { type: 'deliverTokens' }>,
): Violation | undefined {
  const { requestId, offset, tokens } = effect;
  const expected = memory.nextOffset.get(requestId) ?? firstOffset(state, requestId);
  memory.nextOffset.set(requestId, offset + tokens.length);
  if (offset === expected) return undefined;
  const detail = `request ${requestId} got offset ${offset} instead of ${expected}`;
  return { name: InvariantName.gaplessTokens, detail };
}

/** Returns the first offset of a request; after a handover or a reconnect the caller has some tokens. */
function firstOffset(state: BoxState, requestId: string): number {
  const record = state.requests.get(requestId);
  return record === undefined ? 0 : Math.max(record.reconnectOffset, record.handoverOffset);
}

function checkOneOutcome(
  memory: InvariantMemory,
  state: BoxState,
  effect: Extract<Effect, { type: 'finishRequest' }>,
): Violation | undefined {
  const { requestId } = effect;
  if (memory.finished.has(requestId)) {
    return { name: InvariantName.oneOutcome, detail: `request ${requestId} got a second outcome` };
  }
  if (state.requests.has(requestId)) memory.finished.add(requestId);
  return undefined;
}

function checkNotRunHasNone(
  state: BoxState,
  effect: Extract<Effect, { type: 'finishRequest' }>,
): Violation | undefined {
  if (effect.outcome !== Outcome.notRun) return undefined;
  const attempts = state.requests.get(effect.requestId)?.attempts ?? [];
  const ran = attempts.find(({ reach }) => mayHaveRun(reach) || reach === Reach.moved);
  if (ran === undefined) return undefined;
  const detail = `request ${effect.requestId} is notRun and ${ran.attemptId} may have run`;
  return { name: InvariantName.notRunHasNone, detail };
}

function checkWithinLease(
  memory: InvariantMemory,
  state: BoxState,
  fence: number,
): Violation | undefined {
  const { held, options } = state.lease;
  if (fence < memory.fence) {
    return { name: InvariantName.fenceGrows, detail: `fence ${fence} after ${memory.fence}` };
  }
  memory.fence = fence;
  const endMs = held === undefined ? 0 : held.grantedAtMs + options.ttlMs - options.marginMs;
  if (state.nowMs < endMs) return undefined;
  const detail = `an order was sent at ${state.nowMs} ms, but the lease ended at ${endMs} ms`;
  return { name: InvariantName.orderWithinLease, detail };
}
