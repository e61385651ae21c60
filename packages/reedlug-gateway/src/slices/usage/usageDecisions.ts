/**
 * Decides once what is reported for a window of usage, even if the store loses data.
 *
 * A row in the store fixes the decision, but a store that is restored from a backup may have lost the
 * row, and the platform cannot take back a report. So a decision is sent to all boxes before it is
 * reported. The store's era is a number that grows with each restore. A window that may have been
 * decided before the present era is decided only by a box that has held the lease (the right of one box
 * to act for the fleet) ever since the window came due: a missing report can be corrected, a double one
 * cannot.
 */
import { log, type GatewayState, type Step } from '../../state.js';
import type { UsageDecisionGossip } from '../../types/peer.js';
import type { UsageCounts, UsageWindow } from '../../types/views.js';
import { agreedWallClockMs } from '../store/clock.js';
import { boxesWithLateCounts, CLOCK_SLACK_MS } from './lateCounts.js';

/** Time after the end of a window in which the last counts of peers arrive, in ms; several of their messages. */
const SETTLE_MS = 1500;
/** Time for which a changed decision is announced, in ms; ten messages, of which some may be lost. */
const ANNOUNCE_FOR_MS = 2000;
/**
 * Time from a decision until it is reported, in ms. A decision reaches the members of other groups through
 * two hubs (boxes that forward gossip for a group).
 */
const ANNOUNCE_BEFORE_REPORT_MS = 1000;
/**
 * Time after the lease was taken in which the counts of all boxes arrive, in ms. Boxes learn of the
 * new holder through hubs and send it their counts twice a second.
 */
const HOLDER_SETTLE_MS = 1500;
/** Time for a write of the row or a report of it, with one retry, in ms. */
const CALL_WITH_RETRY_MS = 1400;
/** Time that the write of the row, its announcement and the report may take together, in ms. */
const REPORT_TAKES_MS = CALL_WITH_RETRY_MS + ANNOUNCE_BEFORE_REPORT_MS + CALL_WITH_RETRY_MS;

/**
 * Returns whether a window is due to be decided, by the agreed clock. While counts of it may still
 * arrive, it is due only once the time to its report is needed for the decision and the report.
 */
export function isDue(state: GatewayState, step: Step, entry: UsageWindow): boolean {
  const nowMs = agreedWallClockMs(state, step);
  if (nowMs < dueAtMs(state, entry.window)) return false;
  const { usageWindowMs, usageDueMs } = state.settings.bounds;
  const endedAgoMs = nowMs - (entry.window + 1) * usageWindowMs;
  if (entry.decided !== undefined || endedAgoMs >= usageDueMs - REPORT_TAKES_MS) return true;
  const heldSinceMs = state.lease.held?.sinceMs ?? Number.NEGATIVE_INFINITY;
  if (step.nowMs - heldSinceMs < HOLDER_SETTLE_MS) return false;
  const boxes = boxesWithLateCounts(state, entry, step.nowMs - endedAgoMs);
  if (boxes.length === 0) return true;
  if (!entry.isDelayLogged) {
    log(step, 'usageAwaited', {
      window: entry.window,
      boxes: boxes.length,
      first: boxes[0] ?? '',
      forMs: Math.round(usageDueMs - REPORT_TAKES_MS - endedAgoMs),
    });
  }
  entry.isDelayLogged = true;
  return false;
}

/**
 * Returns the earliest time at which a holder of the lease decides a window, by the agreed clock.
 */
function dueAtMs(state: GatewayState, window: number): number {
  return (window + 1) * state.settings.bounds.usageWindowMs + SETTLE_MS;
}

/**
 * Returns whether a window without a known decision cannot have been decided by another box. That holds if
 * it came due in the present era of the store, which has lost no row, or while this box held the lease.
 */
export function mayDecide(state: GatewayState, step: Step, { window }: UsageWindow): boolean {
  const dueMs = dueAtMs(state, window);
  const heldSinceMs = state.lease.held?.sinceMs;
  if (heldSinceMs !== undefined && dueMs >= agreedWallClockAt(state, step, heldSinceMs))
    return true;
  return dueMs > eraSinceWallClockMs(state, step) + CLOCK_SLACK_MS;
}

/** Returns a time at which the store was already in its present era, by the agreed clock. */
export function eraSinceWallClockMs(state: GatewayState, step: Step): number {
  const { sinceMs, reportedSinceWallClockMs } = state.eraKnown;
  // A store without eras is assumed to lose no rows.
  if (state.storeEra === undefined || state.storeEra === 0) return Number.NEGATIVE_INFINITY;
  return Math.min(agreedWallClockAt(state, step, sinceMs), reportedSinceWallClockMs);
}

/** Converts a time on this box's clock to the agreed clock. */
function agreedWallClockAt(state: GatewayState, step: Step, atMs: number): number {
  return agreedWallClockMs(state, step) - (step.nowMs - atMs);
}

/** Records what is to be reported for a window, and announces it. */
export function recordDecision(step: Step, entry: UsageWindow, counts: UsageCounts): void {
  entry.decided = counts;
  entry.decidedAtMs = step.nowMs;
  announce(step, entry);
}

/** Records that the platform has the report of a window, and announces it. */
export function recordReported(step: Step, entry: UsageWindow): void {
  entry.reported = true;
  announce(step, entry);
}

/** Returns whether a decision has been announced long enough that all boxes have received it. */
export function isAnnounced({ decidedAtMs }: UsageWindow, nowMs: number): boolean {
  return nowMs - decidedAtMs >= ANNOUNCE_BEFORE_REPORT_MS;
}

/** Announces all decisions for a while, since the store may have lost them or a peer may lack them. */
export function announceDecisions(state: GatewayState, step: Step): void {
  for (const entry of state.usage.values()) announce(step, entry);
}

function announce(step: Step, entry: UsageWindow): void {
  entry.announcedUntilMs = step.nowMs + ANNOUNCE_FOR_MS;
}

/** Returns the decisions to send to peers now; undefined if there are none. */
export function decisionGossip(
  state: GatewayState,
  nowMs: number,
): UsageDecisionGossip[] | undefined {
  const announced = [...state.usage.values()].filter(
    ({ announcedUntilMs }) => nowMs < announcedUntilMs,
  );
  const gossip = announced.flatMap(({ window, decided, reported }) =>
    decided === undefined ? [] : [{ window, counts: decided, isReported: reported }],
  );
  return gossip.length === 0 ? undefined : gossip;
}

/** Merges what a peer knows of a window. */
export function mergeDecision(
  step: Step,
  entry: UsageWindow,
  { counts, isReported }: UsageDecisionGossip,
): void {
  if (entry.decided === undefined) recordDecision(step, entry, counts);
  else if (!areEqual(entry.decided, counts)) {
    // One of the two may have been reported already, so no other one may be.
    if (!entry.reported) log(step, 'usageDisputed', { window: entry.window });
    entry.reported = true;
  }
  if (isReported && !entry.reported) recordReported(step, entry);
}

function areEqual(a: UsageCounts, b: UsageCounts): boolean {
  const names = Object.keys(a);
  return names.length === Object.keys(b).length && names.every((name) => a[name] === b[name]);
}
