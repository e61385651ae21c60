/**
 * Rests that servers ask for as they refuse.
 *
 * Whatever the order in which boxes learn of several, each rest is kept to its end. So that
 * a mistake does not lose a server for all, one box of the fleet sends one request late in a
 * long rest: where it is served, boxes that were not asked themselves use the server again.
 */
import { log, type GatewayState, type Step } from '../../state.js';
import type { Attempt } from '../../types/request.js';
import type {
  IncarnationStatements,
  ServerPause,
  ServerStatement,
} from '../../types/serverStatement.js';
import { rankOf } from './senderPart.js';

/** Two tellings of one rest differ by less, in ms: each comes a way later. A shorter rest is over before others hear of it. */
export const SAME_REST_MS = 300;
/** Time in a rest from which on one request of the fleet may be sent, in ms: few servers mean to rest for longer. */
const PROBE_AFTER_MS = 60_000;
/** Time after which the next box by rank may send it, in ms: the first may have no callers, or be gone. */
const NEXT_PROBE_MS = 10_000;

type RestStatement = Extract<ServerStatement, { kind: 'rest' }>;

/** Merges a rest that a server asked this box for. */
export function mergeOwnRest(
  step: Step,
  params: { statements: IncarnationStatements; restMs: number; source: string },
): void {
  const { statements, restMs, source } = params;
  const rest = mergeRest(step, {
    statements,
    told: {
      kind: 'rest',
      leftMs: restMs,
      askedAgeMs: 0,
      probeAgeMs: undefined,
      servedAgeMs: undefined,
    },
    source,
  });
  rest.ownUntilMs = Math.max(rest.ownUntilMs, step.nowMs + restMs);
}

/** Merges a rest of which this box or another one knows. */
export function mergeRest(
  step: Step,
  {
    statements,
    told,
    source,
  }: { statements: IncarnationStatements; told: RestStatement; source: string },
): ServerPause {
  const { nowMs } = step;
  const known = statements.rest;
  const rest = known ?? createRest(nowMs);
  statements.rest = rest;
  const before = { ...rest, wasLifted: isLifted(rest) };
  rest.untilMs = Math.max(rest.untilMs, nowMs + told.leftMs);
  rest.requestedAtMs = Math.max(rest.requestedAtMs, nowMs - told.askedAgeMs);
  rest.probeAtMs = Math.max(rest.probeAtMs, timeOf(told.probeAgeMs, nowMs));
  rest.servedAtMs = Math.max(rest.servedAtMs, timeOf(told.servedAgeMs, nowMs));
  const isNews =
    known === undefined ||
    rest.untilMs > before.untilMs + SAME_REST_MS ||
    rest.probeAtMs > before.probeAtMs + SAME_REST_MS ||
    isLifted(rest) !== before.wasLifted;
  if (!isNews) return rest;
  rest.announcement = { changedAtMs: nowMs, announcedAtMs: undefined };
  log(step, 'serverRests', {
    server: statements.serverId,
    bornAtMs: statements.bornAtMs ?? 0,
    source,
    leftMs: Math.round(told.leftMs),
    isLifted: isLifted(rest),
  });
  return rest;
}

/** A rest as others are told. */
export function restStatement(rest: ServerPause, nowMs: number): RestStatement {
  return {
    kind: 'rest',
    leftMs: Math.round(rest.untilMs - nowMs),
    askedAgeMs: Math.round(nowMs - rest.requestedAtMs),
    probeAgeMs: ageOf(rest.probeAtMs, nowMs),
    servedAgeMs: ageOf(rest.servedAtMs, nowMs),
  };
}

/** Until when this box keeps a rest. */
export function restsUntilMs(rest: ServerPause): number {
  return isLifted(rest) ? rest.ownUntilMs : rest.untilMs;
}

/** Whether this box may send the one request of the fleet by which it shows whether a long rest stands. */
export function mayProbeRest(
  state: GatewayState,
  { rest, life, nowMs }: { rest: ServerPause; life: IncarnationStatements; nowMs: number },
): boolean {
  const restedMs = nowMs - rest.requestedAtMs;
  if (restedMs < PROBE_AFTER_MS || rest.probeAtMs >= rest.requestedAtMs) return false;
  const rank = rankOf(state, { life, ranked: rest, nowMs });
  return restedMs >= PROBE_AFTER_MS + rank * NEXT_PROBE_MS;
}

/** Notes a send to a server that rests. */
export function noteSendInRest(rest: ServerPause, nowMs: number): void {
  if (restsUntilMs(rest) <= nowMs) return;
  rest.probeAtMs = nowMs;
  rest.announcement = { changedAtMs: nowMs, announcedAtMs: undefined };
}

/** A server has served a request: where that was the probe of a rest, the rest is over for boxes that were not asked. */
export function noteServed(state: GatewayState, step: Step, attempt: Attempt): void {
  const statements = state.statements.get(attempt.serverId);
  const rest = statements?.rest;
  if (statements?.bornAtMs !== attempt.bornAtMs || rest === undefined) return;
  if (attempt.sentAtMs !== rest.probeAtMs || isLifted(rest)) return;
  rest.servedAtMs = step.nowMs;
  rest.announcement = { changedAtMs: step.nowMs, announcedAtMs: undefined };
  log(step, 'serverRestLifted', { server: attempt.serverId });
}

function isLifted({ servedAtMs, requestedAtMs }: ServerPause): boolean {
  return servedAtMs > requestedAtMs;
}

function timeOf(ageMs: number | undefined, nowMs: number): number {
  return ageMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - ageMs;
}

function ageOf(atMs: number, nowMs: number): number | undefined {
  return atMs === Number.NEGATIVE_INFINITY ? undefined : Math.round(nowMs - atMs);
}

function createRest(nowMs: number): ServerPause {
  return {
    untilMs: nowMs,
    requestedAtMs: Number.NEGATIVE_INFINITY,
    ownUntilMs: nowMs,
    probeAtMs: Number.NEGATIVE_INFINITY,
    servedAtMs: Number.NEGATIVE_INFINITY,
    announcement: { changedAtMs: nowMs, announcedAtMs: undefined },
    rank: undefined,
  };
}
