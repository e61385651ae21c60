import { expect } from 'chai';
import {
  isHeldTooLong,
  DEFAULT_HELD_MS,
  STANDING_HELD_MS,
  servableHeld,
  type HeldQueue,
} from '../heldRequests.js';

test('held requests are served newest first, once the ends of their connections would have been read', () => {
  const held = [
    { name: 'old', readAtMs: 900, readAtTurn: 3, deadlineMs: undefined },
    { name: 'newer', readAtMs: 960, readAtTurn: 8, deadlineMs: undefined },
    { name: 'end not read', readAtMs: 990, readAtTurn: 9, deadlineMs: undefined },
  ];
  expect(servableHeld(held, 10).map(({ name }) => name)).to.deep.equal(['newer', 'old']);
});

const isRefused = (heldMs: number, queue: Partial<HeldQueue>, deadlineMs?: number): boolean => {
  const now = { nowMs: 1000, turnMs: 20, heldSinceMs: 900, refusedAtMs: Number.NEGATIVE_INFINITY };
  const request = { readAtMs: now.nowMs - heldMs, readAtTurn: 1, deadlineMs };
  return isHeldTooLong(request, { ...now, ...queue });
};

test('a request is refused that would be held for too long by the next turn', () => {
  expect(isRefused(DEFAULT_HELD_MS - 20, {})).to.equal(false);
  expect(isRefused(DEFAULT_HELD_MS - 19, {})).to.equal(true);
});

test('a request in a queue that has been standing is refused sooner', () => {
  const heldMs = STANDING_HELD_MS - 19;
  expect(isRefused(heldMs, { heldSinceMs: 1000 - DEFAULT_HELD_MS })).to.equal(false);
  expect(isRefused(heldMs, { heldSinceMs: 999 - DEFAULT_HELD_MS })).to.equal(true);
  expect(isRefused(heldMs, { refusedAtMs: 900 }), 'refusing empties the queue').to.equal(true);
});

test('a request is held for a quarter of the time that its caller states, 0.1 to 1 s', () => {
  const standing = { heldSinceMs: 0, refusedAtMs: 900 };
  const boundMs = (deadlineMs: number): number => {
    let heldMs = 0;
    while (!isRefused(heldMs, standing, deadlineMs)) heldMs += 1;
    return heldMs + 19;
  };
  expect([100, 600, 2000, 15_000].map(boundMs)).to.deep.equal([100, 150, 500, 1000]);
});
