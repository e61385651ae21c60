import { expect } from 'chai';
import { isHeldTooLong, MAX_HELD_MS, servableHeld } from '../heldRequests.js';

const TURN = { nowMs: 1000, turnMs: 20 };

test('held requests are served newest first, once the ends of their connections would have been read', () => {
  const held = [
    { name: 'old', readAtMs: 900, readAtTurn: 3 },
    { name: 'newer', readAtMs: 960, readAtTurn: 8 },
    { name: 'end not read', readAtMs: 990, readAtTurn: 9 },
  ];
  expect(servableHeld(held, 10).map(({ name }) => name)).to.deep.equal(['newer', 'old']);
});

test('a request that would be held for too long by the next turn is refused now', () => {
  const readAtMs = TURN.nowMs - MAX_HELD_MS + TURN.turnMs;
  expect(isHeldTooLong({ readAtMs, readAtTurn: 1 }, TURN)).to.equal(false);
  expect(isHeldTooLong({ readAtMs: readAtMs - 1, readAtTurn: 1 }, TURN)).to.equal(true);
});
