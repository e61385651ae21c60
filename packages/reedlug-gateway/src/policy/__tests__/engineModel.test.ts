import { expect } from 'chai';
import {
  addSendSums,
  createSendSums,
  expectedWaitMs,
  decaySends,
  fitEngineModel,
  recordStay,
  recordWait,
  type EngineModel,
  type OwnSends,
} from '../engineModel.js';

interface TrueEngine {
  tokensPerMs: number;
  runningMs: number;
  slots: number;
}

/**
 * Records sends to engines of one kind; every `badEvery`th send goes to an engine that is
 * `badFactor` times as slow.
 */
function observe(
  engine: TrueEngine,
  params: { sends: number; badEvery?: number; badFactor?: number },
): OwnSends {
  const own: OwnSends = { sums: createSendSums(), decayedAtMs: 0 };
  for (let index = 0; index < params.sends; index += 1) {
    const nowMs = index * 40;
    const tokens = 200 + ((index * 7919) % 97) ** 2;
    const running = (index * 31) % engine.slots;
    const conditions = { tokens, running, unread: 0, slots: engine.slots };
    const trueMs = 26 + tokens / engine.tokensPerMs + running * engine.runningMs;
    const isBad = params.badEvery !== undefined && index % params.badEvery === 0;
    const waitMs = trueMs * (isBad ? (params.badFactor ?? 1) : 1) * (0.9 + 0.02 * (index % 11));
    const expectedMs = expectedWaitMs(fitEngineModel(own.sums), conditions);
    recordWait(own, { conditions, waitMs, expectedMs, nowMs });
  }
  return own;
}

const ENGINES: TrueEngine[] = [
  { tokensPerMs: 30, runningMs: 0.05, slots: 128 },
  { tokensPerMs: 36, runningMs: 1, slots: 64 },
  { tokensPerMs: 60, runningMs: 2, slots: 12 },
  { tokensPerMs: 157, runningMs: 0.5, slots: 24 },
  { tokensPerMs: 160, runningMs: 0, slots: 6 },
];

for (const engine of ENGINES) {
  test(`${engine.tokensPerMs} tokens per ms and ${engine.slots} slots are learned from 150 sends`, () => {
    const model = fitEngineModel(observe(engine, { sends: 150 }).sums);
    expect(model.tokensPerMs).to.be.closeTo(engine.tokensPerMs, engine.tokensPerMs * 0.15);
    const idle = expectedWaitMs(model, { tokens: 5000, running: 0, slots: engine.slots });
    expect(idle).to.be.closeTo(26 + 5000 / engine.tokensPerMs, 25);
  });
}

test('one slow engine in ten moves the rate by less than a third', () => {
  const model = fitEngineModel(
    observe(
      { tokensPerMs: 100, runningMs: 0.5, slots: 24 },
      { sends: 300, badEvery: 10, badFactor: 20 },
    ).sums,
  );
  expect(model.tokensPerMs).to.be.within(67, 133);
});

test('before any send the initial model applies', () => {
  const model = fitEngineModel(createSendSums());
  expect(model.sends).to.equal(0);
  expect(model.tokensPerMs).to.be.closeTo(60, 0.01);
  expect(model.stayMs).to.equal(500);
});

test('sums of several boxes add up to those of a single box', () => {
  const engine = { tokensPerMs: 100, runningMs: 0.5, slots: 24 };
  const parts = [observe(engine, { sends: 30 }).sums, observe(engine, { sends: 30 }).sums];
  const model = fitEngineModel(addSendSums(parts));
  expect(model.sends).to.be.closeTo(
    parts.reduce((sum, { sends }) => sum + sends, 0),
    1e-9,
  );
  expect(model.tokensPerMs).to.be.closeTo(100, 15);
});

test('a send without a free slot does not change the prefill rate', () => {
  const own: OwnSends = { sums: createSendSums(), decayedAtMs: 0 };
  const conditions = { tokens: 100, running: 24, slots: 24, unread: 0 };
  recordWait(own, { conditions, waitMs: 4000, expectedMs: 50, nowMs: 0 });
  expect(own.sums.sends).to.equal(0);
});

test('a send behind many prompts does not change the prefill rate', () => {
  const noted = (unread: number): number => {
    const own: OwnSends = { sums: createSendSums(), decayedAtMs: 0 };
    const conditions = { tokens: 40_000, running: 20, unread, slots: 48 };
    recordWait(own, { conditions, waitMs: 90, expectedMs: 1000, nowMs: 0 });
    return own.sums.sends;
  };
  expect(noted(2)).to.equal(1);
  expect(noted(3)).to.equal(0);
});

test('invalid times leave the model finite', () => {
  const own: OwnSends = { sums: createSendSums(), decayedAtMs: 0 };
  const conditions = { tokens: 0, running: 0, slots: 1, unread: 0 };
  for (const waitMs of [0, Number.NaN, Number.POSITIVE_INFINITY, -5]) {
    recordWait(own, { conditions, waitMs, expectedMs: 0, nowMs: 0 });
    recordStay(own, waitMs, 0);
  }
  const model = fitEngineModel(own.sums);
  for (const value of Object.values(model) as number[])
    expect(Number.isFinite(value)).to.equal(true);
});

test('the expected time includes the wait for a slot if all are in use', () => {
  const model: EngineModel = {
    baseMs: 20,
    tokensPerMs: 100,
    runningMs: 0,
    stayMs: 1000,
    sends: 50,
  };
  expect(expectedWaitMs(model, { tokens: 0, running: 9, slots: 10 })).to.equal(20);
  expect(expectedWaitMs(model, { tokens: 0, running: 10, slots: 10 })).to.equal(120);
  expect(expectedWaitMs(model, { tokens: 0, running: 19, slots: 10 })).to.equal(1020);
});

test('a registry entry without slots does not divide by zero', () => {
  const model = fitEngineModel(createSendSums());
  expect(Number.isFinite(expectedWaitMs(model, { tokens: 0, running: 3, slots: 0 }))).to.equal(
    true,
  );
});

test('the effect of a cold start decays', () => {
  const engine = { tokensPerMs: 100, runningMs: 0.5, slots: 24 };
  const cold = observe(engine, { sends: 60, badEvery: 1, badFactor: 3 });
  const warm = observe(engine, { sends: 60 });
  const tokensPerMsAfter = (seconds: number): number => {
    const own: OwnSends = { sums: { ...cold.sums }, decayedAtMs: 0 };
    decaySends(own, seconds * 1000);
    return fitEngineModel(addSendSums([own.sums, warm.sums])).tokensPerMs;
  };
  expect(tokensPerMsAfter(0)).to.be.lessThan(70);
  expect(tokensPerMsAfter(60)).to.be.within(85, 115);
});
