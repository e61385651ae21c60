/** Guards against new requests that use the last units of a limit before streams that their callers take up. */
import { expect } from 'chai';
import {
  begunFirst,
  unitsForBegun,
  unitsWithheldFrom,
  type NeededUnits,
} from '../unitsForBegun.js';

function needed(units: number, hasBegun: boolean, workspace = 'tiger'): NeededUnits {
  return { workspace, units, hasBegun };
}

test('units are withheld for begun streams of the workspace alone', () => {
  const waiting = [needed(300, true), needed(200, false), needed(100, true, 'lion')];
  expect(unitsForBegun(waiting, 'tiger')).to.equal(300);
  expect(unitsForBegun(waiting, 'bear')).to.equal(0);
});

test('a new request leaves to begun streams what they wait for, or what is kept for them', () => {
  const waiting = [needed(300, true)];
  expect(unitsWithheldFrom(needed(100, false), { waiting, keptUnits: 0 })).to.equal(300);
  expect(unitsWithheldFrom(needed(100, false), { waiting, keptUnits: 500 })).to.equal(500);
  expect(unitsWithheldFrom(needed(100, false), { waiting: [], keptUnits: 500 })).to.equal(500);
});

test('a begun stream withholds nothing from another one, and a new request nothing from anyone', () => {
  const begun = { waiting: [needed(300, true)], keptUnits: 500 };
  expect(unitsWithheldFrom(needed(100, true), begun)).to.equal(0);
  const newOnes = { waiting: [needed(300, false)], keptUnits: 0 };
  expect(unitsWithheldFrom(needed(100, false), newOnes)).to.equal(0);
});

test('begun streams go first, and otherwise requests as they came', () => {
  const items = ['new-1', 'begun-1', 'new-2', 'begun-2'];
  const order = begunFirst(items, (item) => item.startsWith('begun'));
  expect(order).to.deep.equal(['begun-1', 'begun-2', 'new-1', 'new-2']);
});
