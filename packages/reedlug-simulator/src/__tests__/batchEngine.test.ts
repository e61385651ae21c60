import { expect } from 'chai';
import type { PromptPart } from 'reedlug-gateway';
import {
  createBatchEngine,
  finishStep,
  setSlowFactor,
  stopRun,
  submitRun,
  type BatchEngine,
} from '../servers/batchEngine.js';

const PARAMETERS = {
  slots: 2,
  queue: 2,
  kvTokens: 20_000,
  stepMs: 5,
  stepMsPerRun: 0,
  readTokensPerMs: 20,
  readMsPerMillionPairs: 0,
  chunkTokens: 1000,
  tokensPerEvent: 2,
  firstMs: 0,
};

interface SeenEvent {
  runId: number;
  atMs: number;
  event: number;
}

/** Submits requests and runs the engine until it is idle. */
function runAll(
  requests: readonly { runId: number; urgency?: number; parts: PromptPart[]; events?: number }[],
): { seen: SeenEvent[]; rejected: number[]; engine: BatchEngine } {
  const engine = createBatchEngine(PARAMETERS);
  const seen: SeenEvent[] = [];
  const rejected: number[] = [];
  let nowMs = 0;
  for (const { runId, urgency = 5, parts, events = 1 } of requests) {
    const onEvent = (event: number): void => void seen.push({ runId, atMs: nowMs, event });
    const onRejected = (): void => void rejected.push(runId);
    submitRun(engine, { runId, urgency, parts, fromEvent: 0, events, onEvent, onRejected }, nowMs);
  }
  while (engine.stepEndsAtMs !== undefined) {
    nowMs = engine.stepEndsAtMs;
    finishStep(engine, nowMs);
  }
  return { seen, rejected, engine };
}

const ownPart = (id: string, tokens: number): PromptPart[] => [{ id, tokens }];

test('a prompt is processed in chunks before the first event', () => {
  const { seen } = runAll([{ runId: 1, parts: ownPart('a', 2000) }]);
  // Two steps of 5 + 1000 / 20 ms, the second of which generates the first token, and one of 5 ms.
  expect(seen).to.deep.equal([{ runId: 1, atMs: 115, event: 1 }]);
});

test('a stream waits for the chunks of a concurrent prompt', () => {
  const alone = runAll([{ runId: 1, parts: ownPart('a', 20), events: 5 }]).seen.at(-1)?.atMs ?? 0;
  const concurrent = runAll([
    { runId: 1, parts: ownPart('a', 20), events: 5 },
    { runId: 2, parts: ownPart('b', 4000) },
  ]).seen.filter(({ runId }) => runId === 1);
  expect(concurrent.at(-1)?.atMs).to.be.greaterThan(alone + 150);
});

test('shared parts are processed once', () => {
  const parts = (last: string): PromptPart[] => [
    { id: 'shared', tokens: 900 },
    { id: last, tokens: 100 },
  ];
  const { engine } = runAll([
    { runId: 1, parts: parts('x') },
    { runId: 2, parts: parts('y') },
    { runId: 3, parts: parts('z') },
  ]);
  expect(engine.readTokens).to.equal(1000 + 100 + 100);
});

test('urgent prompts are processed first, and a full queue rejects requests', () => {
  const { seen, rejected } = runAll([
    { runId: 1, parts: ownPart('a', 1000) },
    { runId: 2, urgency: 9, parts: ownPart('b', 1000) },
    { runId: 3, urgency: 0, parts: ownPart('c', 1000) },
    { runId: 4, parts: ownPart('d', 1000) },
  ]);
  expect(rejected).to.deep.equal([4]);
  expect(seen.map(({ runId }) => runId).indexOf(3)).to.be.lessThan(
    seen.map(({ runId }) => runId).indexOf(2),
  );
});

test('a stopped request frees its slot', () => {
  const engine = createBatchEngine(PARAMETERS);
  const nothing = (): void => undefined;
  const run = { urgency: 5, fromEvent: 0, events: 9, onEvent: nothing, onRejected: nothing };
  submitRun(engine, { ...run, runId: 1, parts: ownPart('a', 10) }, 0);
  expect(stopRun(engine, 1)).to.equal(true);
  expect(stopRun(engine, 1)).to.equal(false);
  expect(engine.running).to.have.length(0);
});

test('an engine of twice the speed takes half the time, and keeps its speed under a slow factor', () => {
  const durationOf = (speed: number, slowFactor: number): number => {
    const engine = createBatchEngine(PARAMETERS, speed);
    setSlowFactor(engine, slowFactor);
    const nothing = (): void => undefined;
    const run = { urgency: 5, fromEvent: 0, events: 1, onEvent: nothing, onRejected: nothing };
    submitRun(engine, { ...run, runId: 1, parts: ownPart('a', 1000) }, 0);
    return engine.stepEndsAtMs ?? 0;
  };
  expect(durationOf(2, 1)).to.equal(durationOf(1, 1) / 2);
  expect(durationOf(2, 4)).to.equal(durationOf(1, 1) * 2);
});
