import { Writable } from 'node:stream';
import { expect } from 'chai';
import { createBoundedLog, streamSink } from '../boundedLog.js';
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

test('lines are left out, and nothing throws, once the reader of the log is gone', async () => {
  let calls = 0;
  const gone = new Writable({
    autoDestroy: false,
    write(_chunk, _encoding, done) {
      calls += 1;
      done(new Error('EPIPE'));
    },
  });
  const sink = streamSink(gone, 1000);
  let dropped = 0;
  const log = createBoundedLog({
    logger: (event) => sink.write(event),
    isFull: sink.isFull,
    nowMs: () => 0,
    onDropped: () => void (dropped += 1),
  });
  log('first', {});
  await new Promise((resolve) => setImmediate(resolve));
  for (let line = 0; line < 30; line += 1) log('later', {});
  expect({ calls, dropped }).to.deep.equal({ calls: 1, dropped: 30 });
});
