import { expect } from 'chai';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { PROCESS_CLOCK } from '../clock.js';
import { startTimeLimit } from '../timeLimit.js';

/** Time for which the thread stands still, in ms, and a limit that passes meanwhile. */
const STILL_MS = 300;
const LIMIT_MS = 100;

function standStill(): void {
  const endMs = performance.now() + STILL_MS;
  while (performance.now() < endMs);
}

/** Connects to a port that accepts and ends the connection, while the thread stands still; resolves in the order of events. */
async function eventsWhileStill(
  startLimit: (onPassed: () => void) => void,
): Promise<readonly string[]> {
  const events: string[] = [];
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('data', () => events.push('answer'));
  socket.on('end', () => events.push('end'));
  const peer = await accepted;
  startLimit(() => events.push('limit'));
  peer.end('answer');
  standStill();
  await delay(STILL_MS);
  await delay(50);
  server.close();
  return events;
}

test('a limit that passes while the thread stands still passes after the answer and its end', async () => {
  const events = await eventsWhileStill((onPassed) => startTimeLimit(LIMIT_MS, onPassed));
  expect(events).to.deep.equal(['answer', 'end', 'limit']);
});

test('a pause that ends while the thread stands still ends after the answer and its end', async () => {
  const events = await eventsWhileStill(
    (onPassed) => void PROCESS_CLOCK.pause(LIMIT_MS).then(onPassed),
  );
  expect(events).to.deep.equal(['answer', 'end', 'limit']);
});

test('a limit that is cancelled or started anew does not pass', async () => {
  let passed = 0;
  const cancelled = startTimeLimit(LIMIT_MS, () => (passed += 1));
  const restarted = startTimeLimit(1000, () => (passed += 1));
  cancelled.cancel();
  await delay(600);
  restarted.restart();
  await delay(600);
  expect(passed).to.equal(0);
  await delay(800);
  expect(passed).to.equal(1);
});
