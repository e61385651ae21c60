import { expect } from 'chai';
import { hasOwnPlace, hasSparePlace, partOf, type PlaceView } from '../serverPlaces.js';

test('the parts of all boxes sum to the number of places, also of few', () => {
  for (const [units, boxes] of [
    [6, 4],
    [6, 8],
    [128, 7],
    [0, 3],
  ] as const) {
    const parts = Array.from({ length: boxes }, (_, rank) => partOf(units, { rank, boxes }));
    expect(parts.reduce((sum, part) => sum + part, 0)).to.equal(units);
    expect(Math.max(...parts) - Math.min(...parts)).to.be.at.most(1);
  }
});

const VIEW: PlaceView = {
  places: 6,
  ownPlaces: 2,
  ownRunning: 0,
  riskedRejections: 1,
  recentRejections: 0,
  openSpareSends: 0,
  hasRejected: false,
};

test('a box uses its own places without regard to the others', () => {
  expect(hasOwnPlace({ ...VIEW, ownRunning: 1 })).to.equal(true);
  expect(hasOwnPlace({ ...VIEW, ownRunning: 2 })).to.equal(false);
});

test('a box that may risk no rejection waits after one', () => {
  expect(hasOwnPlace({ ...VIEW, hasRejected: true })).to.equal(true);
  expect(hasOwnPlace({ ...VIEW, hasRejected: true, riskedRejections: 0 })).to.equal(false);
  expect(hasOwnPlace({ ...VIEW, recentRejections: 2 })).to.equal(false);
});

test('free places of others are used within the rejections that the box may risk', () => {
  expect(hasSparePlace(VIEW, 3)).to.equal(true);
  expect(hasSparePlace(VIEW, 6)).to.equal(false);
  expect(hasSparePlace({ ...VIEW, openSpareSends: 1 }, 3)).to.equal(false);
  expect(hasSparePlace({ ...VIEW, recentRejections: 1 }, 3)).to.equal(false);
  expect(hasSparePlace({ ...VIEW, hasRejected: true }, 3)).to.equal(false);
});
