import { expect } from 'chai';
import { Mutation } from 'reedlug-decisions';
import { BENIGN_FAULTS, generatePlan } from '../check/checkPlan.js';
import { ALL_FAULTS, runCheck } from '../check/runCheck.js';
import { runPlan } from '../check/runSeed.js';

const MIN_EVENTS = 2000;

function check(params: { lastSeed: number; kinds?: typeof ALL_FAULTS; mutation?: Mutation }) {
  return runCheck({
    firstSeed: 1,
    lastSeed: params.lastSeed,
    minEvents: MIN_EVENTS,
    kinds: params.kinds ?? ALL_FAULTS,
    mutations: new Set(params.mutation === undefined ? [] : [params.mutation]),
    stopAtFirst: true,
  });
}

test('every guarantee holds under all faults', () => {
  const summary = check({ lastSeed: 25 });
  expect(summary.violations.map(({ result }) => result.violation)).deep.equal([]);
  expect(Object.keys(summary.faultCounts).sort()).deep.equal([...ALL_FAULTS].sort());
  expect(summary.events).greaterThan(25 * MIN_EVENTS);
});

test('announced faults lose no accepted request', () => {
  const summary = check({ lastSeed: 30, kinds: BENIGN_FAULTS });
  expect(summary.violations.map(({ result }) => result.violation)).deep.equal([]);
});

for (const mutation of Object.values(Mutation)) {
  test(`the check catches ${mutation}`, () => {
    expect(check({ lastSeed: 200, mutation }).violations).length(1);
  });
}

test('a seed gives the same run each time', () => {
  const plan = generatePlan({ seed: 9, lengthMs: 8000, faultCount: 6, kinds: ALL_FAULTS });
  const first = runPlan(plan, new Set());
  const second = runPlan(plan, new Set());
  expect(second).deep.equal(first);
});
