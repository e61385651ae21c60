/** Whether a server may be sent a request by what it has said: the one gate of all sends. */
import { limitNow, nextSendAtMs, noteLimitedSend } from '../../policy/serverLimit.js';
import type { GatewayState } from '../../state.js';
import type { IncarnationStatements } from '../../types/serverStatement.js';
import type { ServerView } from '../../types/views.js';
import { mayProbePause, recordSendDuringPause, pausedUntilMs } from './pauses.js';
import { ownShare } from './senderShare.js';

/** Time since its last answer for which a limited server is sent something where it can be, in ms: the end of its need shows in its next answer alone. */
const LIMIT_REFRESH_MS = 1500;

/** Whether this box may send to a server now; each send must pass it, whatever it is for. */
export function isEligible(state: GatewayState, view: ServerView, nowMs: number): boolean {
  return eligibleAtMs(state, view, nowMs) <= nowMs;
}

/** When this box may next send to a server by what the server has said; never where only others send. */
export function eligibleAtMs(state: GatewayState, view: ServerView, nowMs: number): number {
  if (view.leaving) return Number.POSITIVE_INFINITY;
  if (view.statements === undefined) return nowMs;
  const { limit } = view.statements;
  const fromMs = Math.max(nowMs, pauseAllowsSendAtMs(state, view.statements, nowMs));
  const perSecond = limit && limitNow(limit, nowMs);
  if (limit === undefined || perSecond === undefined) return fromMs;
  const share = ownShare(state, view, { limit, perSecond, nowMs });
  return Math.max(fromMs, nextSendAtMs(limit.sends, share, nowMs));
}

/** When a rest lets this box send again. */
function pauseAllowsSendAtMs(
  state: GatewayState,
  life: IncarnationStatements,
  nowMs: number,
): number {
  const { rest } = life;
  if (rest === undefined) return nowMs;
  const untilMs = pausedUntilMs(rest);
  return untilMs > nowMs && mayProbePause(state, { rest, life, nowMs }) ? nowMs : untilMs;
}

/** Whether a server names a limit, or did so a moment ago. */
export function isLimited({ statements }: ServerView, nowMs: number): boolean {
  return statements?.limit !== undefined && limitNow(statements.limit, nowMs) !== undefined;
}

/** Whether a server that names a limit has not answered for a while. */
export function isLimitRefreshDue({ statements }: ServerView, nowMs: number): boolean {
  const limit = statements?.limit;
  return limit?.perSecond !== undefined && nowMs - limit.receivedAtMs >= LIMIT_REFRESH_MS;
}

/** Notes a send to a server, for what it has said. */
export function recordSendForStatements({ statements }: ServerView, nowMs: number): void {
  if (statements?.limit !== undefined) noteLimitedSend(statements.limit.sends, nowMs);
  if (statements?.rest !== undefined) recordSendDuringPause(statements.rest, nowMs);
}
