import { expect } from 'chai';
import {
  createServingBox,
  listBoxes,
  ofType,
  peerMessage,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { passAsHolder, takeLease } from '../../../__tests__/__fixtures__/lease.js';
import { createUsageWindow } from '../usage.js';
import type { GatewaySettings } from '../../../types/settings.js';

const WINDOW_MS = 5000;
const OTHER = {
  boxId: 'box-2',
  host: '127.0.0.2',
  port: 7000,
  zone: 'zone-b',
  processorCores: 1,
};

/** Creates a lease holder that lists one other box, at the start of window 2 of the agreed clock. */
function createHolder(bounds: Partial<GatewaySettings['bounds']> = {}): TestBox {
  const box = createServingBox(settings(bounds));
  listBoxes(box, [OTHER]);
  box.take({ type: 'peerMessage', message: peerMessage({ clockOffsetMs: 0 }) });
  box.take({ type: 'storeClock', storeNowMs: 0 });
  takeLease(box);
  passAsHolder(box, 2 * WINDOW_MS - box.nowMs);
  return box;
}

/** Receives counts of window 2 from the other box. */
function receive(box: TestBox, sequence: number, count: number, boxId = 'box-2'): void {
  const usage = { 2: { tiger: count } };
  box.take({ type: 'peerMessage', message: peerMessage({ boxId, sequence, usage }) });
}

/** Returns how long after the end of window 2 its row is written, and the counts in it. */
function awaitRow(box: TestBox, untilMs = 25_000): { afterMs: number; value: unknown } | undefined {
  while (box.nowMs < untilMs) {
    for (const { purpose, op } of ofType(passAsHolder(box, 50), 'requestTable')) {
      if (purpose.kind !== 'usage' || purpose.window !== 2 || op.kind !== 'transact') continue;
      return { afterMs: box.nowMs - 3 * WINDOW_MS, value: op.writes[0]?.value };
    }
  }
  return undefined;
}

test('a window is written only after a box that fell silent in it is heard again', () => {
  const box = createHolder();
  passAsHolder(box, 1000);
  receive(box, 2, 3);
  expect(awaitRow(box, 3 * WINDOW_MS + 2300)).to.equal(undefined);
  receive(box, 3, 7);
  expect(awaitRow(box)).to.deep.equal({ afterMs: 2350, value: { tiger: 7 } });
});

test('a window is written in time for its report while a box stays silent', () => {
  const box = createHolder();
  passAsHolder(box, 1000);
  receive(box, 2, 3);
  // 10 s less the time of the write, the announcement and the report, with retries.
  expect(awaitRow(box)).to.deep.equal({ afterMs: 6200, value: { tiger: 3 } });
});

test('a window is written without delay if its due time leaves no room', () => {
  const box = createHolder({ usageDueMs: 4000 });
  passAsHolder(box, 1000);
  receive(box, 2, 3);
  expect(awaitRow(box)?.afterMs).to.equal(1500);
});

test('a window is written without delay while all boxes are heard', () => {
  const box = createHolder();
  passAsHolder(box, 1000);
  receive(box, 2, 3);
  passAsHolder(box, 5000);
  receive(box, 3, 4);
  expect(awaitRow(box)).to.deep.equal({ afterMs: 1500, value: { tiger: 4 } });
});

test('a box that was silent in the whole window does not delay it', () => {
  const box = createHolder();
  box.state.usage.set(2, {
    ...createUsageWindow(2),
    byBox: new Map([['box-1/1', { tiger: 1 }]]),
  });
  expect(awaitRow(box)?.afterMs).to.equal(1500);
});

test('a box that is not listed does not delay a window', () => {
  const box = createHolder();
  passAsHolder(box, 1000);
  receive(box, 2, 3, 'box-3');
  expect(awaitRow(box)?.afterMs).to.equal(1500);
});

test('a later holder waits for a box whose counts of the window it knows from the checkpoint', () => {
  const box = createHolder();
  box.state.usage.clear();
  passAsHolder(box, 1000);
  receive(box, 2, 3);
  box.state.usageReceivedAtMs.clear();
  expect(awaitRow(box)?.afterMs).to.equal(6200);
});

test('a box that has just taken the lease waits for counts of boxes that it knows nothing of', () => {
  const box = createHolder();
  passAsHolder(box, WINDOW_MS + 1400);
  const byBox = new Map([['box-1/1', { tiger: 1 }]]);
  box.state.usage.set(2, { ...createUsageWindow(2), byBox });
  if (box.state.lease.held !== undefined) box.state.lease.held.sinceMs = box.nowMs;
  expect(awaitRow(box, box.nowMs + 1400)).to.equal(undefined);
  receive(box, 2, 5);
  expect(awaitRow(box)).to.deep.equal({ afterMs: 2900, value: { tiger: 6 } });
});

test('a box that was silent sends the counts of the two windows before the current one', () => {
  const box = createHolder();
  for (const window of [0, 1, 2]) {
    const byBox = new Map([['box-1/1', { tiger: window + 1 }]]);
    box.state.usage.set(window, { ...createUsageWindow(window), byBox });
  }
  box.take({ type: 'peerMessage', message: peerMessage({ sequence: 2 }) });
  const sent = ofType(box.pass(200), 'sendPeers').map(({ message }) => message);
  const news = sent.find((message) => message.kind === 'news');
  expect(news?.kind === 'news' ? news.usage : undefined).to.deep.equal({
    0: { tiger: 1 },
    1: { tiger: 2 },
    2: { tiger: 3 },
  });
});
