/** The figures of services, from this box's own sends and those that peers tell of. */
import { serverOf } from './requestCompletion.js';
import {
  addSendSums,
  createSendSums,
  fadeSends,
  fitEngineModel,
  noteStay,
  noteWait,
  type EngineModel,
  type OwnSends,
  type SendSums,
} from '../policy/engineModel.js';
import { noteSlowness } from '../policy/serverHealth.js';
import type { GatewayState, Step } from '../state.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { countedPeers } from './fleet.js';

/** Pause between fits, in ms: figures that halve in 15 s change by 2 % in it. */
const FIT_INTERVAL_MS = 500;
/** Shortest expected time that a server's slowness is judged by, in ms: below it, network and timers decide. */
const MIN_COMPARED_MS = 30;

/** The figures of a service now. */
export function modelOf(state: GatewayState, service: string, nowMs: number): EngineModel {
  const known = state.engineModels.get(service);
  if (known !== undefined && nowMs - known.fittedAtMs < FIT_INTERVAL_MS) return known.model;
  const sendSums: SendSums[] = [];
  const own = state.ownSends.get(service);
  if (own !== undefined) {
    fadeSends(own, nowMs);
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

/** Takes the time to the first event of a send. */
export function recordFirstEvent(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  const { conditions, expectedMs } = attempt;
  const waitMs = step.nowMs - attempt.sentAtMs;
  noteWait(ownSendsOf(state, record.service), {
    conditions,
    waitMs,
    expectedMs,
    nowMs: step.nowMs,
  });
  const view = serverOf(state, attempt);
  const isCompared = Math.max(waitMs, expectedMs) >= MIN_COMPARED_MS;
  if (view !== undefined && isCompared) {
    noteSlowness(view, waitMs / Math.max(MIN_COMPARED_MS, expectedMs), step.nowMs);
  }
}

/** Takes how long a send that ended well kept its place. */
export function recordSuccessfulEnd(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  noteStay(ownSendsOf(state, record.service), step.nowMs - attempt.sentAtMs, step.nowMs);
}

function ownSendsOf(state: GatewayState, service: string): OwnSends {
  const known = state.ownSends.get(service);
  if (known !== undefined) return known;
  const own: OwnSends = { sums: createSendSums(), fadedAtMs: 0 };
  state.ownSends.set(service, own);
  return own;
}

/** This box's sums as it tells them. */
export function ownSendSums(state: GatewayState, nowMs: number): Record<string, SendSums> {
  const sumsByService: Record<string, SendSums> = {};
  for (const [service, own] of state.ownSends) {
    fadeSends(own, nowMs);
    sumsByService[service] = { ...own.sums };
  }
  return sumsByService;
}
