/** Guards against new requests that use up a limit before the streams that callers take up after a loss of all boxes. */
import { expect } from 'chai';
import { simulate, type TakenUpScene } from './__fixtures__/takenUpAfterLoss.js';
import { maxUnitsInWindow } from './__fixtures__/unitsInWindow.js';

const SEEDS = [1, 2, 3, 4] as const;
/** Rate of the limit, and units that it allows in a window with tolerance. */
const RATE_PER_SECOND = 10_000;
const UNITS_ALLOWED = 99_000;

/** Callers that come back once those of new streams have asked for most of a second. */
const BACK_LATE = { back: { fromMs: 800, untilMs: 1000 }, areNamedInRows: true } as const;

function sceneOf(demand: number, seed: number, underWay = 80): TakenUpScene {
  const newPerSecond = 40;
  const unitsEach = (demand * RATE_PER_SECOND) / newPerSecond;
  return { seed, underWay, newPerSecond, unitsEach, countedMs: 1500 };
}

function sharesOf(
  demand: number,
  underWay?: number,
  changes: Partial<TakenUpScene> = {},
): { takenUp: number; begun: number } {
  const results = SEEDS.map((seed) => simulate({ ...sceneOf(demand, seed, underWay), ...changes }));
  const shareOf = (kind: 'takenUp' | 'begun'): number => {
    const asked = results.reduce((sum, result) => sum + result[kind].asked, 0);
    return results.reduce((sum, result) => sum + result[kind].sent, 0) / Math.max(1, asked);
  };
  return { takenUp: shareOf('takenUp'), begun: shareOf('begun') };
}

test('nine of ten streams go on after a loss of all boxes if the workspace asks for half of its limit', () => {
  expect(sharesOf(0.56).takenUp).to.be.at.least(0.9);
});

test('streams that have begun go before new ones where the units do not suffice for both', () => {
  for (const demand of [0.8, 1.2, 1.6]) {
    const { takenUp, begun } = sharesOf(demand);
    expect(takenUp, `demand ${demand}`).to.be.at.least(1.5 * begun);
  }
});

test('new streams are served beside those that are taken up where the units suffice for both', () => {
  const { takenUp, begun } = sharesOf(0.4);
  expect(takenUp).to.equal(1);
  expect(begun).to.be.at.least(0.9);
});

test('streams whose callers come back late find the units that new ones would have used', () => {
  expect(sharesOf(0.56, 40, BACK_LATE).takenUp).to.be.at.least(0.9);
  for (const demand of [0.8, 1.2, 1.6]) {
    const { takenUp, begun } = sharesOf(demand, undefined, BACK_LATE);
    expect(takenUp, `demand ${demand}`).to.be.at.least(begun);
  }
});

test('where no stream is taken up, new ones use all units as they come', () => {
  expect(sharesOf(0.56, 0).begun).to.be.at.least(0.95);
});

test('no window holds more units than the limit allows', () => {
  for (const seed of SEEDS) {
    for (const demand of [0.56, 1.6]) {
      for (const changes of [{}, BACK_LATE]) {
        const { sent } = simulate({ ...sceneOf(demand, seed), ...changes });
        expect(maxUnitsInWindow(sent), `demand ${demand}`).to.be.at.most(UNITS_ALLOWED);
      }
    }
  }
});
