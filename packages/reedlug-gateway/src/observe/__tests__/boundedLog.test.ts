import { expect } from 'chai';
import { createBoundedLog } from '../boundedLog.js';
import type { LogValue } from '../logger.js';

interface Written {
  event: string;
  fields: Readonly<Record<string, LogValue>>;
}

function createTestLog(clock: { nowMs: number; full: boolean }) {
  const written: Written[] = [];
  let dropped = 0;
  const log = createBoundedLog({
    logger: (event, fields) => written.push({ event, fields }),
    isFull: () => clock.full,
    nowMs: () => clock.nowMs,
    onDropped: () => {
      dropped += 1;
    },
  });
  return { log, written, dropped: () => dropped };
}

test('excess lines of one kind are dropped, counted, and reported in the next second', () => {
  const clock = { nowMs: 0, full: false };
  const { log, written, dropped } = createTestLog(clock);
  for (let index = 0; index < 1000; index += 1) log('requestRefused', {});
  log('serverGone', {});
  expect(written.filter(({ event }) => event === 'requestRefused')).to.have.length(100);
  expect(written.at(-1)?.event).to.equal('serverGone');
  expect(dropped()).to.equal(900);
  clock.nowMs = 1001;
  log('serverAdded', {});
  const told = written.find(({ event }) => event === 'linesLeftOut');
  expect(told?.fields).to.deep.equal({ requestRefused: 900 });
});

test('a full output drops lines without blocking', () => {
  const clock = { nowMs: 0, full: true };
  const { log, written, dropped } = createTestLog(clock);
  log('requestSent', {});
  expect(written).to.have.length(0);
  expect(dropped()).to.equal(1);
  clock.full = false;
  clock.nowMs = 2000;
  log('requestSent', {});
  expect(written.map(({ event }) => event)).to.deep.equal(['linesLeftOut', 'requestSent']);
});
