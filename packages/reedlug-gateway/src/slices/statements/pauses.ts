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
import { rankOf } from './senderShare.js';

/** Two tellings of one rest differ by less, in ms: each comes a way later. A shorter rest is over before others hear of it. */
export const PAUSE_TOLERANCE_MS = 300;
/** Time in a rest from which on one request of the fleet may be sent, in ms: few servers mean to rest for longer. */
const PROBE_AFTER_MS = 60_000;
/** Time after which the next box by rank may send it, in ms: the first may have no callers, or be gone. */
const PROBE_RANK_DELAY_MS = 10_000;

type PauseStatement = Extract<ServerStatement, { kind: 'rest' }>;

/** Merges a rest that a server asked this box for. */
export function mergeOwnPause(
  step: Step,
  params: { statements: IncarnationStatements; pauseMs: number; source: string },
): void {
  const { statements, pauseMs, source } = params;
  const pause = mergePause(step, {
    statements,
    reported: {
      kind: 'rest',
      leftMs: pauseMs,
      askedAgeMs: 0,
      probeAgeMs: undefined,
      servedAgeMs: undefined,
    },
    source,
  });
  pause.ownUntilMs = Math.max(pause.ownUntilMs, step.nowMs + pauseMs);
}

/** Merges a rest of which this box or another one knows. */
export function mergePause(
  step: Step,
  {
    statements,
    reported,
    source,
  }: { statements: IncarnationStatements; reported: PauseStatement; source: string },
): ServerPause {
  const { nowMs } = step;
  const known = statements.rest;
  const pause = known ?? createPause(nowMs);
  statements.rest = pause;
  const before = { ...pause, wasLifted: isLifted(pause) };
  pause.untilMs = Math.max(pause.untilMs, nowMs + reported.leftMs);
  pause.requestedAtMs = Math.max(pause.requestedAtMs, nowMs - reported.askedAgeMs);
  pause.probeAtMs = Math.max(pause.probeAtMs, timeOf(reported.probeAgeMs, nowMs));
  pause.servedAtMs = Math.max(pause.servedAtMs, timeOf(reported.servedAgeMs, nowMs));
  const isChanged =
    known === undefined ||
    pause.untilMs > before.untilMs + PAUSE_TOLERANCE_MS ||
    pause.probeAtMs > before.probeAtMs + PAUSE_TOLERANCE_MS ||
    isLifted(pause) !== before.wasLifted;
  if (!isChanged) return pause;
  pause.announcement = { changedAtMs: nowMs, announcedAtMs: undefined };
  log(step, 'serverRests', {
    server: statements.serverId,
    bornAtMs: statements.bornAtMs ?? 0,
    source,
    leftMs: Math.round(reported.leftMs),
    isLifted: isLifted(pause),
  });
  return pause;
}

/** A rest as others are told. */
export function pauseStatement(pause: ServerPause, nowMs: number): PauseStatement {
  return {
    kind: 'rest',
    leftMs: Math.round(pause.untilMs - nowMs),
    askedAgeMs: Math.round(nowMs - pause.requestedAtMs),
    probeAgeMs: ageOf(pause.probeAtMs, nowMs),
    servedAgeMs: ageOf(pause.servedAtMs, nowMs),
  };
}

/** Until when this box keeps a rest. */
export function pausedUntilMs(pause: ServerPause): number {
  return isLifted(pause) ? pause.ownUntilMs : pause.untilMs;
}

/** Whether this box may send the one request of the fleet by which it shows whether a long rest stands. */
export function mayProbePause(
  state: GatewayState,
  { rest, life, nowMs }: { rest: ServerPause; life: IncarnationStatements; nowMs: number },
): boolean {
  const elapsedMs = nowMs - rest.requestedAtMs;
  if (elapsedMs < PROBE_AFTER_MS || rest.probeAtMs >= rest.requestedAtMs) return false;
  const rank = rankOf(state, { life, ranked: rest, nowMs });
  return elapsedMs >= PROBE_AFTER_MS + rank * PROBE_RANK_DELAY_MS;
}

/** Notes a send to a server that rests. */
export function recordSendDuringPause(pause: ServerPause, nowMs: number): void {
  if (pausedUntilMs(pause) <= nowMs) return;
  pause.probeAtMs = nowMs;
  pause.announcement = { changedAtMs: nowMs, announcedAtMs: undefined };
}

/** A server has served a request: where that was the probe of a rest, the rest is over for boxes that were not asked. */
export function recordServedProbe(state: GatewayState, step: Step, attempt: Attempt): void {
  const statements = state.statements.get(attempt.serverId);
  const pause = statements?.rest;
  if (statements?.bornAtMs !== attempt.bornAtMs || pause === undefined) return;
  if (attempt.sentAtMs !== pause.probeAtMs || isLifted(pause)) return;
  pause.servedAtMs = step.nowMs;
  pause.announcement = { changedAtMs: step.nowMs, announcedAtMs: undefined };
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

function createPause(nowMs: number): ServerPause {
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
