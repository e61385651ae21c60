/**
 * Admission: accepts a request or refuses it with a reason and a retry time.
 *
 * A refusal has the outcome `notRun` and is sent at once; no request is held until
 * shortly before its deadline only to be refused.
 */
import { laneLength } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { Reason, type RequestSpec } from '../types/request.js';
import { RequestClass, ServerKind } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import { consumeLimit, workspaceView } from './limits.js';
import { requestClaim } from './claimWrites.js';
import { queueFor, queuesOf } from './queues.js';
import { refuse } from './requests.js';
import { addRecord, createRecord, GENERATED_TOKEN_COST } from './requestRecords.js';
import { serverAcceptsRequests } from './serverMembers.js';
import { priorityOf } from '../plans/rules.js';
import { isReady } from './readiness.js';
import { admit } from './dispatch.js';

/** Retry time where no better estimate exists, in ms. */
const DEFAULT_RETRY_MS = 1000;
/** Minimum retry time sent to callers, in ms. */
const MIN_RETRY_MS = 50;

/** A refusal with its retry time. */
interface Refusal {
  reason: Reason;
  retryAfterMs: number;
}

/** Accepts or refuses a request from a caller. */
export function onRequestArrived(
  state: BoxState,
  step: Step,
  event: EventOf<'requestArrived'>,
): void {
  const spec = withPriority(state, event.spec);
  const refusal = refusalFor(state, spec, step.nowMs);
  if (refusal !== undefined) {
    refuse(step, spec, refusal.reason, refusal.retryAfterMs);
    return;
  }
  const record = createRecord(spec, step.nowMs);
  addRecord(state, record);
  if (needsClaim(spec) && !state.mutations.has('skipClaim')) requestClaim(state, step, record, 0);
  else admit(state, step, record);
}

function withPriority(state: BoxState, spec: RequestSpec): RequestSpec {
  const requestClass = priorityOf(state, spec.workspaceId) ?? spec.requestClass;
  return requestClass === spec.requestClass ? spec : { ...spec, requestClass };
}

/** True for a keyed request that may not be repeated. */
function needsClaim(spec: RequestSpec): boolean {
  return spec.idempotencyKey !== undefined && !spec.repeatable;
}

function refusalFor(state: BoxState, spec: RequestSpec, nowMs: number): Refusal | undefined {
  const { draining } = state;
  if (
    draining !== undefined &&
    nowMs >= draining.sinceMs + state.settings.control.drainNotReadyMs
  ) {
    return { reason: Reason.draining, retryAfterMs: MIN_RETRY_MS };
  }
  if (!isReady(state) && state.draining === undefined) {
    return { reason: Reason.notReady, retryAfterMs: DEFAULT_RETRY_MS };
  }
  const view = workspaceView(state, spec.workspaceId);
  if (view === undefined) return { reason: Reason.notFound, retryAfterMs: DEFAULT_RETRY_MS };
  const retryInMs = consumeLimit(view, nowMs);
  if (retryInMs > 0) {
    return { reason: Reason.limited, retryAfterMs: Math.ceil(Math.max(MIN_RETRY_MS, retryInMs)) };
  }
  const queues = queuesOf(state, spec.pool);
  const queued =
    laneLength(queues.urgent, spec.workspaceId) + laneLength(queues.patient, spec.workspaceId);
  const waitMs = expectedWaitMs(state, spec);
  if (queued >= view.limits.maxQueued) {
    return { reason: Reason.overloaded, retryAfterMs: Math.max(DEFAULT_RETRY_MS, waitMs) };
  }
  const slackMs = spec.deadlineAtMs - nowMs - expectedRunMs(state, spec);
  if (waitMs > slackMs) {
    return {
      reason: Reason.deadline,
      retryAfterMs: Math.ceil(Math.max(MIN_RETRY_MS, waitMs - slackMs)),
    };
  }
  return undefined;
}

/** Returns the shortest time in which a running request could be answered, in ms. */
export function shortestRunMs(state: BoxState, spec: RequestSpec): number {
  if (spec.kind === ServerKind.service) return 0;
  const { policy } = state.settings;
  return policy.crossZoneMs + policy.interTokenMs;
}

/** Returns the expected wait in the queue, in ms, from the work ahead and the pool's speed. */
export function expectedWaitMs(state: BoxState, spec: RequestSpec): number {
  if (spec.kind === ServerKind.service) return 0;
  const queues = queuesOf(state, spec.pool);
  const ahead = queueFor(queues, spec.requestClass).costSum + urgentCostAhead(queues, spec);
  if (ahead === 0) return 0;
  const speed = queues.drainPerMs > 0 ? queues.drainPerMs : poolCostPerMs(state, spec.pool);
  return speed === 0 ? DEFAULT_RETRY_MS : Math.ceil(ahead / speed);
}

/** Returns the expected run time in ms, given the share of prompt tokens that is usually cached. */
function expectedRunMs(state: BoxState, spec: RequestSpec): number {
  if (spec.kind === ServerKind.service) return 0;
  const { policy } = state.settings;
  const promptMs = (spec.promptTokens * (1 - state.priorHitShare)) / policy.prefillTokensPerMs;
  return policy.crossZoneMs + promptMs + spec.maxTokens * poolInterTokenMs(state, spec.pool);
}

/** Returns the measured time between tokens of a pool, or the default of the settings. */
function poolInterTokenMs(state: BoxState, pool: string): number {
  const measuredMs = queuesOf(state, pool).interTokenMs;
  return measuredMs > 0 ? measuredMs : state.settings.policy.interTokenMs;
}

function urgentCostAhead(queues: { urgent: { costSum: number } }, spec: RequestSpec): number {
  return spec.requestClass === RequestClass.patient ? queues.urgent.costSum : 0;
}

/** Returns this box's share of the cost that a pool's engines process per ms. */
function poolCostPerMs(state: BoxState, pool: string): number {
  const { policy, boxes } = state.settings;
  let slots = 0;
  for (const view of state.serversByPool.get(pool) ?? []) {
    if (serverAcceptsRequests(state, view)) slots += view.spec.slots;
  }
  return (slots * GENERATED_TOKEN_COST) / policy.interTokenMs / Math.max(1, boxes.length);
}
