import { expect } from 'chai';
import { Outcome, outcomeWhenGivenUp, Reach } from '../outcome.js';

test('nothing sent is notRun', () => {
  expect(outcomeWhenGivenUp({ reaches: [], repeatable: false })).equal(Outcome.notRun);
});

test('refused everywhere is notRun', () => {
  const reaches = [Reach.refused, Reach.none];
  expect(outcomeWhenGivenUp({ reaches, repeatable: false })).equal(Outcome.notRun);
});

test('maybe reached and not repeatable is unknown', () => {
  const reaches = [Reach.refused, Reach.maybe];
  expect(outcomeWhenGivenUp({ reaches, repeatable: false })).equal(Outcome.unknown);
});

test('a moved run is never notRun', () => {
  expect(outcomeWhenGivenUp({ reaches: [Reach.moved], repeatable: true })).equal(Outcome.failed);
});
