/**
 * When callers may come back whom no server takes, since those that are there name limits.
 *
 * Each is told the next moment that is not told to another one, as fast as the limits
 * allow. An urgent one goes before those that are less so.
 */
import { limitNow } from '../../policy/serverLimit.js';
import { spreadRetryMs } from '../../policy/retrySpread.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { fleetSize } from '../fleet.js';
import { eligibleAtMs } from './eligibility.js';
import { statingServersOf } from './lifeStatements.js';
import { restsUntilMs } from './rests.js';

/** Why such a request is refused. */
export const SERVERS_LIMITED = 'serversLimited';
/** Requests a second that a server is taken to begin after its rest. */
const RESTED_PER_SECOND = 1;
/** Longest time to come back that is told, in ms: limits change within seconds. */
const MOST_RETRY_MS = 5000;

/** Books the time at which a request may come back, in ms from now; undefined where no limit keeps it from its servers. */
export function bookReturnMs(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): number | undefined {
  const { perSecond, nextAtMs } = limitsOf(state, record, nowMs);
  if (perSecond === 0) return undefined;
  const { service, urgency, facts } = record;
  // Others refuse callers as well, and all of them come back to the same servers.
  const pauseMs = (1000 * fleetSize(state)) / perSecond;
  const told = state.returnTimes.get(service) ?? new Map<number, number>();
  const ahead = [...told].filter(([other]) => other <= urgency).map(([, atMs]) => atMs);
  const lastAtMs = Math.max(Number.NEGATIVE_INFINITY, ...ahead);
  const atMs = Math.max(nextAtMs, lastAtMs + pauseMs);
  const waitMs = Math.min(MOST_RETRY_MS, Math.max(0, atMs - nowMs));
  told.set(urgency, nowMs + waitMs);
  state.returnTimes.set(service, told);
  return spreadRetryMs(waitMs, facts.requestId);
}

/** What the limited servers take that a request could go to, and when the first of them takes the next. */
function limitsOf(
  state: GatewayState,
  { service, avoid }: RequestRecord,
  nowMs: number,
): { perSecond: number; nextAtMs: number } {
  let perSecond = 0;
  let ownNextAtMs = Number.POSITIVE_INFINITY;
  for (const view of statingServersOf(state, service)) {
    if (avoid.has(view.entry.id)) continue;
    const { limit, rest } = view.statements ?? {};
    const rests = rest !== undefined && restsUntilMs(rest) > nowMs;
    perSecond += (limit && limitNow(limit, nowMs)) ?? (rests ? RESTED_PER_SECOND : 0);
    ownNextAtMs = Math.min(ownNextAtMs, eligibleAtMs(state, view, nowMs));
  }
  const nextAtMs = Math.min(ownNextAtMs, nowMs + 1000 / Math.max(perSecond, Number.EPSILON));
  return { perSecond, nextAtMs };
}
