/**
 * When callers may come back whom no server takes, since those that are there name limits,
 * rest or leave.
 *
 * Each is told the next moment that is not told to another one, as fast as the servers will
 * take requests. An urgent one goes before those that are less so.
 */
import { limitNow } from '../../policy/serverLimit.js';
import { spreadRetryMs } from '../../policy/retrySpread.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { modelOf } from '../engineModels.js';
import { fleetSize } from '../fleet.js';
import { eligibleAtMs } from './eligibility.js';
import { drainingStatementsOf, serversWithStatements } from './incarnationStatements.js';
import { pausedUntilMs } from './pauses.js';

/** Why such a request is refused. */
export const SERVERS_LIMITED = 'serversLimited';
/** Share of a server's places that callers come back to after its rest: it has work of its own left, and others come too. */
const SHARE_AFTER_PAUSE = 0.25;
/** Longest time to come back that is told where limits change within seconds, or engines can be ordered, in ms. */
const MAX_RETRY_AFTER_MS = 5000;

/** Books the time at which a request may come back, in ms from now; undefined where no statement keeps it from its servers. */
export function reserveRetryAfterMs(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): number | undefined {
  const accepted = acceptedRateOf(state, record, nowMs);
  if (accepted === undefined) return replacementRetryAfterMs(state, record, nowMs);
  const { perSecond, nextAtMs, maxRetryAfterMs } = accepted;
  const { service, urgency, facts } = record;
  // Others refuse callers as well, and all of them come back to the same servers.
  const intervalMs = (1000 * fleetSize(state)) / perSecond;
  const assigned = state.retryAfterTimes.get(service) ?? new Map<number, number>();
  const earlier = [...assigned].filter(([other]) => other <= urgency).map(([, atMs]) => atMs);
  const lastAtMs = Math.max(Number.NEGATIVE_INFINITY, ...earlier);
  const atMs = Math.max(nextAtMs, lastAtMs + intervalMs);
  const waitMs = Math.min(maxRetryAfterMs, Math.max(0, atMs - nowMs));
  assigned.set(urgency, nowMs + waitMs);
  state.retryAfterTimes.set(service, assigned);
  return spreadRetryMs(waitMs, facts.requestId);
}

/** What servers that name limits or rest will take. */
interface AcceptedRate {
  perSecond: number;
  /** When the first of them takes the next request. */
  nextAtMs: number;
  maxRetryAfterMs: number;
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
    const limitPerSecond = limit && limitNow(limit, nowMs);
    const isPaused = rest !== undefined && pausedUntilMs(rest) > nowMs;
    if (excludedServers.has(view.entry.id) || (limitPerSecond === undefined && !isPaused)) continue;
    if (limitPerSecond !== undefined) limitedPerSecond += limitPerSecond;
    else pausedPerSecond += (view.entry.slots * SHARE_AFTER_PAUSE * 1000) / stayMs;
    nextAtMs = Math.min(nextAtMs, eligibleAtMs(state, view, nowMs));
  }
  const perSecond = limitedPerSecond + pausedPerSecond;
  if (perSecond === 0) return undefined;
  // Where this box may not send to a limited server, another one may.
  if (limitedPerSecond > 0) nextAtMs = Math.min(nextAtMs, nowMs + 1000 / limitedPerSecond);
  const isShort = limitedPerSecond > 0 || bootMsOf(state, service) !== undefined;
  return { perSecond, nextAtMs, maxRetryAfterMs: isShort ? MAX_RETRY_AFTER_MS : Infinity };
}

/** Time until an engine comes that stands in for the one that left last; undefined where none is to come. */
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
  return spreadRetryMs(drainedAtMs + bootMs - nowMs, facts.requestId);
}

function bootMsOf({ active }: GatewayState, service: string): number | undefined {
  return active?.configuration.services.find(({ name }) => name === service)?.scaling?.bootMs;
}
