/** The figures of services, from this box's own sends and those that peers tell of. */
import { serverOf } from './ending.js';
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
} from '../policy/engineModel.js';
import { recordSlowness } from '../policy/serverHealth.js';
import type { GatewayState, Step } from '../state.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { countedPeers } from './fleet.js';

/** Pause between fits, in ms: figures that halve in 15 s change by 2 % in it. */
const FIT_EVERY_MS = 500;
/** Shortest expected time that a server's slowness is judged by, in ms: below it, network and timers decide. */
const JUDGED_FROM_MS = 30;

/** The figures of a service now. */
export function modelOf(state: GatewayState, service: string, nowMs: number): EngineModel {
  const known = state.engineModels.get(service);
  if (known !== undefined && nowMs - known.fittedAtMs < FIT_EVERY_MS) return known.model;
  const parts: SendSums[] = [];
  const own = state.ownSends.get(service);
  if (own !== undefined) {
    decaySends(own, nowMs);
    parts.push(own.sums);
  }
  for (const { message } of countedPeers(state, nowMs)) {
    const sums = message.sendSums[service];
    if (sums !== undefined) parts.push(sums);
  }
  const model = fitEngineModel(addSendSums(parts));
  state.engineModels.set(service, { model, fittedAtMs: nowMs });
  return model;
}

/** Takes the time to the first event of a send. */
export function noteFirstEvent(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  const { conditions, expectedMs } = attempt;
  const waitMs = step.nowMs - attempt.sentAtMs;
  recordWait(ownSendsOf(state, record.service), {
    conditions,
    waitMs,
    expectedMs,
    nowMs: step.nowMs,
  });
  const view = serverOf(state, attempt);
  const isJudged = Math.max(waitMs, expectedMs) >= JUDGED_FROM_MS;
  if (view !== undefined && isJudged) {
    recordSlowness(view, waitMs / Math.max(JUDGED_FROM_MS, expectedMs), step.nowMs);
  }
}

/** Takes how long a send that ended well kept its place. */
export function noteEnd(
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

/** This box's sums as it tells them. */
export function ownSendSums(state: GatewayState, nowMs: number): Record<string, SendSums> {
  const told: Record<string, SendSums> = {};
  for (const [service, own] of state.ownSends) {
    decaySends(own, nowMs);
    told[service] = { ...own.sums };
  }
  return told;
}
