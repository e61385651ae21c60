/**
 * Model of an engine with continuous batching, priorities and a prefix cache
 * of limited size. Each iteration computes a chunk of prompt tokens, and one
 * token of every running request whose prompt is complete.
 */
import type { EngineReport } from 'reedlug-decisions';
import { answerToken } from './answerText.js';

/** Fixed properties of an engine. */
export interface EngineModelOptions {
  engineId: string;
  model: string;
  version: string;
  slots: number;
  /** KV cache for running requests and idle prefixes, in tokens. */
  kvCapacityTokens: number;
  prefillTokensPerMs: number;
  /** Time per token when only one request runs. */
  interTokenMs: number;
  /** Extra time per token of a full engine, as a share of `interTokenMs`. */
  crowding: number;
  /** Number of tokens that are sent together. The first token is sent alone. */
  tokensPerEvent: number;
}

/** A request at an engine. */
export interface EngineRun {
  attemptId: string;
  /** Key of the answer. The same key gives the same tokens at every engine. */
  answerKey: string;
  affinityHash: number;
  promptTokens: number;
  resumeOffset: number;
  /** Length of the whole answer, in tokens. */
  totalTokens: number;
  urgent: boolean;
  /** Number of tokens whose KV cache was moved here with the request; 0 without a move. */
  importedTokens: number;
}

/** Output of an engine for a run. */
export type EngineOutput =
  | { kind: 'tokens'; attemptId: string; offset: number; tokens: string[] }
  | { kind: 'ended'; attemptId: string; totalTokens: number; cachedTokens: number };

interface LiveRun {
  run: EngineRun;
  cachedTokens: number;
  prefillLeft: number;
  /** Next offset to generate. */
  offset: number;
  sentOffset: number;
}

/** State of an engine. */
export interface EngineModel {
  options: EngineModelOptions;
  incarnation: number;
  leaving: boolean;
  role: 'serve' | 'drain';
  model: string;
  version: string;
  highestFence: number;
  waiting: LiveRun[];
  running: LiveRun[];
  /** Idle prefixes, least recently used first. */
  cache: Map<number, number>;
  cacheTokens: number;
  runningTokens: number;
  nextAtMs: number;
  /** Sequence number of cache events. */
  cacheSequence: number;
  evicted: number[];
  hitTokens: number;
  requestedTokens: number;
  /** Called for every prefill, with the length of the context and of its cached part. */
  onPrefill: (affinityHash: number, cachedTokens: number, contextTokens: number) => void;
}

/** Maximum number of prompt tokens computed in one iteration. */
const PREFILL_CHUNK_TOKENS = 512;
/** Factor by which each new request decays the recent cache hits. */
const HIT_DECAY = 0.9;
/** Maximum number of requests that wait inside an engine, as a multiple of its slots. */
const WAITING_FACTOR = 4;

/** Returns an idle engine. */
export function createEngineModel(options: EngineModelOptions, incarnation = 1): EngineModel {
  return {
    options,
    incarnation,
    leaving: false,
    role: 'serve',
    model: options.model,
    version: options.version,
    highestFence: 0,
    waiting: [],
    running: [],
    cache: new Map(),
    cacheTokens: 0,
    runningTokens: 0,
    nextAtMs: Number.POSITIVE_INFINITY,
    cacheSequence: 0,
    evicted: [],
    hitTokens: 0,
    requestedTokens: 0,
    onPrefill: () => undefined,
  };
}

/** Accepts a run, or refuses it before it starts. */
export function submitRun(
  engine: EngineModel,
  run: EngineRun,
  nowMs: number,
): 'taken' | 'leaving' | 'full' {
  if (engine.leaving || engine.role !== 'serve') return 'leaving';
  if (engine.waiting.length >= engine.options.slots * WAITING_FACTOR) return 'full';
  const live: LiveRun = {
    run,
    cachedTokens: 0,
    prefillLeft: 0,
    offset: run.resumeOffset,
    sentOffset: run.resumeOffset,
  };
  enqueue(engine, live);
  wake(engine, nowMs);
  return 'taken';
}

function enqueue(engine: EngineModel, live: LiveRun): void {
  const index = live.run.urgent ? engine.waiting.findIndex((other) => !other.run.urgent) : -1;
  if (index < 0) engine.waiting.push(live);
  else engine.waiting.splice(index, 0, live);
}

function wake(engine: EngineModel, nowMs: number): void {
  if (engine.nextAtMs !== Number.POSITIVE_INFINITY) return;
  engine.nextAtMs = nowMs + iterationMs(engine, 0);
}

function contextOf(live: LiveRun): number {
  return live.run.promptTokens + live.offset;
}

function admitWaiting(engine: EngineModel): void {
  while (engine.running.length < engine.options.slots) {
    const next = engine.waiting[0];
    if (next === undefined) return;
    const needed = contextOf(next);
    const fits = engine.runningTokens + needed <= engine.options.kvCapacityTokens;
    if (!fits && engine.running.length > 0) return;
    engine.waiting.shift();
    startRun(engine, next, needed);
  }
}

function startRun(engine: EngineModel, live: LiveRun, context: number): void {
  const { affinityHash, importedTokens } = live.run;
  const cached = Math.min(context, Math.max(engine.cache.get(affinityHash) ?? 0, importedTokens));
  dropCached(engine, affinityHash);
  live.cachedTokens = Math.min(cached, live.run.promptTokens);
  live.prefillLeft = Math.max(1, context - cached);
  engine.hitTokens = engine.hitTokens * HIT_DECAY + cached;
  engine.requestedTokens = engine.requestedTokens * HIT_DECAY + context;
  engine.onPrefill(affinityHash, cached, context);
  engine.running.push(live);
  engine.runningTokens += context;
  evictToFit(engine);
}

function dropCached(engine: EngineModel, affinityHash: number): void {
  engine.cacheTokens -= engine.cache.get(affinityHash) ?? 0;
  engine.cache.delete(affinityHash);
}

/** Evicts idle prefixes, then requeues the latest patient runs, until the KV cache suffices. */
function evictToFit(engine: EngineModel): void {
  const { kvCapacityTokens } = engine.options;
  for (const affinityHash of engine.cache.keys()) {
    if (engine.runningTokens + engine.cacheTokens <= kvCapacityTokens) return;
    dropCached(engine, affinityHash);
    engine.evicted.push(affinityHash);
  }
  while (engine.runningTokens > kvCapacityTokens && engine.running.length > 1) {
    const victim = engine.running.findLast((live) => !live.run.urgent) ?? engine.running.at(-1);
    if (victim === undefined) return;
    removeRunning(engine, victim);
    victim.run = { ...victim.run, importedTokens: 0 };
    enqueue(engine, victim);
  }
}

function removeRunning(engine: EngineModel, live: LiveRun): void {
  engine.running.splice(engine.running.indexOf(live), 1);
  engine.runningTokens -= contextOf(live);
}

function iterationMs(engine: EngineModel, prefillTokens: number): number {
  const { interTokenMs, crowding, slots, prefillTokensPerMs } = engine.options;
  const use = engine.running.length / Math.max(1, slots);
  return interTokenMs * (1 + crowding * use) + prefillTokens / prefillTokensPerMs;
}

/** Runs the iterations that are due by `nowMs`. Returns their output in order. */
export function advanceEngine(engine: EngineModel, nowMs: number): EngineOutput[] {
  const outputs: EngineOutput[] = [];
  while (engine.nextAtMs <= nowMs) {
    const atMs = engine.nextAtMs;
    const prefilled = iterate(engine, outputs);
    const idle = engine.running.length === 0 && engine.waiting.length === 0;
    engine.nextAtMs = idle ? Number.POSITIVE_INFINITY : atMs + iterationMs(engine, prefilled);
  }
  return outputs;
}

function iterate(engine: EngineModel, outputs: EngineOutput[]): number {
  admitWaiting(engine);
  const prefilled = prefillChunk(engine);
  for (const live of [...engine.running]) {
    if (live.prefillLeft === 0 && engine.running.includes(live)) generate(engine, live, outputs);
  }
  return prefilled;
}

/** Computes up to one chunk of prompt tokens, urgent prompts first. Short prompts share a chunk. */
function prefillChunk(engine: EngineModel): number {
  let remaining = PREFILL_CHUNK_TOKENS;
  for (const urgent of [true, false]) {
    for (const live of engine.running) {
      if (remaining === 0) return PREFILL_CHUNK_TOKENS;
      if (live.run.urgent !== urgent || live.prefillLeft === 0) continue;
      const tokens = Math.min(remaining, live.prefillLeft);
      live.prefillLeft -= tokens;
      remaining -= tokens;
    }
  }
  return PREFILL_CHUNK_TOKENS - remaining;
}

function generate(engine: EngineModel, live: LiveRun, outputs: EngineOutput[]): void {
  const { run } = live;
  if (live.offset < run.totalTokens) {
    live.offset += 1;
    engine.runningTokens += 1;
    evictToFit(engine);
  }
  const done = live.offset >= run.totalTokens;
  const pending = live.offset - live.sentOffset;
  const isFirst = live.sentOffset === run.resumeOffset;
  if (pending > 0 && (done || isFirst || pending >= engine.options.tokensPerEvent)) {
    outputs.push(tokensOutput(live));
  }
  if (done) finish(engine, live, outputs);
}

function tokensOutput(live: LiveRun): EngineOutput {
  const { run, sentOffset, offset } = live;
  const tokens: string[] = [];
  for (let at = sentOffset; at < offset; at += 1) tokens.push(answerToken(run.answerKey, at));
  live.sentOffset = offset;
  return { kind: 'tokens', attemptId: run.attemptId, offset: sentOffset, tokens };
}

function finish(engine: EngineModel, live: LiveRun, outputs: EngineOutput[]): void {
  const { run, cachedTokens } = live;
  removeRunning(engine, live);
  putCached(engine, run.affinityHash, contextOf(live));
  const { attemptId, totalTokens } = run;
  outputs.push({ kind: 'ended', attemptId, totalTokens, cachedTokens });
}

/** Puts an idle prefix into the cache. */
export function putCached(engine: EngineModel, affinityHash: number, tokens: number): void {
  dropCached(engine, affinityHash);
  engine.cache.set(affinityHash, tokens);
  engine.cacheTokens += tokens;
  evictToFit(engine);
}

/**
 * Stops a run and keeps its context as an idle prefix, unless its prompt is incomplete. Returns
 * undefined if the run was still waiting or does not exist.
 */
export function stopRun(
  engine: EngineModel,
  attemptId: string,
): { offset: number; contextTokens: number } | undefined {
  const waiting = engine.waiting.findIndex((live) => live.run.attemptId === attemptId);
  if (waiting >= 0) {
    engine.waiting.splice(waiting, 1);
    return undefined;
  }
  const live = engine.running.find((item) => item.run.attemptId === attemptId);
  if (live === undefined) return undefined;
  removeRunning(engine, live);
  const contextTokens = contextOf(live) - live.prefillLeft;
  if (live.prefillLeft === 0) putCached(engine, live.run.affinityHash, contextTokens);
  return { offset: live.offset, contextTokens };
}

/** Returns the engine's report of its load and state. */
export function reportOf(engine: EngineModel): EngineReport {
  const { kvCapacityTokens } = engine.options;
  return {
    incarnation: engine.incarnation,
    running: engine.running.length,
    waiting: engine.waiting.length,
    model: engine.model,
    version: engine.version,
    role: engine.role,
    leaving: engine.leaving,
    kvUsedShare: Math.min(1, (engine.runningTokens + engine.cacheTokens) / kvCapacityTokens),
    kvHitShare: engine.requestedTokens === 0 ? 1 : engine.hitTokens / engine.requestedTokens,
  };
}

/** Returns the evictions since the last call, under the next sequence number, and clears them. */
export function takeCacheEvent(
  engine: EngineModel,
): { sequence: number; evicted: number[] } | undefined {
  if (engine.evicted.length === 0) return undefined;
  engine.cacheSequence += 1;
  const { evicted } = engine;
  engine.evicted = [];
  return { sequence: engine.cacheSequence, evicted };
}
