/**
 * A model engine with chunked prefill: each step processes a chunk of the pending
 * prompts, the most urgent first, and generates a token for every request whose
 * prompt is complete. A long prompt slows down the requests that run alongside it.
 */
import type { PromptPart } from 'reedlug-gateway';
import type { EngineParameters } from '../scene/scene.js';
import {
  createPromptCache,
  cacheParts,
  cachedPrefixTokens,
  evictParts,
  type PromptCache,
} from './promptCache.js';

/** A request as an engine receives it. */
export interface EngineRun {
  runId: number;
  urgency: number;
  parts: readonly PromptPart[];
  /** Number of events that the caller has already received. */
  fromEvent: number;
  /** Number of events in the whole answer. */
  events: number;
  /** Called for each event of the answer. */
  onEvent: (event: number, isLast: boolean) => void;
  /** Called when the engine's queue is full; the request has not run. */
  onRejected: () => void;
}

interface LiveRun {
  run: EngineRun;
  order: number;
  promptTokens: number;
  /** Prompt tokens that prefill still has to process; set on admission. */
  prefillLeft: number;
  /** Generated tokens, including those of events that the caller already has. */
  generatedTokens: number;
  notBeforeMs: number;
}

/** State of one engine. */
export interface BatchEngine {
  parameters: EngineParameters;
  /** Speed of the machine: its steps take the usual duration divided by it. */
  speed: number;
  /** Factor on the duration of its steps. */
  slowFactor: number;
  waiting: LiveRun[];
  running: LiveRun[];
  cache: PromptCache;
  /** End of the step in progress; undefined while idle. */
  stepEndsAtMs: number | undefined;
  nextOrder: number;
  /** Prompt tokens processed, and those of shared parts among them. */
  readTokens: number;
  readSharedTokens: number;
}

/** Returns an idle engine of a given speed. */
export function createBatchEngine(parameters: EngineParameters, speed = 1): BatchEngine {
  return {
    parameters,
    speed,
    slowFactor: 1 / speed,
    waiting: [],
    running: [],
    cache: createPromptCache(),
    stepEndsAtMs: undefined,
    nextOrder: 1,
    readTokens: 0,
    readSharedTokens: 0,
  };
}

/**
 * Sets the factor on the duration of the following steps, in addition to the speed of the machine.
 */
export function setSlowFactor(engine: BatchEngine, factor: number): void {
  engine.slowFactor = factor / engine.speed;
}

/**
 * Accepts a request, or rejects it when the queue is full. An idle engine starts a step, which the
 * caller has to schedule.
 */
export function submitRun(engine: BatchEngine, run: EngineRun, nowMs: number): void {
  if (engine.waiting.length >= engine.parameters.queue) return run.onRejected();
  const promptTokens = run.parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const generatedTokens = run.fromEvent * engine.parameters.tokensPerEvent;
  const live: LiveRun = {
    run,
    order: engine.nextOrder,
    promptTokens,
    prefillLeft: 0,
    generatedTokens,
    notBeforeMs: nowMs + engine.parameters.firstMs,
  };
  engine.nextOrder += 1;
  insertByUrgency(engine.waiting, live);
  if (engine.stepEndsAtMs === undefined) startStep(engine, nowMs);
}

function insertByUrgency(runs: LiveRun[], live: LiveRun): void {
  const index = runs.findIndex((other) => isAhead(live, other));
  if (index < 0) runs.push(live);
  else runs.splice(index, 0, live);
}

function isAhead(a: LiveRun, b: LiveRun): boolean {
  return a.run.urgency !== b.run.urgency ? a.run.urgency < b.run.urgency : a.order < b.order;
}

/** Stops a request; returns false if the engine does not have it. */
export function stopRun(engine: BatchEngine, runId: number): boolean {
  for (const runs of [engine.waiting, engine.running]) {
    const index = runs.findIndex(({ run }) => run.runId === runId);
    if (index < 0) continue;
    runs.splice(index, 1);
    return true;
  }
  return false;
}

/** Finishes the step that is due and starts the next one. */
export function finishStep(engine: BatchEngine, nowMs: number): void {
  const ready = engine.running.filter(
    (live) => live.prefillLeft === 0 && live.notBeforeMs <= nowMs,
  );
  for (const live of ready) makeToken(engine, live);
  startStep(engine, nowMs);
}

function makeToken(engine: BatchEngine, live: LiveRun): void {
  const { tokensPerEvent } = engine.parameters;
  live.generatedTokens += 1;
  if (live.generatedTokens % tokensPerEvent !== 0) return;
  const event = live.generatedTokens / tokensPerEvent;
  const isLast = event >= live.run.events;
  if (isLast) stopRun(engine, live.run.runId);
  live.run.onEvent(event, isLast);
}

/** Admits the requests that fit, processes a chunk and sets the end of the step. */
function startStep(engine: BatchEngine, nowMs: number): void {
  admit(engine);
  if (engine.running.length === 0) {
    engine.stepEndsAtMs = undefined;
    return;
  }
  engine.stepEndsAtMs = nowMs + prefillChunk(engine);
}

function admit(engine: BatchEngine): void {
  const { slots, kvTokens } = engine.parameters;
  while (engine.running.length < slots) {
    const next = engine.waiting[0];
    if (next === undefined) return;
    const needed = next.promptTokens + next.generatedTokens;
    if (engine.running.length > 0 && usedTokens(engine) + needed > kvTokens) return;
    engine.waiting.shift();
    const cached = cachedPrefixTokens(engine.cache, next.run.parts.slice(0, -1));
    next.prefillLeft = Math.max(1, needed - cached);
    const shared = next.promptTokens - (next.run.parts.at(-1)?.tokens ?? 0);
    engine.readSharedTokens += Math.max(0, shared - cached);
    insertByUrgency(engine.running, next);
    evictParts(engine.cache, Math.max(0, kvTokens - usedTokens(engine)));
  }
}

/** Returns the KV tokens of the running requests, without the prompt parts that others share. */
function usedTokens(engine: BatchEngine): number {
  return engine.running.reduce(
    (sum, { run, generatedTokens }) => sum + (run.parts.at(-1)?.tokens ?? 0) + generatedTokens,
    0,
  );
}

/** Processes a chunk of the prompts, the most urgent first; returns the duration of the step in ms. */
function prefillChunk(engine: BatchEngine): number {
  const { parameters, running } = engine;
  let left = parameters.chunkTokens;
  let pairs = 0;
  for (const live of running) {
    if (left === 0) break;
    if (live.prefillLeft === 0) continue;
    const tokens = Math.min(left, live.prefillLeft);
    pairs += tokens * (live.promptTokens - live.prefillLeft + tokens / 2);
    live.prefillLeft -= tokens;
    left -= tokens;
    if (live.prefillLeft === 0) cachePrompt(engine, live);
  }
  const tokens = parameters.chunkTokens - left;
  engine.readTokens += tokens;
  const usualMs =
    parameters.stepMs +
    parameters.stepMsPerRun * running.length +
    tokens / parameters.readTokensPerMs +
    (Math.max(0, pairs) / 1e6) * parameters.readMsPerMillionPairs;
  return usualMs * engine.slowFactor;
}

function cachePrompt(engine: BatchEngine, live: LiveRun): void {
  const spareTokens = Math.max(0, engine.parameters.kvTokens - usedTokens(engine));
  cacheParts(engine.cache, live.run.parts.slice(0, -1), spareTokens);
}
