import { expect } from 'chai';
import { decideSend, type SendContext } from '../decideSend.js';

function decide(changes: Partial<SendContext> = {}) {
  return decideSend({
    expectedMs: 500,
    running: 30,
    slots: 48,
    targetMs: 1200,
    leftMs: 8000,
    hasReturned: false,
    ...changes,
  });
}

test('a request with its first event in time is sent', () => {
  expect(decide()).to.deep.equal({ kind: 'send' });
  expect(decide({ expectedMs: 1200 })).to.deep.equal({ kind: 'send' });
});

test('a request with a late first event is refused, with the time after which it would be in time', () => {
  expect(decide({ expectedMs: 3000 })).to.deep.equal({ kind: 'refuse', retryAfterMs: 1800 });
});

test('nothing is refused while half of the slots are free', () => {
  expect(decide({ expectedMs: 30_000, running: 23 })).to.deep.equal({ kind: 'send' });
});

test('a retry is sent as long as half of its remaining time suffices', () => {
  const returned = { hasReturned: true, leftMs: 5000 };
  expect(decide({ ...returned, expectedMs: 2400 })).to.deep.equal({ kind: 'send' });
  expect(decide({ ...returned, expectedMs: 2600 }).kind).to.equal('refuse');
});

test('the retry time is neither too short nor longer than a caller waits', () => {
  const retryAfter = (expectedMs: number): number => {
    const decision = decide({ expectedMs });
    return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
  };
  expect(retryAfter(1300)).to.equal(500);
  expect(retryAfter(60_000)).to.equal(5000);
  expect(Number.isFinite(retryAfter(Number.POSITIVE_INFINITY))).to.equal(true);
});

test('an expected time that is NaN refuses nothing', () => {
  expect(decide({ expectedMs: Number.NaN }).kind).to.equal('send');
});
