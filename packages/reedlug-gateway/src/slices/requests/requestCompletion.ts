/** Completion of requests: closing attempts, refusing and giving up. */
import { mayHaveRun, Reach } from 'reedlug-coordination';
import { RouteKind } from '../../types/configuration.js';
import type { Attempt, HeadFacts, RequestRecord } from '../../types/request.js';
import type { LogField } from '../../types/effect.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { takenUpField } from './takenUpField.js';
import { releaseSparePlace } from '../statements/brittleServices.js';
import { removeUnreadPrompt } from '../../policy/serverLoad.js';
import type { ServerView } from '../../types/views.js';

/** Retry-After time when no server accepted a request, in ms: an engine's queue advances in this time. */
export const NO_SERVER_RETRY_MS = 250;
/** Shortest Retry-After time given, in ms: a caller that returns sooner finds the same state. */
const MIN_RETRY_MS = 100;

/** Returns the server of an attempt; undefined once it is gone or a new incarnation has its id. */
export function serverOf(state: GatewayState, attempt: Attempt): ServerView | undefined {
  const view = state.servers.get(attempt.serverId);
  return view?.life === attempt.life ? view : undefined;
}

/** Closes an attempt and frees its slot; returns its server if that is still known. */
export function closeAttempt(
  state: GatewayState,
  attempt: Attempt,
  reach: Reach,
): ServerView | undefined {
  if (!attempt.open) return undefined;
  attempt.open = false;
  attempt.reach = reach;
  const view = serverOf(state, attempt);
  if (view === undefined) return undefined;
  releaseSparePlace(view, attempt);
  view.running -= 1;
  if (attempt.firstOutputAtMs === undefined) removeUnreadPrompt(view, attempt);
  return view;
}

/** Returns how far a send got whose server will not answer any more. */
export function reachWhenLost(attempt: Attempt): Reach {
  return attempt.firstOutputAtMs !== undefined ? Reach.answered : Reach.maybe;
}

/** Closes every open attempt of a request and cancels it at its server. */
export function cancelAll(state: GatewayState, step: Step, record: RequestRecord): void {
  for (const attempt of record.attempts) {
    if (!attempt.open) continue;
    closeAttempt(state, attempt, reachWhenLost(attempt));
    step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
  }
}

/** Answers a request with a status of this box. Its record is no longer stored by then, or never was. */
export function refuse(
  step: Step,
  params: {
    exchangeId: number;
    facts: HeadFacts;
    status: number;
    reason: string;
    retryAfterMs: number | undefined;
    /** Further fields of the log line. */
    details?: Readonly<Record<string, LogField>>;
  },
): void {
  const { exchangeId, facts, status, reason, details = {} } = params;
  const retryAfterMs =
    params.retryAfterMs === undefined ? undefined : Math.max(MIN_RETRY_MS, params.retryAfterMs);
  const { requestId } = facts;
  step.effects.push({ type: 'refuse', exchangeId, requestId, status, reason, retryAfterMs });
  log(step, 'requestRefused', {
    request: requestId,
    status,
    reason,
    retryAfterMs: Math.round(retryAfterMs ?? 0),
    ...details,
    ...takenUpField(facts),
  });
}

/** Gives a request its final answer when no server can finish it; one that has not run gets a Retry-After time. */
export function giveUp(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  reason: string,
  retryAfterMs = NO_SERVER_RETRY_MS,
): void {
  cancelAll(state, step, record);
  state.requests.delete(record.exchangeId);
  if (record.relayed) {
    step.effects.push({ type: 'cutCaller', exchangeId: record.exchangeId });
    log(step, 'streamCut', {
      request: record.facts.requestId,
      route: record.route.name,
      reason,
      attempts: record.attempts.length,
      lastEvent: record.lastEventId ?? -1,
      heldMs: Math.round(step.nowMs - record.arrivedAtMs),
      ...takenUpField(record.facts),
    });
    return;
  }
  const ran = record.attempts.some((attempt) => mayHaveRun(attempt.reach));
  const status = failureStatus({ ran, timeIsUp: step.nowMs >= record.deadlineAtMs });
  refuse(step, {
    exchangeId: record.exchangeId,
    facts: record.facts,
    status,
    reason,
    retryAfterMs: status === 503 ? retryAfterMs : undefined,
  });
}

/** Returns the final status: 503 guarantees that the request has not run, 504 and 502 guarantee nothing. */
function failureStatus(params: { ran: boolean; timeIsUp: boolean }): number {
  if (params.timeIsUp) return 504;
  return params.ran ? 502 : 503;
}

/** Whether a request may be sent again after a server may have run it. */
export function isRepeatable(record: RequestRecord): boolean {
  switch (record.route.kind) {
    case RouteKind.repeatable:
      return true;
    case RouteKind.nonRepeatable:
      return false;
    case RouteKind.stream:
      return record.route.resumable;
  }
}
