import { expect } from 'chai';
import { summarizeLimitRefusals, limitRefusals } from '../limitRefusals.js';

const WINDOW_MS = 8000;

function line(second: number, event: string, fields: string): string {
  const time = new Date(second * 1000).toISOString();
  return `time=${time} event=${event} ${fields}`;
}

function refusal(second: number, box: string, units: number): string {
  const account = `units=${units} used=40 allowed=50 divisor=2`;
  return line(second, 'limitReached', `box=${box} workspace=tiger ${account}`);
}

function sent(second: number, box: string, units: number): string {
  return line(second, 'requestSent', `box=${box} workspace=tiger units=${units}`);
}

test('a refusal is within the limit if the units that all boxes had sent leave enough spare units', () => {
  const log = [
    sent(1, 'box-1', 30),
    sent(2, 'box-2', 40),
    refusal(3, 'box-1', 30),
    refusal(4, 'box-1', 31),
    // The first send has left the window.
    refusal(9.5, 'box-2', 60),
  ].join('\n');
  const refusals = limitRefusals(log, WINDOW_MS);
  expect(refusals.map(({ fleetUsed }) => fleetUsed)).to.deep.equal([70, 70, 40]);
  expect(summarizeLimitRefusals(refusals)).to.deep.equal([
    { workspace: 'tiger', refusals: 3, within: 2, withinAfterStart: 0, medianUsedShare: 0.7 },
  ]);
});

test('refusals right after the start of a box are counted separately, with lines in any order', () => {
  const log = [
    refusal(3, 'box-1', 10),
    line(1, 'partHeld', 'box=box-1 opening=earlierLife'),
    refusal(12, 'box-1', 10),
    refusal(3, 'box-2', 10),
  ].join('\n');
  const after = limitRefusals(log, WINDOW_MS).map(({ isAfterStart }) => isAfterStart);
  expect(after).to.deep.equal([true, false, false]);
});

test('refusals whose units were reserved are counted', () => {
  const fields = 'box=box-1 workspace=tiger units=10 used=40 allowed=50 divisor=2';
  const log = [
    line(3, 'limitReached', `request=r1 ${fields}`),
    line(3, 'unitsReserved', 'request=r1 workspace=tiger units=10 dueInMs=400'),
    line(4, 'limitReached', `request=r2 ${fields}`),
  ].join('\n');
  const [summary] = summarizeLimitRefusals(limitRefusals(log, WINDOW_MS));
  expect(summary?.refusals).to.equal(2);
  expect(summary?.reserved).to.equal(1);
});
