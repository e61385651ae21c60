import { expect } from 'chai';
import { Outcome, outcomeWhenGivenUp, Reach } from '../outcome.js';

test('a request without attempts is notRun', () => {
  expect(outcomeWhenGivenUp({ reaches: [], repeatable: false })).equal(Outcome.notRun);
});

test('a request that no server ran is notRun', () => {
  const reaches = [Reach.refused, Reach.none];
  expect(outcomeWhenGivenUp({ reaches, repeatable: false })).equal(Outcome.notRun);
});

test('a request that may have run and is not repeatable is unknown', () => {
  const reaches = [Reach.refused, Reach.maybe];
  expect(outcomeWhenGivenUp({ reaches, repeatable: false })).equal(Outcome.unknown);
});

test('a moved run is never notRun', () => {
  expect(outcomeWhenGivenUp({ reaches: [Reach.moved], repeatable: true })).equal(Outcome.failed);
});
