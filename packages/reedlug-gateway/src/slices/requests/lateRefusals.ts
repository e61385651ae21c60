/** Refusals of requests that no engine would start in time. */
import type { Choice } from '../../policy/chooseServer.js';
import { totalLoad } from '../../policy/serverLoad.js';
import { decideSend, maxExpectedMs, type SendContext } from '../../policy/decideSend.js';
import type { Standing } from '../../policy/fairShare.js';
import { addRetryJitter } from '../../policy/retryJitter.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { RouteKind } from '../../types/configuration.js';
import type { EventOf } from '../../types/event.js';
import type { LogField } from '../../types/effect.js';
import type { RequestRecord } from '../../types/request.js';
import { modelOf } from '../engines/engineModels.js';
import { countedPeers } from '../peers/fleet.js';
import { isEarlyRepeat, spreadRetryAfterMs } from '../workspaceShares/retryTimes.js';
import {
  idleMsOf,
  recordKind,
  recordRefusal,
  standingAgeMs,
  standingOf,
  yieldReason,
  type YieldReason,
} from '../workspaceShares/standings.js';
import { recordWork } from '../workspaceShares/workSums.js';
import { placementFields } from '../placement/placementFields.js';
import { refuse } from './requestCompletion.js';

/** Share of a route's timeout; a request with a shorter deadline comes from a caller that has waited before. */
const RETRY_DEADLINE_SHARE = 0.95;
/** Retry-After time of a box that is behind, in ms: it reads what has come meanwhile in less. */
const BEHIND_RETRY_MS = 500;

/** Refuses a stream that would start too late even at the best engine; returns whether it did. Runs before the request is sent or charged. */
export function refuseIfLate(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  choice: Choice,
): boolean {
  const { route, facts, exchangeId, deadlineAtMs } = record;
  if (route.kind !== RouteKind.stream) return false;
  const { expectedMs, modelMs, conditions } = choice;
  const { running, slots } = conditions;
  const leftMs = deadlineAtMs - step.nowMs;
  const { targetMs, timeoutMs } = route;
  const hasWaited = (facts.deadlineMs ?? timeoutMs) < timeoutMs * RETRY_DEADLINE_SHARE;
  const isEarly = isEarlyRepeat(state, record, step.nowMs);
  const hasReturned = hasWaited && !isEarly;
  const baseContext = { expectedMs, running, slots, targetMs, leftMs, hasReturned };
  const { context, yieldsTo } = withShares(state, step, { record, choice, baseContext });
  const decision = decideSend(context);
  const fields = (): Record<string, LogField> => ({
    request: facts.requestId,
    route: route.name,
    expectedMs: Math.round(expectedMs),
    // Differs if a speed of the server other than that of the service is known.
    ...(modelMs === expectedMs ? {} : { modelMs: Math.round(modelMs) }),
    running,
    leftMs: Math.round(leftMs),
    hasReturned,
    ...shareFields(state, step, record, { context, yieldsTo }),
    ...placementFields(choice),
  });
  if (decision.kind === 'send') {
    if (context.standing?.kind === 'under' && decideSend(baseContext).kind === 'refuse') {
      log(step, 'requestAcceptedUnderShare', fields());
    }
    return false;
  }
  // A repeat before its time is the same demand as before.
  const { prefillTokens } = choice;
  if (!isEarly) recordWork(state, record, { prefillTokens, isAdmitted: false }, step.nowMs);
  const { standing, idleMs = 0 } = context;
  if (standing !== undefined && yieldsTo === undefined && idleMs <= targetMs) {
    recordRefusal(state, record, standing, step.nowMs);
  }
  const { retryAfterMs, ...retryFields } = state.settings.load.spreadRetries
    ? spreadRetryAfterMs(state, record, {
        // Without the upper bound that the decision sets to its Retry-After time.
        earliestMs: Math.max(decision.retryAfterMs, expectedMs - targetMs),
        prefillTokens,
        nowMs: step.nowMs,
      })
    : { retryAfterMs: addRetryJitter(decision.retryAfterMs, facts.requestId) };
  log(step, 'requestTooLate', { ...fields(), ...retryFields });
  refuse(step, { exchangeId, facts, status: 503, reason: 'tooLate', retryAfterMs });
  return true;
}

/** Refuses a request that was held for too long while the box was behind. */
export function refuseHeldTooLong(step: Step, event: EventOf<'requestHeldTooLong'>): void {
  const { exchangeId, facts } = event;
  const retryAfterMs = addRetryJitter(BEHIND_RETRY_MS, facts.requestId);
  refuse(step, { exchangeId, facts, status: 503, reason: 'boxBehind', retryAfterMs });
}

/**
 * Adds the standing of the workspace to the facts of a decision, and whether the request yields to
 * others.
 */
function withShares(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; choice: Choice; baseContext: SendContext },
): { context: SendContext; yieldsTo: YieldReason | undefined } {
  const { record, choice, baseContext } = params;
  const standing = standingOf(state, record, step.nowMs);
  if (standing === undefined) return { context: baseContext, yieldsTo: undefined };
  const { nowMs } = step;
  recordKind(state, record, choice.prefillTokens, nowMs);
  const model = modelOf(state, record.service, nowMs);
  const load = totalLoad(choice.view, countedPeers(state, nowMs));
  const yieldsTo = yieldReason(state, { record, standing, choice, load, model, nowMs });
  const idleMs = idleMsOf(model, choice);
  const context = { ...baseContext, standing, idleMs, yields: yieldsTo !== undefined };
  return { context, yieldsTo };
}

function shareFields(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  { context, yieldsTo }: { context: SendContext; yieldsTo: YieldReason | undefined },
): Readonly<Record<string, LogField>> {
  const { standing } = context;
  if (standing === undefined) return {};
  return {
    workspace: record.workspace ?? '',
    limitMs: Math.round(maxExpectedMs(context)),
    ...standingFields(standing),
    yieldsTo: yieldsTo ?? '',
    sumsAgeMs: Math.round(standingAgeMs(state, record.service, step.nowMs)),
  };
}

function standingFields(standing: Standing): Readonly<Record<string, LogField>> {
  const { kind } = standing;
  if (kind !== 'over') return { standing: kind };
  const { use, queueShare } = standing;
  return { standing: kind, use: Number(use.toFixed(2)), queueShare: Number(queueShare.toFixed(2)) };
}
