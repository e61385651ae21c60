/** Runs the effects that reach callers (tokens and outcomes) and records their times. */
import type { Effect } from 'reedlug-decisions';
import type { ServiceAnswer } from '../backends/serviceClient.js';
import { Measure } from '../observe/histograms.js';
import { decodeAnswer } from './answerStore.js';
import type { FinishEffect } from './exchange.js';
import type { Runtime } from './runtime.js';

/** Passes tokens to the caller's connection, if this box holds it. */
export function deliverTokens(
  runtime: Runtime,
  effect: Extract<Effect, { type: 'deliverTokens' }>,
): void {
  const { requestId, offset, tokens } = effect;
  recordTokenInterval(runtime, requestId, tokens.length);
  runtime.exchanges.get(requestId)?.onTokens(offset, tokens);
}

function recordTokenInterval(runtime: Runtime, requestId: string, count: number): void {
  const nowMs = performance.now();
  const lastMs = runtime.lastTokenAtMs.get(requestId);
  runtime.lastTokenAtMs.set(requestId, nowMs);
  const record = runtime.state.requests.get(requestId);
  if (lastMs === undefined || record === undefined) return;
  const { workspaceId, requestClass } = record.spec;
  const key = { workspaceId, requestClass, measure: Measure.betweenTokens };
  runtime.histograms.record(key, (nowMs - lastMs) / count);
}

/** Finishes a request: records its times, keeps its answer and answers its caller. */
export function finishRequest(runtime: Runtime, effect: FinishEffect): void {
  const { requestId } = effect;
  const answer = serviceAnswerFor(runtime, effect);
  recordFinish(runtime, effect);
  runtime.lastTokenAtMs.delete(requestId);
  if (answer !== undefined && runtime.state.requests.get(requestId)?.claimHeld === true) {
    runtime.answers.setRequestAnswer(requestId, answer);
  }
  runtime.payloads.delete(requestId);
  const exchange = runtime.exchanges.get(requestId);
  runtime.exchanges.delete(requestId);
  exchange?.onFinish(effect, answer);
}

/** Returns the answer of a plain service: from the winning attempt, a peer, or the store. */
function serviceAnswerFor(runtime: Runtime, effect: FinishEffect): ServiceAnswer | undefined {
  if (effect.attemptId !== undefined) return runtime.answers.takeAttemptAnswer(effect.attemptId);
  if (effect.answer !== undefined) return decodeAnswer(effect.answer, effect.status ?? 200);
  if (effect.sourceRequestId !== undefined)
    return runtime.answers.getRequestAnswer(effect.sourceRequestId);
  return undefined;
}

function recordFinish(runtime: Runtime, effect: FinishEffect): void {
  const spec = runtime.state.requests.get(effect.requestId)?.spec;
  if (spec === undefined) {
    runtime.metrics.count('refused', { reason: effect.reason });
    return;
  }
  const { workspaceId, requestClass } = spec;
  const { waitedMs, firstTokenMs, wholeMs } = effect.times;
  const record = (measure: Measure, valueMs: number | undefined): void => {
    if (valueMs === undefined) return;
    runtime.histograms.record({ workspaceId, requestClass, measure }, valueMs);
    runtime.metrics.time(measure, valueMs, { workspace: workspaceId, class: requestClass });
  };
  record(Measure.waiting, waitedMs);
  record(Measure.firstToken, firstTokenMs);
  record(Measure.whole, wholeMs);
  const { outcome, reason } = effect;
  runtime.metrics.count('finished', {
    workspace: workspaceId,
    class: requestClass,
    outcome,
    reason,
  });
}
