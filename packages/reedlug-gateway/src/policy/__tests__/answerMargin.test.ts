import { expect } from 'chai';
import { createAnswerMargin, recordAnswerTime, recordMissingAnswer } from '../answerMargin.js';

test('a quick store is given a short margin, and a slow one enough to answer', () => {
  const margin = createAnswerMargin();
  for (let answers = 0; answers < 50; answers += 1) recordAnswerTime(margin, 4);
  expect(margin.marginMs).to.equal(150);
  for (let answers = 0; answers < 50; answers += 1) recordAnswerTime(margin, 280);
  expect(margin.marginMs).to.be.within(281, 500);
});

test('missing answers double the margin up to its maximum, so that a store that slowed down can be heard', () => {
  const margin = createAnswerMargin();
  for (let answers = 0; answers < 50; answers += 1) recordAnswerTime(margin, 4);
  recordMissingAnswer(margin);
  expect(margin.marginMs).to.equal(300);
  for (let calls = 0; calls < 5; calls += 1) recordMissingAnswer(margin);
  expect(margin.marginMs).to.equal(700);
});
