/**
 * Pauses that servers ask for when they refuse a request.
 *
 * Every pause is kept until its end, in whatever order boxes learn of several. So that a server is not
 * lost to the whole fleet by a mistake, one box sends one probe request during a long pause. If the
 * server serves it, the pause is lifted for the boxes that were not asked for it themselves.
 */
import { log, type GatewayState, type Step } from '../../state.js';
import type { Attempt } from '../../types/request.js';
import type {
  IncarnationStatements,
  ServerPause,
  ServerStatement,
} from '../../types/serverStatement.js';
import { rankOf } from './senderShare.js';

/**
 * Difference within which two reports count as the same pause, in ms; each is late by its network delay.
 * A shorter pause is over before other boxes receive it.
 */
export const PAUSE_TOLERANCE_MS = 300;
/** Time into a pause after which the fleet may send one probe, in ms. Few servers mean to pause for longer. */
const PROBE_AFTER_MS = 60_000;
/** Time after which the next box by rank may send the probe, in ms. The one before may have no callers, or be gone. */
const PROBE_RANK_DELAY_MS = 10_000;

type PauseStatement = Extract<ServerStatement, { kind: 'rest' }>;

/** Merges a pause that a server asked this box for. */
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

/** Merges a pause that a server asked this box for, or that another box reported; returns the merged pause. */
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

/** Returns the statement that tells other boxes of a pause. */
export function pauseStatement(pause: ServerPause, nowMs: number): PauseStatement {
  return {
    kind: 'rest',
    leftMs: Math.round(pause.untilMs - nowMs),
    askedAgeMs: Math.round(nowMs - pause.requestedAtMs),
    probeAgeMs: ageOf(pause.probeAtMs, nowMs),
    servedAgeMs: ageOf(pause.servedAtMs, nowMs),
  };
}

/** Returns until when this box sends nothing to a paused server. */
export function pausedUntilMs(pause: ServerPause): number {
  return isLifted(pause) ? pause.ownUntilMs : pause.untilMs;
}

/** Returns whether this box may send the one probe of the fleet that shows whether a long pause still holds. */
export function mayProbePause(
  state: GatewayState,
  { rest, life, nowMs }: { rest: ServerPause; life: IncarnationStatements; nowMs: number },
): boolean {
  const elapsedMs = nowMs - rest.requestedAtMs;
  if (elapsedMs < PROBE_AFTER_MS || rest.probeAtMs >= rest.requestedAtMs) return false;
  const rank = rankOf(state, { life, ranked: rest, nowMs });
  return elapsedMs >= PROBE_AFTER_MS + rank * PROBE_RANK_DELAY_MS;
}

/** Records a send to a server during its pause, which is the probe. */
export function recordSendDuringPause(pause: ServerPause, nowMs: number): void {
  if (pausedUntilMs(pause) <= nowMs) return;
  pause.probeAtMs = nowMs;
  pause.announcement = { changedAtMs: nowMs, announcedAtMs: undefined };
}

/** Lifts the pause of a server for the boxes that were not asked for it, if the request that it served was the probe. */
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
