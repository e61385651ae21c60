/**
 * Guards against retry budgets of boxes that do not know yet how many they are, or that they ran before.
 *
 * After a loss of all boxes each of them may serve requests before it has read the list of boxes. If it counts as
 * the only one until then, eight boxes repeat 160 sends where 50 are allowed. The same holds for boxes that end again
 * and again before the list states that they hold a share of the limits.
 */
import { expect } from 'chai';
import { createBox, settings, type TestBox } from '../../../__tests__/__fixtures__/box.js';
import type { PeerChange } from '../../../types/event.js';
import { countFirstSend, takeRepeat } from '../retryBudgets.js';

const BOXES = 8;

/** Lists the boxes as the store does, all without a share; a new box has no entry at first. */
function list(box: TestBox, { isNew }: { isNew: boolean }): void {
  const entries = Array.from({ length: BOXES }, (_, index): PeerChange => {
    const host = `127.0.0.${index + 1}`;
    const boxId = `box-${index + 1}`;
    const address = { boxId, host, port: 7000, zone: 'zone-a', processorCores: 1 };
    return { boxId, address, holdsPart: false, revision: 1 };
  });
  const others = entries.filter(({ boxId }) => boxId !== box.state.settings.box.id);
  if (isNew) box.take({ type: 'peersListed', changes: others, whole: true, revision: 1 });
  box.take({ type: 'peersListed', changes: entries, whole: true, revision: 2 });
}

function takeAll({ state }: TestBox): number {
  let taken = 0;
  while (takeRepeat(state, 'engines')) taken += 1;
  return taken;
}

test('boxes that have not read the list of boxes do not exceed the retry budget together', () => {
  const box = createBox();
  let taken = takeAll(box);
  list(box, { isNew: false });
  taken += takeAll(box);
  expect(taken * BOXES).to.be.at.most(settings().bounds.retrySlack);
});

test('boxes that end again and again before they hold a share do not exceed the retry budget', () => {
  let taken = 0;
  for (let life = 0; life < 4; life += 1) {
    const box = createBox();
    list(box, { isNew: life === 0 });
    taken += takeAll(box);
  }
  expect(taken * BOXES).to.be.at.most(settings().bounds.retrySlack);
});

test('a box that has not read the list of boxes repeats sends by the ratio of its requests', () => {
  const box = createBox();
  for (let sent = 0; sent < 20; sent += 1) countFirstSend(box.state, 'engines');
  expect(takeAll(box)).to.equal(1);
});
