/** A fake engine, which translates the effects of boxes into calls of the engine model. */
import type { Effect, EventBody } from 'reedlug-decisions';
import {
  advanceEngine,
  putCached,
  reportOf,
  stopRun,
  submitRun,
  takeCacheEvent,
  type EngineOutput,
} from 'reedlug-standins';
import { emitLater } from './emit.js';
import { Delay, delayBetween, isUnresponsive, arePartitioned } from './links.js';
import type { World, WorldBox, WorldEngine } from './worldTypes.js';

/** Rate at which an engine sends its KV cache, in tokens per ms. */
const KV_TOKENS_PER_MS = 40;
const KV_SETUP_MS = 20;
/** Maximum extra delay of a duplicated event, in ms. Cache events are delayed by half of it. */
const MAX_EXTRA_DELAY_MS = 1500;

type SendAttempt = Extract<Effect, { type: 'sendAttempt' }>;

/** Submits an attempt to an engine after the network delay. */
export function submitEngineAttempt(
  world: World,
  box: WorldBox,
  engine: WorldEngine,
  effect: SendAttempt,
): void {
  const { attemptId, requestId } = effect;
  const delayMs = delayBetween(world, box.settings.zone, engine.spec.zone);
  const record = box.state.requests.get(requestId);
  if (record === undefined) return;
  const { spec } = record;
  const { resumeOffset } = effect;
  world.queue.at(world.queue.nowMs() + delayMs, () => {
    const refusal = refusalReason(world, box, engine, spec);
    if (refusal !== undefined) {
      emitLater(world, box, delayMs, { type: 'attemptRefused', attemptId, reason: refusal });
      return;
    }
    const kvTicket = effect.kvTicket;
    const importedTokens = kvTicket === undefined ? 0 : ticketTokens(world, kvTicket.ticketId);
    const admission = submitRun(
      engine.model,
      {
        attemptId,
        answerKey: requestId,
        affinityHash: spec.affinityHash,
        promptTokens: spec.promptTokens,
        resumeOffset,
        totalTokens: spec.maxTokens,
        urgent: spec.requestClass === 'urgent',
        importedTokens,
      },
      world.queue.nowMs(),
    );
    if (admission !== 'taken') {
      emitLater(world, box, delayMs, { type: 'attemptRefused', attemptId, reason: admission });
      return;
    }
    world.observer.onRun(engine.spec.id, requestId, attemptId);
    engine.callers.set(attemptId, box.settings.boxId);
    scheduleIteration(world, engine);
  });
}

function refusalReason(
  world: World,
  box: WorldBox,
  engine: WorldEngine,
  spec: { pool: string; version: string },
): 'notConnected' | 'leaving' | 'wrongModel' | undefined {
  if (!engine.alive || arePartitioned(world, box.settings.zone, engine.spec.zone))
    return 'notConnected';
  if (engine.leaving) return 'leaving';
  const { model } = engine;
  const versionFits = spec.version === '' || spec.version === model.version;
  return spec.pool === model.model && versionFits ? undefined : 'wrongModel';
}

function ticketTokens(world: World, ticketId: string): number {
  for (const server of world.servers.values()) {
    if (server.kind !== 'engine') continue;
    const tokens = server.tickets.get(ticketId);
    if (tokens !== undefined) return tokens;
  }
  return 0;
}

/** Schedules the engine's next iteration, in place of a later one. */
function scheduleIteration(world: World, engine: WorldEngine): void {
  const dueMs = Math.max(engine.model.nextAtMs, engine.stalledUntilMs);
  if (dueMs >= engine.iterationAtMs || dueMs === Number.POSITIVE_INFINITY) return;
  engine.iterationAtMs = dueMs;
  world.queue.at(dueMs, () => {
    if (engine.iterationAtMs !== dueMs) return;
    engine.iterationAtMs = Number.POSITIVE_INFINITY;
    runIterations(world, engine);
  });
}

function runIterations(world: World, engine: WorldEngine): void {
  if (!engine.alive) return;
  const nowMs = world.queue.nowMs();
  if (nowMs >= engine.stalledUntilMs) {
    for (const output of advanceEngine(engine.model, nowMs)) sendOutput(world, engine, output);
  }
  scheduleIteration(world, engine);
}

function sendOutput(world: World, engine: WorldEngine, output: EngineOutput): void {
  const box = callerBox(world, engine, output.attemptId);
  if (box === undefined) return;
  const delayMs = delayBetween(world, box.settings.zone, engine.spec.zone);
  if (output.kind === 'tokens') {
    const { attemptId, offset, tokens } = output;
    const body: EventBody = { type: 'attemptProgress', attemptId, offset, tokens };
    emitLater(world, box, delayMs, body);
    if (world.random.chance(world.options.duplicateEventShare)) {
      emitLater(world, box, delayMs + world.random.unit() * MAX_EXTRA_DELAY_MS, body);
    }
    return;
  }
  engine.callers.delete(output.attemptId);
  const { attemptId, totalTokens, cachedTokens } = output;
  const report = reportOf(engine.model);
  emitLater(world, box, delayMs, {
    type: 'attemptEnded',
    attemptId,
    totalTokens,
    cachedTokens,
    report,
  });
}

function callerBox(world: World, engine: WorldEngine, attemptId: string): WorldBox | undefined {
  const boxId = engine.callers.get(attemptId);
  return boxId === undefined ? undefined : world.boxes.get(boxId);
}

/** Stops a run whose caller cancelled it or disconnected. */
export function cancelEngineRun(engine: WorldEngine, attemptId: string): void {
  engine.callers.delete(attemptId);
  stopRun(engine.model, attemptId);
}

/** Stops a run and keeps its KV cache under a ticket, for import at another engine. */
export function exportEngineKv(
  world: World,
  box: WorldBox,
  engine: WorldEngine,
  attemptId: string,
): void {
  if (isUnresponsive(world, box, engine)) {
    emitLater(world, box, Delay.connectionLoss, {
      type: 'kvExported',
      attemptId,
      answer: { kind: 'unknown' },
    });
    return;
  }
  const stopped = stopRun(engine.model, attemptId);
  engine.callers.delete(attemptId);
  if (stopped === undefined) {
    emitLater(world, box, 1, { type: 'kvExported', attemptId, answer: { kind: 'refused' } });
    return;
  }
  engine.tickets.set(attemptId, stopped.contextTokens);
  const delayMs = KV_SETUP_MS + stopped.contextTokens / KV_TOKENS_PER_MS;
  const { offset } = stopped;
  const ticket = { ticketId: attemptId, sourceServerId: engine.spec.id, offset };
  emitLater(world, box, delayMs, {
    type: 'kvExported',
    attemptId,
    answer: { kind: 'done', ticket },
  });
}

/** Sends the cache of an idle prefix to another engine, unless either dies before it arrives. */
export function moveEngineCache(
  world: World,
  box: WorldBox,
  params: { source: WorldEngine; target: WorldEngine; affinityHash: number },
): void {
  const { source, target, affinityHash } = params;
  const tokens = source.model.cache.get(affinityHash);
  if (tokens === undefined || !source.alive) return;
  const delayMs = KV_SETUP_MS + tokens / KV_TOKENS_PER_MS;
  world.queue.at(world.queue.nowMs() + delayMs, () => {
    if (!source.alive || !target.alive) return;
    putCached(target.model, affinityHash, tokens);
    const serverId = target.spec.id;
    emitLater(world, box, Delay.sameZone, { type: 'cacheMoved', affinityHash, serverId, tokens });
  });
}

/** Answers a probe of an engine and sends its cache events, some of which are lost. */
export function answerEngineProbe(world: World, box: WorldBox, engine: WorldEngine): void {
  const serverId = engine.spec.id;
  const delayMs = delayBetween(world, box.settings.zone, engine.spec.zone) * 2;
  if (isUnresponsive(world, box, engine)) {
    emitLater(world, box, delayMs, { type: 'serverReported', serverId, report: undefined });
    return;
  }
  const report = { ...reportOf(engine.model), leaving: engine.leaving };
  emitLater(world, box, delayMs, { type: 'serverReported', serverId, report });
  const event = takeCacheEvent(engine.model);
  const EVENT_LOSS_PROBABILITY = 0.1;
  if (event === undefined || world.random.chance(EVENT_LOSS_PROBABILITY)) return;
  emitLater(world, box, delayMs + MAX_EXTRA_DELAY_MS / 2, {
    type: 'cacheChanged',
    serverId,
    ...event,
  });
}

/** Marks an engine as dead and closes its streams. */
export function killEngine(world: World, engine: WorldEngine): void {
  engine.alive = false;
  engine.endedAtMs = world.queue.nowMs();
  for (const attemptId of engine.callers.keys()) {
    const box = callerBox(world, engine, attemptId);
    if (box === undefined) continue;
    emitLater(world, box, Delay.connectionLoss, { type: 'attemptLost', attemptId, reached: true });
  }
  engine.callers.clear();
}
