import { expect } from 'chai';
import fc from 'fast-check';
import { nextRetryAtMs, type AssignedTimes } from '../retrySchedule.js';

/** Gives times to callers of some urgencies in turn. */
function giveTimes(urgencies: readonly number[]): { urgency: number; atMs: number }[] {
  const assigned: AssignedTimes = new Map();
  return urgencies.map((urgency) => {
    const atMs = nextRetryAtMs(assigned, { urgency, earliestAtMs: 1000, intervalMs: 50 });
    assigned.set(urgency, atMs);
    return { urgency, atMs };
  });
}

test('no caller gets the time of another one of the same urgency', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: 9 }), { maxLength: 40 }), (urgencies) => {
      const given = giveTimes(urgencies);
      for (const urgency of new Set(urgencies)) {
        const times = given.filter((one) => one.urgency === urgency).map(({ atMs }) => atMs);
        for (const [index, atMs] of times.entries()) {
          if (index > 0) expect(atMs - (times[index - 1] ?? 0)).to.be.at.least(50);
        }
      }
    }),
  );
});

test('a less urgent caller comes after the more urgent ones that were refused before it', () => {
  const [first, second, third] = giveTimes([0, 2, 0]);
  expect([first?.atMs, second?.atMs, third?.atMs]).to.deep.equal([1000, 1050, 1050]);
});
