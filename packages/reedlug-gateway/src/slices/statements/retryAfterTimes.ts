/**
 * Retry-After times of requests that no server accepts because all are limited, paused or draining.
 *
 * Each caller gets the next time that no other caller was given, spaced by the rate at which the
 * servers accept requests. More urgent requests are placed before less urgent ones.
 */
import { currentLimit } from '../../policy/serverLimit.js';
import { addRetryJitter } from '../../policy/retryJitter.js';
import { nextRetryAtMs } from '../../policy/retrySchedule.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { modelOf } from '../engines/engineModels.js';
import { fleetSize } from '../peers/fleet.js';
import { recordPlaceRefusal, rejectionsBorne } from './brittleServices.js';
import { eligibleAtMs } from './eligibility.js';
import { drainingStatementsOf, serversWithStatements } from './incarnationStatements.js';
import { pausedUntilMs } from './pauses.js';

/** Reason given in the refusal of such a request. */
export const SERVERS_LIMITED = 'serversLimited';
/**
 * Share of a server's slots that is offered to returning callers after its pause. The rest is needed for
 * its unfinished work and for new callers.
 */
const SHARE_AFTER_PAUSE = 0.25;
/** Maximum Retry-After time where limits change within seconds or engines can be ordered, in ms. */
const MAX_RETRY_AFTER_MS = 5000;

/** Reserves the time after which a refused request may be retried, in ms from now; undefined if no statement blocks its servers. */
export function reserveRetryAfterMs(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): number | undefined {
  const accepted = brittleRateOf(state, record, nowMs) ?? acceptedRateOf(state, record, nowMs);
  if (accepted === undefined) return replacementRetryAfterMs(state, record, nowMs);
  const { perSecond, nextAtMs, maxRetryAfterMs } = accepted;
  const { service, urgency, facts } = record;
  // Other boxes refuse callers as well, and all of these return to the same servers.
  const intervalMs = (1000 * fleetSize(state)) / perSecond;
  const assigned = state.retryAfterTimes.get(service) ?? new Map<number, number>();
  const atMs = nextRetryAtMs(assigned, { urgency, earliestAtMs: nextAtMs, intervalMs });
  const waitMs = Math.min(maxRetryAfterMs, Math.max(0, atMs - nowMs));
  assigned.set(urgency, nowMs + waitMs);
  state.retryAfterTimes.set(service, assigned);
  return addRetryJitter(waitMs, facts.requestId);
}

/** Rate at which limited and paused servers will accept requests. */
interface AcceptedRate {
  perSecond: number;
  /** When the first of them accepts the next request. */
  nextAtMs: number;
  maxRetryAfterMs: number;
}

/** Returns the rate at which the places of a brittle service become free; undefined if it is not brittle. */
function brittleRateOf(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): AcceptedRate | undefined {
  const { service } = record;
  if (rejectionsBorne(state, service) === undefined) return undefined;
  recordPlaceRefusal(state, record, nowMs);
  let slots = 0;
  for (const { entry, leaving } of state.servers.values()) {
    if (entry.service === service && !leaving) slots += entry.slots;
  }
  const { stayMs } = modelOf(state, service, nowMs);
  const perSecond = (Math.max(1, slots) * 1000) / Math.max(1, stayMs);
  return { perSecond, nextAtMs: nowMs + stayMs, maxRetryAfterMs: MAX_RETRY_AFTER_MS };
}

function acceptedRateOf(
  state: GatewayState,
  { service, excludedServers }: RequestRecord,
  nowMs: number,
): AcceptedRate | undefined {
  let limitedPerSecond = 0;
  let pausedPerSecond = 0;
  let nextAtMs = Number.POSITIVE_INFINITY;
  const { stayMs } = modelOf(state, service, nowMs);
  for (const view of serversWithStatements(state, service)) {
    const { limit, rest } = view.statements ?? {};
    const limitPerSecond = limit && currentLimit(limit, nowMs);
    const isPaused = rest !== undefined && pausedUntilMs(rest) > nowMs;
    if (excludedServers.has(view.entry.id) || (limitPerSecond === undefined && !isPaused)) continue;
    if (limitPerSecond !== undefined) limitedPerSecond += limitPerSecond;
    else pausedPerSecond += (view.entry.slots * SHARE_AFTER_PAUSE * 1000) / stayMs;
    nextAtMs = Math.min(nextAtMs, eligibleAtMs(state, view, nowMs));
  }
  const perSecond = limitedPerSecond + pausedPerSecond;
  if (perSecond === 0) return undefined;
  // Another box may be allowed to send to a limited server while this one is not.
  if (limitedPerSecond > 0) nextAtMs = Math.min(nextAtMs, nowMs + 1000 / limitedPerSecond);
  const isShort = limitedPerSecond > 0 || bootMsOf(state, service) !== undefined;
  return { perSecond, nextAtMs, maxRetryAfterMs: isShort ? MAX_RETRY_AFTER_MS : Infinity };
}

/** Returns the time until an engine replaces the one that started draining last, in ms; undefined if none is expected. */
function replacementRetryAfterMs(
  state: GatewayState,
  { service, facts }: RequestRecord,
  nowMs: number,
): number | undefined {
  const bootMs = bootMsOf(state, service);
  const drainedAtMs = Math.max(
    Number.NEGATIVE_INFINITY,
    ...drainingStatementsOf(state, service).map(({ announcement }) => announcement.changedAtMs),
  );
  if (bootMs === undefined || drainedAtMs + bootMs <= nowMs) return undefined;
  return addRetryJitter(drainedAtMs + bootMs - nowMs, facts.requestId);
}

function bootMsOf({ active }: GatewayState, service: string): number | undefined {
  return active?.configuration.services.find(({ name }) => name === service)?.scaling?.bootMs;
}
