import { expect } from 'chai';
import {
  createSizeDemand,
  NO_RESERVED_ROOM,
  recordSizeDemand,
  reservedRoom,
} from '../sizeDemand.js';

const speeds = Array.from({ length: 78 }, (_, index) => (index % 3 === 0 ? 1.7 : 0.7));

test('no room is reserved without large requests, or where servers do not differ', () => {
  const demand = createSizeDemand();
  recordSizeDemand(demand, { tokens: 900, neededSpeed: undefined }, 0);
  expect(reservedRoom(demand, speeds)).to.deep.equal(NO_RESERVED_ROOM);
  recordSizeDemand(demand, { tokens: 50_000, neededSpeed: 1.1 }, 0);
  expect(reservedRoom(demand, [1, 1, 1])).to.deep.equal(NO_RESERVED_ROOM);
});

test('the charge grows with the share of the fast servers that large requests need', () => {
  const chargeFor = (largeTokens: number): number => {
    const demand = createSizeDemand();
    recordSizeDemand(demand, { tokens: 100_000 - largeTokens, neededSpeed: undefined }, 0);
    recordSizeDemand(demand, { tokens: largeTokens, neededSpeed: 1.1 }, 0);
    const { fromSpeed, chargeShare } = reservedRoom(demand, speeds);
    expect(fromSpeed).to.be.closeTo(1.1, 1e-9);
    return chargeShare;
  };
  expect(chargeFor(10_000)).to.be.closeTo(2 * chargeFor(5000), 1e-9);
  expect(chargeFor(90_000)).to.equal(0.25);
});

test('large requests of the past lose their weight', () => {
  const demand = createSizeDemand();
  recordSizeDemand(demand, { tokens: 50_000, neededSpeed: 1.1 }, 0);
  const before = reservedRoom(demand, speeds).chargeShare;
  recordSizeDemand(demand, { tokens: 50_000, neededSpeed: undefined }, 120_000);
  expect(reservedRoom(demand, speeds).chargeShare).to.be.lessThan(before / 4);
});
