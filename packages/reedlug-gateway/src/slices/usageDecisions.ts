/**
 * What is reported for a window of usage is decided once, whatever becomes of the store.
 *
 * A row fixes it, but a store that comes back from a copy may have lost the row, and the platform
 * takes nothing back that it was told. So all boxes hear of a decision before it is reported, and a
 * window that may have been decided before the store's present era is decided again by nobody but
 * the box that held the lease all the time: a window that is not reported can be made good, one that
 * is reported twice can not.
 */
import { log, type GatewayState, type Step } from '../state.js';
import type { UsageDecisionGossip } from '../types/peer.js';
import type { UsageCounts, UsageWindow } from '../types/views.js';
import { agreedWallClockMs } from './clock.js';

/** Time after a window's end in which peers' last counts arrive, in ms: several of their messages. */
const SETTLE_MS = 1500;
/** Time for which a change of the decisions is told, in ms: ten messages, of which some may be lost. */
const TOLD_FOR_MS = 2000;
/** Time from a decision until it is reported, in ms: it reaches members of other groups over two hubs. */
const TOLD_BEFORE_MS = 1000;
/** Most by which boxes differ in the agreed time, in ms: the delay of a slow answer of the store. */
const CLOCK_SLACK_MS = 500;

/** When a window is decided, by the agreed clock. */
export function isDue(state: GatewayState, step: Step, { window }: UsageWindow): boolean {
  return agreedWallClockMs(state, step) >= dueAtMs(state, window);
}

function dueAtMs(state: GatewayState, window: number): number {
  return (window + 1) * state.settings.bounds.usageWindowMs + SETTLE_MS;
}

/**
 * Whether a window that this box knows no decision of was decided by nobody: it came due in the
 * store's present era, whose rows are all there, or while this box alone could decide.
 */
export function mayDecide(state: GatewayState, step: Step, { window }: UsageWindow): boolean {
  const dueMs = dueAtMs(state, window);
  const heldSinceMs = state.lease.held?.sinceMs;
  if (heldSinceMs !== undefined && dueMs >= wallAt(state, step, heldSinceMs)) return true;
  return dueMs > eraSinceWallMs(state, step) + CLOCK_SLACK_MS;
}

/** Time by which the store was in its present era, by the agreed clock. */
export function eraSinceWallMs(state: GatewayState, step: Step): number {
  const { sinceMs, reportedSinceWallClockMs } = state.eraKnown;
  // A store without eras loses nothing.
  if (state.storeEra === undefined || state.storeEra === 0) return Number.NEGATIVE_INFINITY;
  return Math.min(wallAt(state, step, sinceMs), reportedSinceWallClockMs);
}

/** A time on this box's clock by the agreed one. */
function wallAt(state: GatewayState, step: Step, atMs: number): number {
  return agreedWallClockMs(state, step) - (step.nowMs - atMs);
}

/** Takes what is to be reported for a window. */
export function noteDecision(step: Step, entry: UsageWindow, counts: UsageCounts): void {
  entry.decided = counts;
  entry.decidedAtMs = step.nowMs;
  tell(step, entry);
}

/** Takes it that the platform has a window's report. */
export function noteReported(step: Step, entry: UsageWindow): void {
  entry.reported = true;
  tell(step, entry);
}

/** Whether all boxes have heard what is to be reported. */
export function isTold({ decidedAtMs }: UsageWindow, nowMs: number): boolean {
  return nowMs - decidedAtMs >= TOLD_BEFORE_MS;
}

/** Tells peers all decisions for a while: the store may have lost them, or a peer may not know them. */
export function tellDecisions(state: GatewayState, step: Step): void {
  for (const entry of state.usage.values()) tell(step, entry);
}

function tell(step: Step, entry: UsageWindow): void {
  entry.announcedUntilMs = step.nowMs + TOLD_FOR_MS;
}

/** What peers are told now. */
export function decisionNews(
  state: GatewayState,
  nowMs: number,
): UsageDecisionGossip[] | undefined {
  const told = [...state.usage.values()].filter(({ announcedUntilMs }) => nowMs < announcedUntilMs);
  const news = told.flatMap(({ window, decided, reported }) =>
    decided === undefined ? [] : [{ window, counts: decided, isReported: reported }],
  );
  return news.length === 0 ? undefined : news;
}

/** Takes what a peer knows of a window. */
export function mergeDecision(
  step: Step,
  entry: UsageWindow,
  { counts, isReported }: UsageDecisionGossip,
): void {
  if (entry.decided === undefined) noteDecision(step, entry, counts);
  else if (!areEqual(entry.decided, counts)) {
    // One of them may be reported already: the other must not be.
    if (!entry.reported) log(step, 'usageDisputed', { window: entry.window });
    entry.reported = true;
  }
  if (isReported && !entry.reported) noteReported(step, entry);
}

function areEqual(a: UsageCounts, b: UsageCounts): boolean {
  const names = Object.keys(a);
  return names.length === Object.keys(b).length && names.every((name) => a[name] === b[name]);
}
