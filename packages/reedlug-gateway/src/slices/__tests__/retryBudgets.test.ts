/**
 * Losses of all boxes do not renew the retry budget.
 *
 * The bound is over all boxes and any window, whoever lives when. A box's next life began
 * with half of its part whatever the earlier one had used, so that after two losses within
 * a window, with servers failing, eight boxes made 72 further sends where 50 are allowed.
 */
import { expect } from 'chai';
import { createFleet } from '../../__tests__/__fixtures__/fleet.js';
import { settings } from '../../__tests__/__fixtures__/box.js';
import { countFirstSend, takeRepeat } from '../retryBudgets.js';

const BOXES = 8;

test('two losses of all boxes within a window leave the retry budget whole', () => {
  const fleet = createFleet({ boxes: BOXES, zones: ['zone-a', 'zone-b'] });
  let taken = 0;
  const takeAll = (): void => {
    for (const { state } of fleet.boxes.values()) while (takeRepeat(state, 'engines')) taken += 1;
  };
  fleet.pass(500);
  // Requests of long ago have filled the budgets; in the window there are next to none.
  for (const { state } of fleet.boxes.values()) {
    for (let sent = 0; sent < 100; sent += 1) countFirstSend(state, 'engines');
  }
  takeAll();
  for (let loss = 0; loss < 2; loss += 1) {
    for (const boxId of [...fleet.boxes.keys()]) fleet.restart(boxId);
    fleet.pass(500);
    takeAll();
  }
  expect(taken).to.be.at.most(settings().bounds.retrySlack);
});
