import { expect } from 'chai';
import fc from 'fast-check';
import {
  createReservation,
  findReservation,
  isSameReservation,
  MAX_RESERVED_SHARE,
  precedes,
  unitsReservedBefore,
  withheldUnits,
  type UnitReservation,
} from '../unitPrecedence.js';

const NOW_MS = 10_000;

const reservationArbitrary: fc.Arbitrary<UnitReservation> = fc.record({
  workspace: fc.constantFrom('tiger', 'otter'),
  urgency: fc.nat(9),
  units: fc.integer({ min: 1, max: 70_000 }),
  reservedAtMs: fc.integer({ min: 0, max: NOW_MS }),
  dueAtMs: fc.integer({ min: 0, max: 2 * NOW_MS }),
  untilMs: fc.integer({ min: 0, max: 2 * NOW_MS }),
});
const claimArbitrary = fc.record({ urgency: fc.nat(9), heldSinceMs: fc.nat(NOW_MS) });

function reservation(changes: Partial<UnitReservation> = {}): UnitReservation {
  const times = { reservedAtMs: 9000, dueAtMs: 10_500, untilMs: 10_800 };
  return { workspace: 'tiger', urgency: 3, units: 5000, ...times, ...changes };
}

// Guards against a limit that is exceeded because of what a box believes to be reserved.
test('withheld units are never negative and at most half of the spare ones, whatever is reserved', () => {
  const params = fc.record({
    reservedUnits: fc.double({ min: 0, max: 1e9, noNaN: true }),
    divisor: fc.double({ min: 0.01, max: 300, noNaN: true }),
    spare: fc.double({ min: -1e6, max: 1e6, noNaN: true }),
  });
  fc.assert(
    fc.property(params, ({ reservedUnits, divisor, spare }) => {
      const withheld = withheldUnits({ reservedUnits, divisor, spare });
      expect(withheld).to.be.within(0, Math.max(0, spare) / 2);
      expect(withheld).to.be.at.most(reservedUnits / divisor);
    }),
  );
});

// Guards against two boxes that each let the other's request go first.
test('of two reservations at most one precedes the other, and a more urgent one always does', () => {
  fc.assert(
    fc.property(reservationArbitrary, reservationArbitrary, (a, b) => {
      const claimOf = ({ urgency, reservedAtMs }: UnitReservation) => {
        return { urgency, heldSinceMs: reservedAtMs };
      };
      expect(precedes(a, claimOf(b)) && precedes(b, claimOf(a))).to.equal(false);
      if (a.urgency < b.urgency) expect(precedes(a, claimOf(b))).to.equal(true);
      expect(precedes(a, claimOf(a))).to.equal(false);
    }),
  );
});

// Guards against reservations that withhold units of callers who are long gone.
test('expired reservations and those of other workspaces count for nothing', () => {
  const list = fc.array(reservationArbitrary, { maxLength: 20 });
  fc.assert(
    fc.property(list, claimArbitrary, (reservations, claim) => {
      const counted = reservations.filter(({ workspace, untilMs }) => {
        return workspace === 'tiger' && untilMs >= NOW_MS;
      });
      const params = { workspace: 'tiger', claim, nowMs: NOW_MS };
      const units = unitsReservedBefore(reservations, params);
      expect(units).to.equal(unitsReservedBefore(counted, params));
      expect(units).to.be.at.most(counted.reduce((sum, other) => sum + other.units, 0));
      const later = { ...params, nowMs: 3 * NOW_MS };
      expect(unitsReservedBefore(reservations, later)).to.equal(0);
    }),
  );
});

// Guards against reservations that take up a limit: one box may add one only within the bound.
test('reservations stay within their share of the window, and only callers that return get one', () => {
  const params = fc.record({
    claim: claimArbitrary,
    units: fc.integer({ min: -5, max: 70_000 }),
    retryAfterMs: fc.nat(9000),
    remainingMs: fc.integer({ min: -100, max: 20_000 }),
    reservedUnits: fc.nat(200_000),
    windowUnits: fc.nat(400_000),
  });
  fc.assert(
    fc.property(params, (given) => {
      const made = createReservation({ ...given, workspace: 'tiger', nowMs: NOW_MS });
      if (made === undefined) return;
      const { windowUnits, reservedUnits, units } = given;
      expect(units).to.be.greaterThan(0);
      expect(reservedUnits + units).to.be.at.most(windowUnits * MAX_RESERVED_SHARE);
      expect(given.retryAfterMs).to.be.at.most(given.remainingMs / 3);
      expect(made.dueAtMs).to.equal(NOW_MS + given.retryAfterMs);
      expect(made.untilMs - made.dueAtMs).to.be.within(1, 1000);
      expect(made.reservedAtMs).to.be.at.most(NOW_MS);
    }),
  );
});

// Guards against callers that gain precedence by a return before their time.
test('a reservation is found for a request of about the same units, and only once it is due', () => {
  const list = [reservation({ reservedAtMs: 9500 }), reservation()];
  const sought = { workspace: 'tiger', urgency: 3, units: 5050, nowMs: 10_500, isDue: true };
  expect(findReservation(list, sought)).to.equal(list[1]);
  expect(findReservation(list, { ...sought, nowMs: 10_400 })).to.equal(undefined);
  expect(findReservation(list, { ...sought, nowMs: 10_400, isDue: false })).to.equal(list[1]);
  expect(findReservation(list, { ...sought, nowMs: 10_900 })).to.equal(undefined);
  for (const other of [{ urgency: 2 }, { units: 6000 }, { workspace: 'otter' }]) {
    expect(findReservation(list, { ...sought, ...other })).to.equal(undefined);
  }
});

// Guards against a request that waits behind the copy of its own reservation at another box.
test('a reservation learned through other boxes some ms later is the same one', () => {
  const copy = reservation({ reservedAtMs: 9040, dueAtMs: 10_540 });
  expect(isSameReservation(reservation(), copy)).to.equal(true);
  expect(precedes(copy, { urgency: 3, heldSinceMs: 9000 })).to.equal(false);
  expect(precedes(reservation(), { urgency: 3, heldSinceMs: 9040 })).to.equal(false);
  expect(isSameReservation(reservation(), reservation({ units: 5001 }))).to.equal(false);
});
