import { expect } from 'chai';
import { acceptEnd, acceptTokens, createAttemptLedger, startAttempt } from '../attemptLedger.js';

test('tokens of an older attempt are dropped', () => {
  const ledger = createAttemptLedger();
  startAttempt(ledger, 'a');
  startAttempt(ledger, 'b');
  const result = acceptTokens(ledger, { attemptId: 'a', offset: 0, tokens: ['x'] });
  expect(result).deep.equal({ kind: 'dropped', reason: 'olderAttempt' });
  expect(ledger.tokens).deep.equal([]);
});

test('duplicate tokens are accepted once', () => {
  const ledger = createAttemptLedger();
  startAttempt(ledger, 'a');
  acceptTokens(ledger, { attemptId: 'a', offset: 0, tokens: ['x', 'y'] });
  const result = acceptTokens(ledger, { attemptId: 'a', offset: 1, tokens: ['y', 'z'] });
  expect(result).deep.equal({ kind: 'accepted', offset: 2, tokens: ['z'] });
  expect(ledger.tokens).deep.equal(['x', 'y', 'z']);
});

test('a batch after a gap is not accepted', () => {
  const ledger = createAttemptLedger();
  startAttempt(ledger, 'a');
  const result = acceptTokens(ledger, { attemptId: 'a', offset: 2, tokens: ['z'] });
  expect(result).deep.equal({ kind: 'gap', expectedOffset: 0 });
});

test('an end marker with tokens missing is a gap', () => {
  const ledger = createAttemptLedger();
  startAttempt(ledger, 'a');
  acceptTokens(ledger, { attemptId: 'a', offset: 0, tokens: ['x'] });
  expect(acceptEnd(ledger, { attemptId: 'a', totalTokens: 2 }).kind).equal('gap');
  expect(ledger.whole).equal(false);
});
