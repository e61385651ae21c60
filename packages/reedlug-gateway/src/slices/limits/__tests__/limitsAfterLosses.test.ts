/** Tests that the loss of boxes neither renews a limit nor refuses a workspace within it for long. */
import { expect } from 'chai';
import { boundOf, simulate, steadyDemand, type Fault } from './__fixtures__/limitScene.js';
import { maxUnitsInWindow as maxInWindow } from './__fixtures__/unitsInWindow.js';

test('a workspace that uses up its limit right before a loss of all boxes does not get it twice', () => {
  // A fifth of the rate until 5 s, then five times the rate; all boxes are down from 7.5 to 8.5 s.
  const demand = Array.from({ length: 22 }, (_, second) => (second < 5 ? 0.2 : 5));
  const troubles: Fault[] = [{ kind: 'restartAll', atMs: 7500, forMs: 1000 }];
  for (const boxes of [3, 7, 12]) {
    const { admitted } = simulate({ ...steadyDemand(1), boxes, demand, troubles });
    expect(maxInWindow(admitted), `${boxes} boxes`).to.be.at.most(boundOf());
  }
});

test('a loss of all boxes but one does not renew a limit', () => {
  const demand = Array<number>(22).fill(5);
  for (const boxes of [4, 7, 12]) {
    const troubles = Array.from({ length: boxes - 1 }, (_, index): Fault => {
      return { kind: 'restart', box: index + 1, atMs: 9000 };
    });
    const { admitted } = simulate({ ...steadyDemand(1), boxes, demand, troubles });
    expect(maxInWindow(admitted), `${boxes} boxes`).to.be.at.most(boundOf());
  }
});

test('two losses of all boxes in a row do not renew a limit', () => {
  const demand = Array<number>(22).fill(5);
  const troubles: Fault[] = [
    { kind: 'restartAll', atMs: 9000, forMs: 800 },
    { kind: 'restartAll', atMs: 13_000, forMs: 800 },
  ];
  for (const boxes of [3, 6, 12]) {
    const { admitted } = simulate({ ...steadyDemand(1), boxes, demand, troubles });
    expect(maxInWindow(admitted), `${boxes} boxes`).to.be.at.most(boundOf());
  }
});

// It is unknown what the boxes sent before they were lost. It may have been the whole burst, so their
// next incarnations start with the steady flow alone.
test('after a loss of all boxes a workspace within its limit is soon served without refusals', () => {
  const troubles: Fault[] = [{ kind: 'restartAll', atMs: 10_000, forMs: 1000 }];
  const { refusedUnits, lastRefusedAtMs, askedUnits } = simulate({
    ...steadyDemand(0.55),
    troubles,
  });
  expect(refusedUnits / askedUnits).to.be.lessThan(0.1);
  expect(lastRefusedAtMs).to.be.lessThan(14_000);
});

test('a restart of one box causes no refusal of a workspace within its limit', () => {
  const troubles: Fault[] = [{ kind: 'restart', box: 3, atMs: 10_000 }];
  expect(simulate({ ...steadyDemand(0.55), troubles }).refusedUnits).to.equal(0);
});
