/**
 * Decides whether a request is sent to an engine now or refused at once.
 *
 * Refusals handle overload, when more prompt tokens arrive than the engines can process.
 * Without them, prompts queue in order of urgency until their callers leave. Nearly all requests
 * of a kind are then late, whereas refusals affect only some of them.
 */

import type { Standing } from './fairShare.js';

/** Share of an engine's slots in use below which nothing is refused: waits are then short. */
const NO_REFUSAL_BELOW_SHARE = 0.5;
/**
 * Expected time to the first event above which a request is refused, as a multiple of its route's
 * target: the first event is then expected to be late.
 */
const TARGET_FACTOR = 1;
/**
 * The same limit for a request that was refused before, as a share of its remaining time instead:
 * a retry takes precedence over a new request if this share is longer than the target.
 */
const RETRY_TIME_SHARE = 0.5;
/** Shortest and longest `Retry-After` of a refusal, in ms. */
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 5000;

/** Facts that the decision is based on. */
export interface SendContext {
  /** Expected time to the first event at the best engine. */
  expectedMs: number;
  /** Requests in progress at that engine, and its slots. */
  running: number;
  slots: number;
  /** The route's target for the first event, and the remaining time of the request. */
  targetMs: number;
  leftMs: number;
  /** True if the request was refused before and is a retry. */
  hasReturned: boolean;
  /** Standing of its workspace if capacity is shared fairly, see `fairShare.ts`. */
  standing?: Standing | undefined;
  /** Expected time to the first event at that engine if no other request waited there. */
  idleMs?: number | undefined;
  /** True if a request that takes precedence is refused at present. */
  yields?: boolean | undefined;
}

/** Outcome of the decision. */
export type SendDecision = { kind: 'send' } | { kind: 'refuse'; retryAfterMs: number };

/** Decides whether to send a request or to refuse it. */
export function decideSend(context: SendContext): SendDecision {
  const { expectedMs, running, slots, targetMs, yields = false } = context;
  if (running < slots * NO_REFUSAL_BELOW_SHARE && !isQueuedFlood(context)) return { kind: 'send' };
  if (!yields && !(expectedMs > maxExpectedMs(context))) return { kind: 'send' };
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, expectedMs - targetMs),
  );
  return { kind: 'refuse', retryAfterMs };
}

/**
 * Returns whether a request of a workspace over its share may be refused below half of the slots,
 * while others are under their shares. Heavy prompts of a flood would otherwise queue for seconds
 * in half of the slots, before all others. A request that is late for its own size needs a long
 * queue before it to be refused.
 */
function isQueuedFlood({ standing, expectedMs, targetMs, idleMs = 0 }: SendContext): boolean {
  if (standing?.kind !== 'over' || !standing.leavesRoom) return false;
  return idleMs < targetMs || expectedMs - idleMs > targetMs * standing.queueShare;
}

/** Returns the expected time to the first event above which a request is refused. */
export function maxExpectedMs(context: SendContext): number {
  const { targetMs, leftMs, hasReturned, standing, idleMs = 0 } = context;
  const usualMs = hasReturned ? leftMs * RETRY_TIME_SHARE : targetMs * TARGET_FACTOR;
  switch (standing?.kind) {
    case undefined:
    case 'even':
      return usualMs;
    case 'under':
      // Accepted late rather than refused while workspaces over their shares are served.
      return Math.max(usualMs, leftMs * RETRY_TIME_SHARE);
    case 'over': {
      const { queueShare } = standing;
      const queueMs = Math.max(0, targetMs * TARGET_FACTOR - idleMs);
      // Only the time in a queue is scaled, so that an engine always has prompts to process.
      if (!hasReturned) return usualMs - (1 - queueShare) * queueMs;
      // A retry precedes a new request of its kind, but takes no more than the target from others.
      const retryShare = (1 + queueShare) / 2;
      const sharedMs = Math.min(usualMs, targetMs * TARGET_FACTOR - (1 - retryShare) * queueMs);
      const usualWeight = Math.max(0, 2 * queueShare - 1);
      return usualWeight * usualMs + (1 - usualWeight) * sharedMs;
    }
  }
}
