import fc from 'fast-check';
import { randomOf } from '../../__tests__/__fixtures__/random.js';
import { expect } from 'chai';
import type { SpeedSums } from '../../types/serverSpeed.js';
import {
  createSpeedSums,
  decaySpeedSums,
  estimateSpeeds,
  withSend,
  type SpeedEstimate,
} from '../serverSpeed.js';

function normal(random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

interface Engine {
  id: string;
  speed: number;
  sums: SpeedSums;
  /** End of the current slow or usual phase. */
  phaseEndsAtMs: number;
  isSlow: boolean;
}

/** Engines that run at 2.5 times the duration for 15 % of the time, in phases of about 300 ms. */
interface Load {
  engines: Engine[];
  nowMs: number;
  inUse: boolean;
  random: () => number;
}

const STEP_MS = 50;
const SLOW_FACTOR = 2.5;
const SLOW_PHASE_MS = 300;
const USUAL_PHASE_MS = 1700;

function createLoad(speeds: readonly number[], seed: number): Load {
  const engines = speeds.map((speed, index) => ({
    id: `engine-${index}`,
    speed,
    sums: createSpeedSums(),
    phaseEndsAtMs: 0,
    isSlow: true,
  }));
  return { engines, nowMs: 0, inUse: false, random: randomOf(seed) };
}

/** Sends four requests a second to each engine, and returns the estimate at the end of each second. */
function play(load: Load, seconds: number, sendsPerSecond = 4): SpeedEstimate[] {
  const { engines, random } = load;
  const estimates: SpeedEstimate[] = [];
  for (let step = 1; step <= (seconds * 1000) / STEP_MS; step += 1) {
    load.nowMs += STEP_MS;
    for (const engine of engines) {
      if (load.nowMs >= engine.phaseEndsAtMs) {
        engine.isSlow = !engine.isSlow;
        const meanMs = engine.isSlow ? SLOW_PHASE_MS : USUAL_PHASE_MS;
        engine.phaseEndsAtMs = load.nowMs - meanMs * Math.log(1 - random());
      }
      engine.sums = decaySpeedSums(engine.sums, STEP_MS);
      if (random() > (sendsPerSecond * STEP_MS) / 1000) continue;
      const expectedMs = 20 + 100 * Math.exp(normal(random) - 0.5);
      const noise = Math.exp(0.3 * normal(random)) * (engine.isSlow ? SLOW_FACTOR : 1);
      const waitMs = (expectedMs / engine.speed) * noise;
      engine.sums = withSend(engine.sums, { expectedMs, waitMs, wallClockMs: load.nowMs });
    }
    if (load.nowMs % 1000 !== 0) continue;
    const sums = new Map(engines.map((engine) => [engine.id, engine.sums]));
    const estimate = estimateSpeeds(sums, load.inUse);
    load.inUse = estimate.inUse;
    estimates.push(estimate);
  }
  return estimates;
}

function unevenSpeeds(engines: number): number[] {
  return Array.from({ length: engines }, (_, index) => (index % 3 === 2 ? 1.7 : 0.7));
}

function meanBy(load: Load, estimate: SpeedEstimate, speed: number): number {
  const known = load.engines
    .filter((engine) => engine.speed === speed)
    .map(({ id }) => estimate.speeds.get(id) ?? 1);
  return known.reduce((sum, value) => sum + value, 0) / known.length;
}

test('speeds of 78 engines with slow phases are in use within 10 s, and close to the true ratio', () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const load = createLoad(unevenSpeeds(78), seed);
    const estimates = play(load, 15);
    const firstInUse = estimates.findIndex(({ inUse }) => inUse) + 1;
    expect(firstInUse).to.be.within(1, 10);
    const last = estimates.at(-1);
    if (last === undefined) throw new Error('no estimate');
    const ratio = meanBy(load, last, 1.7) / meanBy(load, last, 0.7);
    expect(ratio).to.be.within(1.9, 2.6);
    const slow = load.engines.filter(({ speed }) => speed < 1);
    const mistaken = slow.filter(({ id }) => (last.speeds.get(id) ?? 1) > 1.2);
    expect(mistaken.length).to.be.at.most(1);
  }
});

test('slow phases of equal engines never look like speeds in ten minutes', () => {
  const used: string[] = [];
  for (const engines of [2, 3, 8, 78]) {
    for (const seed of [1, 2, 3]) {
      const estimates = play(createLoad(Array<number>(engines).fill(1), seed), 600);
      const seconds = estimates.filter(({ inUse }) => inUse).length;
      if (seconds > 0) used.push(`${engines} engines, seed ${seed}: ${seconds} s`);
    }
  }
  expect(used).to.deep.equal([]);
});

test('speeds stay in use while servers differ, also at a fourth of the load', () => {
  const load = createLoad(unevenSpeeds(78), 9);
  play(load, 20);
  const estimates = play(load, 120, 1);
  expect(estimates.every(({ inUse }) => inUse)).to.equal(true);
});

test('one server among many that runs at 0.4 of the speed is found', () => {
  const speeds = Array<number>(40).fill(1);
  speeds[7] = 0.4;
  const load = createLoad(speeds, 3);
  const estimates = play(load, 40, 8);
  const last = estimates.at(-1);
  expect(estimates.findIndex(({ inUse }) => inUse)).to.be.within(0, 30);
  expect(last?.speeds.get('engine-7')).to.be.within(0.3, 0.65);
});

test('a lasting change of speed is mostly followed within 10 s', () => {
  const load = createLoad(unevenSpeeds(78), 5);
  play(load, 30);
  const changed = load.engines.filter(({ speed }) => speed > 1).slice(0, 6);
  for (const engine of changed) engine.speed = 0.7;
  const last = play(load, 10).at(-1);
  const mean = changed.reduce((sum, { id }) => sum + (last?.speeds.get(id) ?? 1), 0) / 6;
  expect(mean).to.be.below(1.2);
  const later = play(load, 15).at(-1);
  for (const { id } of changed) expect(later?.speeds.get(id)).to.be.below(1.15);
});

test('speeds are no longer used once the servers have become equal', () => {
  const load = createLoad(unevenSpeeds(30), 6);
  play(load, 30);
  expect(load.inUse).to.equal(true);
  for (const engine of load.engines) engine.speed = 1;
  play(load, 90);
  expect(load.inUse).to.equal(false);
});

test('a server with few sends has a speed nearer to 1 than one with many of the same ratio', () => {
  const many = {
    evenExpectedMs: 4000,
    evenObservedMs: 2000,
    oddExpectedMs: 4000,
    oddObservedMs: 2000,
  };
  const slow = {
    evenExpectedMs: 4000,
    evenObservedMs: 6000,
    oddExpectedMs: 4000,
    oddObservedMs: 6000,
  };
  const few = { evenExpectedMs: 80, evenObservedMs: 40, oddExpectedMs: 80, oddObservedMs: 40 };
  const sums = new Map([
    ['many', many],
    ['slow', slow],
    ['few', few],
  ]);
  const { inUse, speeds } = estimateSpeeds(sums, false);
  expect(inUse).to.equal(true);
  expect(speeds.get('few')).to.be.within(1.02, 0.9 * (speeds.get('many') ?? 0));
});

test('a stalled send counts no more than four times its expected time', () => {
  const sums = withSend(createSpeedSums(), { expectedMs: 100, waitMs: 60_000, wallClockMs: 0 });
  expect(sums).to.include({ evenExpectedMs: 100, evenObservedMs: 400 });
});

test('sends without finite times are ignored', () => {
  for (const send of [
    { expectedMs: Number.NaN, waitMs: 1 },
    { expectedMs: 100, waitMs: Number.POSITIVE_INFINITY },
    { expectedMs: 0, waitMs: 10 },
    { expectedMs: 100, waitMs: -1 },
  ]) {
    expect(withSend(createSpeedSums(), { ...send, wallClockMs: 0 })).to.deep.equal(
      createSpeedSums(),
    );
  }
});

const drawnMs = fc.double({ min: 0, max: 1e8, noNaN: true });
const drawnSums = fc.record({
  evenExpectedMs: drawnMs,
  evenObservedMs: drawnMs,
  oddExpectedMs: drawnMs,
  oddObservedMs: drawnMs,
});

test('whatever the sums, speeds are finite and within their bounds', () => {
  fc.assert(
    fc.property(fc.array(drawnSums, { maxLength: 40 }), fc.boolean(), (drawn, wasInUse) => {
      const sums = new Map(drawn.map((value, index) => [`engine-${index}`, value]));
      const { inUse, speeds } = estimateSpeeds(sums, wasInUse);
      if (!inUse) expect(speeds.size).to.equal(0);
      for (const speed of speeds.values()) expect(speed).to.be.within(0.25, 4);
    }),
    { numRuns: 500 },
  );
});

test('the expected times at the speeds add up to those of the model', () => {
  const drawnSpeed = fc.double({ min: 0.5, max: 2, noNaN: true });
  const drawnLoad = fc.array(
    fc.tuple(drawnSpeed, fc.double({ min: 2000, max: 2e4, noNaN: true })),
    {
      minLength: 6,
      maxLength: 60,
    },
  );
  fc.assert(
    fc.property(drawnLoad, (drawn) => {
      const sums = new Map(
        drawn.map(([speed, expectedMs], index): [string, SpeedSums] => [
          `engine-${index}`,
          {
            evenExpectedMs: expectedMs,
            evenObservedMs: expectedMs / speed,
            oddExpectedMs: expectedMs,
            oddObservedMs: expectedMs / speed,
          },
        ]),
      );
      const { inUse, speeds } = estimateSpeeds(sums, false);
      if (!inUse) return;
      let modelMs = 0;
      let expectedMs = 0;
      for (const [id, { evenExpectedMs }] of sums) {
        modelMs += evenExpectedMs;
        expectedMs += evenExpectedMs / (speeds.get(id) ?? 1);
      }
      expect(expectedMs / modelMs).to.be.within(0.999, 1.001);
      const ordered = drawn
        .map(([speed], index) => ({ speed, known: speeds.get(`engine-${index}`) ?? 1 }))
        .sort((one, other) => one.speed - other.speed);
      expect(ordered.at(-1)?.known).to.be.above(ordered.at(0)?.known ?? 4);
    }),
    { numRuns: 300 },
  );
});
