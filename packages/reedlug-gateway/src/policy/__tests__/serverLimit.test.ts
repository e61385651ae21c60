import { expect } from 'chai';
import fc from 'fast-check';
import type { LimitedSends, LimitObservation } from '../../types/serverStatement.js';
import {
  isNewerLimit,
  currentLimit,
  nextSendAtMs,
  recordLimitedSend,
  senderCount,
} from '../serverLimit.js';

/** Returns the times at which a box sends if it tries every 20 ms. */
function sendAll(
  shareAt: (nowMs: number) => number,
  forMs: number,
  replacedAnotherBox: boolean,
): readonly number[] {
  const sends: LimitedSends = {
    atMs: [],
    sharingSinceMs: 0,
    replacedAnotherBox,
  };
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < forMs; nowMs += 20) {
    if (nextSendAtMs(sends, shareAt(nowMs), nowMs) > nowMs) continue;
    recordLimitedSend(sends, nowMs);
    sentAtMs.push(nowMs);
  }
  return sentAtMs;
}

function maxInWindow(atMs: readonly number[], lengthMs: number): number {
  return Math.max(
    0,
    ...atMs.map(
      (endMs) => atMs.filter((sentMs) => sentMs <= endMs && sentMs > endMs - lengthMs).length,
    ),
  );
}

test('a box keeps to its share over each four seconds, and uses it', () => {
  for (const share of [0.1, 0.4, 1, 1.2, 3, 8, 50]) {
    for (const replacedAnotherBox of [true, false]) {
      const sent = sendAll(() => share, 40_000, replacedAnotherBox);
      const label = `${share} per second`;
      expect(maxInWindow(sent, 4000), label).to.be.at.most(Math.ceil(share * 4) + 1);
      expect(sent.length, label).to.be.within(
        share * 40 - share * 4 - 1,
        share * 40 + 4 * share + 1,
      );
    }
  }
});

test('a box that replaces another one delays its first send', () => {
  const sent = sendAll(() => 2, 4000, true);
  expect(sent[0]).to.equal(500);
  expect(sent.length).to.be.at.most(8);
});

test('a box without a share never sends', () => {
  expect(sendAll(() => 0, 10_000, false)).to.deep.equal([]);
  const sends: LimitedSends = { atMs: [], sharingSinceMs: undefined, replacedAnotherBox: false };
  expect(nextSendAtMs(sends, 5, 1000)).to.equal(Number.POSITIVE_INFINITY);
});

test('each box that sends gets at least half a request per second', () => {
  expect([0, 0.4, 1, 1.9, 8, 50].map((limit) => senderCount(limit, 0))).to.deep.equal([
    1, 1, 2, 3, 16, 100,
  ]);
  expect(senderCount(1, 40_000)).to.equal(4);
});

test('a limit of zero leaves one send in ten seconds, which shows its end', () => {
  const observation = { perSecond: 0, lastPerSecond: 0, sentAtMs: 0, receivedAtMs: 0 };
  expect(currentLimit(observation, 1000)).to.equal(0.1);
});

test('after its end a limit rises until it no longer applies', () => {
  const observation = { perSecond: undefined, lastPerSecond: 2, sentAtMs: 0, receivedAtMs: 0 };
  expect(currentLimit(observation, 0)).to.equal(2);
  expect(currentLimit(observation, 1000)).to.equal(8);
  expect(currentLimit(observation, 3000)).to.equal(undefined);
});

const observation = fc
  .record({
    perSecond: fc.option(fc.constantFrom(0, 1, 8), { nil: undefined }),
    sentAtMs: fc.integer({ min: 0, max: 1000 }),
    tookMs: fc.integer({ min: 1, max: 300 }),
  })
  .map(({ perSecond, sentAtMs, tookMs }): LimitObservation => ({
    perSecond,
    sentAtMs,
    receivedAtMs: sentAtMs + tookMs,
  }));

test('of two observations the same one counts, whichever is received first', () => {
  fc.assert(
    fc.property(observation, observation, (one, other) => {
      fc.pre(one.perSecond !== other.perSecond);
      expect(isNewerLimit(one, other)).to.equal(!isNewerLimit(other, one));
    }),
  );
});

test('an answer that was in flight when the limit was set does not end it', () => {
  const named = { perSecond: 1, sentAtMs: 900, receivedAtMs: 1000 };
  const before = { perSecond: undefined, sentAtMs: 800, receivedAtMs: 1100 };
  expect(isNewerLimit(before, named)).to.equal(false);
  expect(isNewerLimit({ ...before, sentAtMs: 1001, receivedAtMs: 1100 }, named)).to.equal(true);
});
