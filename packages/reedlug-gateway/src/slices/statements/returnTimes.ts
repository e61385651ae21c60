/**
 * When callers may come back whom no server takes, since those that are there name limits,
 * rest or leave.
 *
 * Each is told the next moment that is not told to another one, as fast as the servers will
 * take requests. An urgent one goes before those that are less so.
 */
import { currentLimit } from '../../policy/serverLimit.js';
import { addRetryJitter } from '../../policy/retryJitter.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { modelOf } from '../engineModels.js';
import { fleetSize } from '../fleet.js';
import { eligibleAtMs } from './eligibility.js';
import { leavingServersOf, statingServersOf } from './lifeStatements.js';
import { restsUntilMs } from './rests.js';

/** Why such a request is refused. */
export const SERVERS_LIMITED = 'serversLimited';
/** Share of a server's places that callers come back to after its rest: it has work of its own left, and others come too. */
const RESTED_SHARE = 0.25;
/** Longest time to come back that is told where limits change within seconds, or engines can be ordered, in ms. */
const MOST_RETRY_MS = 5000;

/** Books the time at which a request may come back, in ms from now; undefined where no statement keeps it from its servers. */
export function bookReturnMs(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): number | undefined {
  const intake = intakeOf(state, record, nowMs);
  if (intake === undefined) return returnToEngineMs(state, record, nowMs);
  const { perSecond, nextAtMs, mostRetryMs } = intake;
  const { service, urgency, facts } = record;
  // Others refuse callers as well, and all of them come back to the same servers.
  const pauseMs = (1000 * fleetSize(state)) / perSecond;
  const told = state.retryAfterTimes.get(service) ?? new Map<number, number>();
  const ahead = [...told].filter(([other]) => other <= urgency).map(([, atMs]) => atMs);
  const lastAtMs = Math.max(Number.NEGATIVE_INFINITY, ...ahead);
  const atMs = Math.max(nextAtMs, lastAtMs + pauseMs);
  const waitMs = Math.min(mostRetryMs, Math.max(0, atMs - nowMs));
  told.set(urgency, nowMs + waitMs);
  state.retryAfterTimes.set(service, told);
  return addRetryJitter(waitMs, facts.requestId);
}

/** What servers that name limits or rest will take. */
interface Intake {
  perSecond: number;
  /** When the first of them takes the next request. */
  nextAtMs: number;
  mostRetryMs: number;
}

function intakeOf(
  state: GatewayState,
  { service, excludedServers }: RequestRecord,
  nowMs: number,
): Intake | undefined {
  let limitedPerSecond = 0;
  let restedPerSecond = 0;
  let nextAtMs = Number.POSITIVE_INFINITY;
  const { stayMs } = modelOf(state, service, nowMs);
  for (const view of statingServersOf(state, service)) {
    const { limit, rest } = view.statements ?? {};
    const limitPerSecond = limit && currentLimit(limit, nowMs);
    const isResting = rest !== undefined && restsUntilMs(rest) > nowMs;
    if (excludedServers.has(view.entry.id) || (limitPerSecond === undefined && !isResting))
      continue;
    if (limitPerSecond !== undefined) limitedPerSecond += limitPerSecond;
    else restedPerSecond += (view.entry.slots * RESTED_SHARE * 1000) / stayMs;
    nextAtMs = Math.min(nextAtMs, eligibleAtMs(state, view, nowMs));
  }
  const perSecond = limitedPerSecond + restedPerSecond;
  if (perSecond === 0) return undefined;
  // Where this box may not send to a limited server, another one may.
  if (limitedPerSecond > 0) nextAtMs = Math.min(nextAtMs, nowMs + 1000 / limitedPerSecond);
  const isSoonOver = limitedPerSecond > 0 || bootMsOf(state, service) !== undefined;
  return { perSecond, nextAtMs, mostRetryMs: isSoonOver ? MOST_RETRY_MS : Infinity };
}

/** Time until an engine comes that stands in for the one that left last; undefined where none is to come. */
function returnToEngineMs(
  state: GatewayState,
  { service, facts }: RequestRecord,
  nowMs: number,
): number | undefined {
  const bootMs = bootMsOf(state, service);
  const leftAtMs = Math.max(
    Number.NEGATIVE_INFINITY,
    ...leavingServersOf(state, service).map(({ announcement }) => announcement.changedAtMs),
  );
  if (bootMs === undefined || leftAtMs + bootMs <= nowMs) return undefined;
  return addRetryJitter(leftAtMs + bootMs - nowMs, facts.requestId);
}

function bootMsOf({ active }: GatewayState, service: string): number | undefined {
  return active?.configuration.services.find(({ name }) => name === service)?.scaling?.bootMs;
}
