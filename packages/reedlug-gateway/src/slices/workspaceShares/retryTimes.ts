/** Retry-After times of requests that are refused because their service is short of capacity. */
import { addRetryJitter } from '../../policy/retryJitter.js';
import { nextRetryAtMs, type AssignedTimes } from '../../policy/retrySchedule.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import type { ServiceWork } from '../../types/workspaceShares.js';
import { modelOf } from '../engines/engineModels.js';
import { fleetSize } from '../peers/fleet.js';
import { standingOf, standingsOf } from './standings.js';
import { ratePerSecond, serviceWorkOf, workOf } from './workSums.js';

/**
 * Share of the freed capacity that is offered to returning callers. The rest is for new ones, some
 * of which are more urgent. A larger share would bring callers back only to be refused again.
 */
const RETURNING_SHARE = 0.25;
/** Longest time told, in ms: callers do not wait longer, and the load has changed by then. */
const MAX_RETRY_AFTER_MS = 60_000;
/** Share of its remaining time up to which a caller waits; a time beyond it is not used. */
const MAX_WAIT_SHARE = 1 / 3;
/** Maximum number of told times that are kept: some seconds of refusals at a busy box. */
const MAX_TOLD_TIMES = 2000;

/** Delay told to a refused caller, and what it comes from. */
export interface SpreadRetry {
  retryAfterMs: number;
  /** Interval between the times that this box tells such callers. */
  retryIntervalMs: number;
  /** True if the caller came before the time that it was told, and keeps that time. */
  isEarlyRepeat: boolean;
}

/**
 * Returns the delay that a refused caller is told, in ms, and takes its place in the schedule if it
 * is likely to return.
 */
export function spreadRetryAfterMs(
  state: GatewayState,
  record: RequestRecord,
  params: { earliestMs: number; prefillTokens: number; nowMs: number },
): SpreadRetry {
  const { earliestMs, prefillTokens, nowMs } = params;
  const { service, urgency, facts, deadlineAtMs } = record;
  const known = serviceWorkOf(state, service, nowMs);
  const key = callerKey(record);
  const toldAtMs = known.toldTimes.get(key);
  // A caller that comes before its time keeps its place.
  if (toldAtMs !== undefined && toldAtMs > nowMs) {
    return { retryAfterMs: toldAtMs - nowMs, retryIntervalMs: 0, isEarlyRepeat: true };
  }
  const intervalMs = intervalMsOf(state, record, { prefillTokens, nowMs });
  const isOver = standingOf(state, record, nowMs)?.kind === 'over';
  const assigned = scheduleOf(known, isOver ? `over ${record.workspace ?? ''}` : '', nowMs);
  const earliestAtMs = nowMs + earliestMs;
  const atMs = nextRetryAtMs(assigned, { urgency, earliestAtMs, intervalMs });
  const waitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(0, atMs - nowMs) || 0);
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, addRetryJitter(waitMs, facts.requestId));
  if (retryAfterMs <= (deadlineAtMs - nowMs) * MAX_WAIT_SHARE) {
    assigned.set(urgency, nowMs + waitMs);
    rememberTold(known, key, nowMs + retryAfterMs, nowMs);
  }
  return { retryAfterMs, retryIntervalMs: Math.round(intervalMs), isEarlyRepeat: false };
}

/** Returns a schedule by its name, and drops the others that are over. */
function scheduleOf({ retryTimes }: ServiceWork, name: string, nowMs: number): AssignedTimes {
  for (const [other, times] of retryTimes) {
    if ([...times.values()].every((atMs) => atMs <= nowMs)) retryTimes.delete(other);
  }
  const assigned = retryTimes.get(name) ?? new Map<number, number>();
  retryTimes.set(name, assigned);
  return assigned;
}

/** Returns whether a request repeats one that was told a later time. */
export function isEarlyRepeat(state: GatewayState, record: RequestRecord, nowMs: number): boolean {
  const toldAtMs = state.workspaceShares.get(record.service)?.toldTimes.get(callerKey(record));
  return toldAtMs !== undefined && toldAtMs > nowMs;
}

function callerKey({ workspace, facts }: RequestRecord): string {
  return `${workspace ?? ''} ${facts.digest}`;
}

function rememberTold({ toldTimes }: ServiceWork, key: string, atMs: number, nowMs: number): void {
  toldTimes.delete(key);
  toldTimes.set(key, atMs);
  if (toldTimes.size <= MAX_TOLD_TIMES) return;
  for (const [other, otherAtMs] of toldTimes) {
    if (otherAtMs <= nowMs) toldTimes.delete(other);
  }
  for (const other of toldTimes.keys()) {
    if (toldTimes.size <= MAX_TOLD_TIMES) return;
    toldTimes.delete(other);
  }
}

/**
 * Returns the interval between the times told by this box, in ms: the time in which its part of the
 * service takes the work of the request. A workspace over its share gets no more than that share,
 * even when its callers return.
 */
function intervalMsOf(
  state: GatewayState,
  record: RequestRecord,
  { prefillTokens, nowMs }: { prefillTokens: number; nowMs: number },
): number {
  const { service, workspace = '' } = record;
  const { shares, admitted } = standingsOf(state, service, nowMs);
  const isOver = standingOf(state, record, nowMs)?.kind === 'over';
  const work = isOver ? Math.min(admitted, shares.get(workspace) ?? 0) : admitted;
  const perSecond = ratePerSecond(work) * RETURNING_SHARE;
  if (perSecond > 0) return (1000 * fleetSize(state) * workOf(record, prefillTokens)) / perSecond;
  return (fleetSize(state) * modelOf(state, service, nowMs).stayMs) / slotsOf(state, service);
}

/**
 * Returns the slots of a service; the rate at which they become free is used before anything was
 * admitted.
 */
function slotsOf({ servers }: GatewayState, service: string): number {
  let slots = 0;
  for (const { entry } of servers.values()) if (entry.service === service) slots += entry.slots;
  return Math.max(1, slots);
}
