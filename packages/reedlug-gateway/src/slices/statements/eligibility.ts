/** Decides whether the statements of a server allow a send to it. Every send passes this check. */
import { currentLimit, nextSendAtMs, recordLimitedSend } from '../../policy/serverLimit.js';
import type { GatewayState } from '../../state.js';
import type { IncarnationStatements } from '../../types/serverStatement.js';
import type { ServerView } from '../../types/views.js';
import { mayProbePause, recordSendDuringPause, pausedUntilMs } from './pauses.js';
import { hasPlace } from './brittleServices.js';
import { ownShare } from './senderShare.js';

/**
 * Time since the last answer of a limited server after which it is preferred for the next request, in ms.
 * Only its next answer shows that its limit has ended.
 */
const LIMIT_REFRESH_MS = 1500;

/**
 * Returns whether this box may send to a server now. Every send is checked, whatever its purpose. With
 * `usesSparePlaces` a brittle server's places that seem free count as well as this box's own.
 */
export function isEligible(
  state: GatewayState,
  view: ServerView,
  nowMs: number,
  usesSparePlaces = false,
): boolean {
  if (eligibleAtMs(state, view, nowMs) > nowMs) return false;
  return hasPlace(state, view, { usesSpare: usesSparePlaces, nowMs });
}

/** Returns when the statements of a server next allow this box to send to it; infinity where only other boxes may send. */
export function eligibleAtMs(state: GatewayState, view: ServerView, nowMs: number): number {
  if (view.leaving) return Number.POSITIVE_INFINITY;
  if (view.statements === undefined) return nowMs;
  const { limit } = view.statements;
  const fromMs = Math.max(nowMs, pauseAllowsSendAtMs(state, view.statements, nowMs));
  const perSecond = limit && currentLimit(limit, nowMs);
  if (limit === undefined || perSecond === undefined) return fromMs;
  const share = ownShare(state, view, { limit, perSecond, nowMs });
  return Math.max(fromMs, nextSendAtMs(limit.sends, share, nowMs));
}

/** Returns when the pause of a server next allows this box to send to it. */
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

/** Returns whether a server names a limit, or its limit ended so recently that the ramp-up is not over. */
export function isLimited({ statements }: ServerView, nowMs: number): boolean {
  return statements?.limit !== undefined && currentLimit(statements.limit, nowMs) !== undefined;
}

/** Returns whether a server that names a limit has not answered for long enough to be asked again. */
export function isLimitRefreshDue({ statements }: ServerView, nowMs: number): boolean {
  const limit = statements?.limit;
  return limit?.perSecond !== undefined && nowMs - limit.receivedAtMs >= LIMIT_REFRESH_MS;
}

/** Records a send to a server for its limit and its pause. */
export function recordSendForStatements({ statements }: ServerView, nowMs: number): void {
  if (statements?.limit !== undefined) recordLimitedSend(statements.limit.sends, nowMs);
  if (statements?.rest !== undefined) recordSendDuringPause(statements.rest, nowMs);
}
