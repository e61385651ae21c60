/**
 * Tests limits over several boxes against the users' rule: in any window, all boxes together admit no
 * more than rate, burst and tolerance allow, whatever happens to their messages.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  boundOf,
  simulate,
  steadyDemand,
  type Fault,
  type Scene,
} from './__fixtures__/limitScene.js';
import { maxUnitsInWindow as maxInWindow, WINDOW_MS } from './__fixtures__/unitsInWindow.js';

const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('restart' as const),
    box: fc.nat(6),
    atMs: fc.integer({ min: 1000, max: 20_000 }),
  }),
  fc.record({
    kind: fc.constant('restartAll' as const),
    atMs: fc.integer({ min: 1000, max: 20_000 }),
    forMs: fc.integer({ min: 800, max: 3000 }),
  }),
  fc.record({
    kind: fc.constant('cut' as const),
    below: fc.integer({ min: 1, max: 6 }),
    atMs: fc.integer({ min: 1000, max: 15_000 }),
    forMs: fc.integer({ min: 500, max: 9000 }),
  }),
  fc.record({
    kind: fc.constant('lossy' as const),
    share: fc.double({ min: 0.05, max: 0.5, noNaN: true }),
    atMs: fc.nat(15_000),
    forMs: fc.integer({ min: 500, max: 9000 }),
  }),
);

function partitionMs(troubles: readonly Fault[]): number {
  return troubles.reduce((sum, fault) => sum + (fault.kind === 'cut' ? fault.forMs : 0), 0);
}

const sceneArbitrary: fc.Arbitrary<Scene> = fc.record({
  boxes: fc.integer({ min: 2, max: 8 }),
  demand: fc.array(fc.double({ min: 0, max: 5, noNaN: true }), { minLength: 22, maxLength: 22 }),
  // Boxes that are silent for over ten seconds count as lost, so consecutive partitions stay below that.
  troubles: fc
    .array(faultArbitrary, { maxLength: 2 })
    .filter((troubles) => partitionMs(troubles) < 9500),
  storeAnswersAfterMs: fc.integer({ min: 0, max: 300 }),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
});

test('no window exceeds the limit through restarts, partitions and lost messages', () => {
  fc.assert(
    fc.property(sceneArbitrary, (scene) => {
      const most = maxInWindow(simulate(scene).admitted);
      expect(most).to.be.at.most(boundOf());
    }),
    {
      numRuns: Number(process.env['LIMITS_RUNS'] ?? 30),
      seed: Number(process.env['LIMITS_SEED'] ?? 20_817),
    },
  );
});

test('a lowered limit binds one window later, and not before', () => {
  const troubles: Fault[] = [{ kind: 'limit', factor: 0.4, atMs: 9000 }];
  const { admitted } = simulate({ ...steadyDemand(3), troubles });
  expect(maxInWindow(admitted)).to.be.at.most(boundOf());
  const later = admitted.filter(({ atMs }) => atMs > 9000 + WINDOW_MS);
  expect(maxInWindow(later)).to.be.at.most(boundOf(0.4));
  const between = admitted.filter(({ atMs }) => atMs > 9000 && atMs <= 9000 + WINDOW_MS / 2);
  expect(between.length).to.be.greaterThan(10);
});

test('a workspace that asks for its rate gets no refusal', () => {
  expect(simulate(steadyDemand(1)).refusedUnits).to.equal(0);
});

test('a workspace that asks for more gets nine tenths of its limit', () => {
  const { admitted } = simulate(steadyDemand(3));
  expect(maxInWindow(admitted) / boundOf()).to.be.within(0.85, 1);
});
