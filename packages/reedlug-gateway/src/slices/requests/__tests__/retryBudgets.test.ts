/**
 * Guards against a retry budget that is renewed by losses of all boxes.
 *
 * The bound covers all boxes and any window. If each restarted box starts with half of its share, whatever
 * its earlier incarnation used, then after two losses within a window, with servers failing, eight boxes
 * make 72 further sends where 50 are allowed.
 */
import { expect } from 'chai';
import { createFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { settings } from '../../../__tests__/__fixtures__/box.js';
import { countFirstSend, takeRepeat } from '../retryBudgets.js';

const BOXES = 8;

test('two losses of all boxes within a window do not exceed the retry budget', () => {
  const fleet = createFleet({ boxes: BOXES, zones: ['zone-a', 'zone-b'] });
  let taken = 0;
  const takeAll = (): void => {
    for (const { state } of fleet.boxes.values()) while (takeRepeat(state, 'engines')) taken += 1;
  };
  fleet.pass(500);
  // Requests before the window have filled the budgets; within it there are almost none.
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
