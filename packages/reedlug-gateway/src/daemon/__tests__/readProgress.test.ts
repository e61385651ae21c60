import { expect } from 'chai';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createReadProgress, MAX_LATE_MS } from '../readProgress.js';

test('a thread that is on time waits for nothing', () => {
  const reads = createReadProgress(() => 0);
  let ran = 0;
  reads.afterReads(() => (ran += 1));
  expect(ran).to.equal(1);
  expect(reads.isBehind()).to.equal(false);
});

test('a thread that is late decides two turns later, and not again after that', async () => {
  let lateMs = MAX_LATE_MS + 1;
  const reads = createReadProgress(() => lateMs);
  const ran: string[] = [];
  reads.afterReads(() => ran.push('late'));
  lateMs = 0;
  reads.afterReads(() => ran.push('soon after'));
  await nextTurn();
  expect(ran).to.deep.equal([]);
  await nextTurn();
  expect(ran).to.deep.equal(['late', 'soon after']);
  reads.afterReads(() => ran.push('on time'));
  expect(ran).to.deep.equal(['late', 'soon after', 'on time']);
});

test('a late thread tells how late it was until what came meanwhile is read', async () => {
  let lateMs = 300;
  const reads = createReadProgress(() => lateMs);
  expect(reads.isBehind()).to.equal(true);
  lateMs = 0;
  expect(reads.lateMs()).to.equal(300);
  await nextTurn();
  await nextTurn();
  expect(reads.lateMs()).to.equal(0);
});

test('what is decided at the end of a turn need not wait once more', async () => {
  const reads = createReadProgress(() => MAX_LATE_MS + 1);
  const ran: string[] = [];
  reads.afterReads(() => {
    ran.push('request');
    reads.afterReads(() => ran.push('its send'));
  });
  await nextTurn();
  await nextTurn();
  expect(ran).to.deep.equal(['request', 'its send']);
});

test('a tick that measures no time to spare makes a thread that had some wait', () => {
  const reads = createReadProgress(() => 0);
  reads.recordLoad({ busyShare: 1, lateMs: 0 });
  expect(reads.isBehind(), 'never idle: the load may not be measured').to.equal(false);
  reads.recordLoad({ busyShare: 0.1, lateMs: 0 });
  reads.recordLoad({ busyShare: 1, lateMs: 0 });
  expect(reads.isBehind()).to.equal(true);
});

test('one that throws does not keep the others from their turn', async () => {
  const reads = createReadProgress(() => MAX_LATE_MS + 1);
  let ran = 0;
  let thrown = 0;
  const listeners = process.listeners('uncaughtException');
  process.removeAllListeners('uncaughtException');
  process.once('uncaughtException', () => (thrown += 1));
  reads.afterReads(() => {
    throw new Error('of a test');
  });
  reads.afterReads(() => (ran += 1));
  for (let turn = 0; turn < 4; turn += 1) await nextTurn();
  for (const listener of listeners) process.on('uncaughtException', listener);
  expect({ thrown, ran }).to.deep.equal({ thrown: 1, ran: 1 });
});
