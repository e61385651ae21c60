/**
 * Tests the reserve for restarts against the users' rule: in any window of 8 s all boxes together send no
 * more than rate, burst and tolerance allow, however often boxes end and whatever the store loses.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  DURATION_S,
  simulate,
  TICK_MS,
  worstWindow,
  type Fault,
  type Scene,
} from '../../../__tests__/__fixtures__/restartingFleet.js';

const atMs = fc.integer({ min: 500, max: (DURATION_S - 2) * 1000 });
const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('end' as const),
      atMs,
      boxes: fc.oneof(fc.constant(255), fc.integer({ min: 1, max: 255 })),
      downMs: fc.integer({ min: 50, max: 2500 }),
    }),
  },
  fc.record({
    kind: fc.constantFrom('lost' as const, 'slow' as const),
    atMs,
    forMs: fc.integer({ min: 100, max: 9000 }),
    lateMs: fc.oneof(fc.integer({ min: 0, max: 6000 }), fc.constant(Number.POSITIVE_INFINITY)),
  }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restore' as const),
      atMs,
      backMs: fc.integer({ min: 0, max: 20_000 }),
    }),
  },
  fc.record({
    kind: fc.constant('suspend' as const),
    atMs,
    box: fc.nat(5),
    forMs: fc.integer({ min: 100, max: 9000 }),
  }),
  fc.record({
    kind: fc.constant('wallClock' as const),
    atMs,
    box: fc.nat(5),
    byMs: fc.integer({ min: -100_000, max: 100_000 }),
  }),
  fc.record({
    kind: fc.constant('limit' as const),
    atMs,
    factor: fc.constantFrom(0.3, 0.6, 1, 1.5),
  }),
  fc.record({
    kind: fc.constant('join' as const),
    atMs,
    forMs: fc.integer({ min: 100, max: 9000 }),
  }),
);

/** Demand in phases: a workspace saves up its burst and spends it at once, or asks for far too much all the time. */
const demandArbitrary = fc
  .array(
    fc.record({
      seconds: fc.integer({ min: 1, max: 9 }),
      factor: fc.constantFrom(0, 0.2, 1, 3, 8),
    }),
    { minLength: 4, maxLength: 16 },
  )
  .map((phases) => phases.flatMap(({ seconds, factor }) => Array<number>(seconds).fill(factor)));

const sceneArbitrary: fc.Arbitrary<Scene> = fc.record({
  boxes: fc.integer({ min: 1, max: 4 }),
  demand: demandArbitrary,
  faults: fc
    .array(faultArbitrary, { maxLength: 8 })
    .map((faults) => faults.sort((a, b) => a.atMs - b.atMs)),
  storeMs: fc.integer({ min: 1, max: 400 }),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
});

/** Draws a value in one of two cases, otherwise undefined. */
function sometimes(values: fc.Arbitrary<number>): fc.Arbitrary<number | undefined> {
  return fc.option(values, { nil: undefined, freq: 2 });
}

/**
 * Scenes that come close to the bound: a workspace saves up its burst and spends it right before all boxes
 * end, then asks for far too much while they end again and again, in part after restores of the store.
 */
const rapidLivesArbitrary: fc.Arbitrary<Scene> = fc
  .record({
    boxes: fc.integer({ min: 1, max: 3 }),
    hasRestores: fc.boolean(),
    hasLostAnswers: fc.boolean(),
    burstS: fc.integer({ min: 1, max: 2 }),
    firstEndMs: fc.integer({ min: 10_000, max: 13_000 }),
    lives: fc.array(
      fc.record({
        gapMs: fc.integer({ min: 200, max: 5000 }),
        restoreBackMs: sometimes(fc.integer({ min: 0, max: 6000 })),
        lostMs: sometimes(
          fc.oneof(fc.integer({ min: 0, max: 3000 }), fc.constant(Number.POSITIVE_INFINITY)),
        ),
        /** Time after the start from which answers are lost: the write may be lost, or the read as well. */
        lostFromMs: fc.integer({ min: 0, max: 100 }),
      }),
      { minLength: 2, maxLength: 6 },
    ),
    storeMs: fc.integer({ min: 1, max: 40 }),
    seed: fc.integer({ min: 1, max: 1_000_000 }),
  })
  .map((drawn) => {
    const { boxes, burstS, firstEndMs, lives, storeMs, seed } = drawn;
    const faults: Fault[] = [];
    let endMs = firstEndMs;
    for (const { gapMs, restoreBackMs, lostMs, lostFromMs } of lives) {
      faults.push({ kind: 'end', atMs: endMs, boxes: 255, downMs: TICK_MS });
      if (drawn.hasLostAnswers && lostMs !== undefined) {
        const atMs = endMs + TICK_MS + lostFromMs;
        faults.push({ kind: 'lost', atMs, forMs: 200, lateMs: lostMs });
      }
      endMs += gapMs;
      if (drawn.hasRestores && restoreBackMs !== undefined) {
        faults.push({ kind: 'restore', atMs: endMs - TICK_MS, backMs: restoreBackMs });
      }
    }
    const idleS = Math.floor(firstEndMs / 1000) - burstS;
    const demand = Array.from({ length: DURATION_S }, (_, second) => (second < idleS ? 0 : 6));
    return { boxes, demand, faults, storeMs, seed };
  });

function checkBound(scenes: fc.Arbitrary<Scene>, numRuns: number): void {
  fc.assert(
    fc.property(scenes, (scene) => {
      expect(worstWindow(simulate(scene))).to.be.at.most(1);
    }),
    {
      numRuns: Number(process.env['LIMITS_RUNS'] ?? numRuns),
      seed: Number(process.env['LIMITS_SEED'] ?? 20_817),
    },
  );
}

test('no window exceeds the limit through any lives of the boxes and faults of the store', () => {
  checkBound(sceneArbitrary, 60);
});

test('no window exceeds the limit while all boxes end again and again', () => {
  checkBound(rapidLivesArbitrary, 60);
});
