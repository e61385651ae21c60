/** Performance models of the engines of each service, fitted to the sends of this box and its peers. */
import { serverOf } from '../requests/requestCompletion.js';
import {
  addSendSums,
  createSendSums,
  decaySends,
  fitEngineModel,
  recordStay,
  recordWait,
  type EngineModel,
  type OwnSends,
  type SendSums,
} from '../../policy/engineModel.js';
import { recordSlowness } from '../../policy/serverHealth.js';
import type { GatewayState, Step } from '../../state.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import { recordSpeed } from '../serverSpeeds/speedSums.js';
import { countedPeers } from '../peers/fleet.js';

/** Interval between fits, in ms: sums with a half-life of 15 s change by 2 % in it. */
const FIT_INTERVAL_MS = 500;
/** Shortest time by which a server's slowness is evaluated, in ms: shorter ones mostly reflect network and timers. */
const MIN_COMPARED_MS = 30;

/** Returns the current model of a service's engines. */
export function modelOf(state: GatewayState, service: string, nowMs: number): EngineModel {
  const known = state.engineModels.get(service);
  if (known !== undefined && nowMs - known.fittedAtMs < FIT_INTERVAL_MS) return known.model;
  const sendSums: SendSums[] = [];
  const own = state.ownSends.get(service);
  if (own !== undefined) {
    decaySends(own, nowMs);
    sendSums.push(own.sums);
  }
  for (const { message } of countedPeers(state, nowMs)) {
    const sums = message.sendSums[service];
    if (sums !== undefined) sendSums.push(sums);
  }
  const model = fitEngineModel(addSendSums(sendSums));
  state.engineModels.set(service, { model, fittedAtMs: nowMs });
  return model;
}

/** Records the time to the first event of a send, for the model and for the slowness of its server. */
export function recordFirstEvent(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  const { conditions, expectedMs, modelMs } = attempt;
  const waitMs = step.nowMs - attempt.sentAtMs;
  // The model describes a server of speed 1. Where long prompts go to fast servers, uncorrected
  // times would give it the rate of these servers, and they would then seem to have speed 1.
  const speed = expectedMs > 0 ? modelMs / expectedMs : 1;
  const isRecorded = recordWait(ownSendsOf(state, record.service), {
    conditions,
    waitMs: waitMs * speed,
    expectedMs: modelMs,
    nowMs: step.nowMs,
  });
  const view = serverOf(state, attempt);
  if (isRecorded && view !== undefined && showsSpeed(state, step, record, attempt)) {
    recordSpeed(state, step, { view, attempt, waitMs });
  }
  const isCompared = Math.max(waitMs, expectedMs) >= MIN_COMPARED_MS;
  if (view !== undefined && isCompared) {
    recordSlowness(view, waitMs / Math.max(MIN_COMPARED_MS, expectedMs), step.nowMs);
  }
}

/**
 * Share of the expected time that prompt tokens make up in a send that shows the speed of its
 * server. The rest is the network, the step in progress and load that is not known yet. It is the
 * same at fast and slow servers, so short prompts would make these look alike. A larger share would
 * leave out all sends of services whose prompts are short.
 */
const MIN_PREFILL_SHARE = 0.35;

/**
 * Returns whether the time to the first event shows the server's speed; always without a prompt.
 */
function showsSpeed(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): boolean {
  const { conditions, modelMs } = attempt;
  if (record.facts.promptTokens === undefined) return true;
  const { tokensPerMs } = modelOf(state, record.service, step.nowMs);
  return conditions.tokens / tokensPerMs >= modelMs * MIN_PREFILL_SHARE;
}

/** Records how long a successful send occupied its slot. */
export function recordSuccessfulEnd(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  recordStay(ownSendsOf(state, record.service), step.nowMs - attempt.sentAtMs, step.nowMs);
}

function ownSendsOf(state: GatewayState, service: string): OwnSends {
  const known = state.ownSends.get(service);
  if (known !== undefined) return known;
  const own: OwnSends = { sums: createSendSums(), decayedAtMs: 0 };
  state.ownSends.set(service, own);
  return own;
}

/** Returns this box's sums by service, as sent to its peers. */
export function ownSendSums(state: GatewayState, nowMs: number): Record<string, SendSums> {
  const sumsByService: Record<string, SendSums> = {};
  for (const [service, own] of state.ownSends) {
    decaySends(own, nowMs);
    sumsByService[service] = { ...own.sums };
  }
  return sumsByService;
}
