import { expect } from 'chai';
import type { PeerAddress } from '../../types/peer.js';
import { maintainBoxEntry, type BoxEntry } from '../boxEntry.js';

const ADDRESS: PeerAddress = {
  boxId: 'box-1',
  host: '10.1.0.1',
  port: 7000,
  zone: 'zone-a',
  processorCores: 0.3,
};

/** Starts a maintainer with a store that accepts a write after the given number of failed ones. */
function startMaintaining(failures = 0): {
  entry: BoxEntry;
  writes: () => number;
  announcements: boolean[];
} {
  let writes = 0;
  const announcements: boolean[] = [];
  const entry = maintainBoxEntry({
    store: {
      announceBox(_boxId, _address, holdsPart) {
        announcements.push(holdsPart);
        writes += 1;
        return Promise.resolve(writes > failures);
      },
    },
    clock: {
      nowMs: () => 0,
      // All calls are answered within their limits, and pauses take no time.
      pause: (_ms, limit) =>
        limit === undefined ? Promise.resolve() : new Promise(() => undefined),
    },
    logger: () => undefined,
    address: ADDRESS,
    holdsPart: () => true,
  });
  return { entry, writes: () => writes, announcements };
}

const settled = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
const listed = (address: PeerAddress | undefined) => [{ boxId: 'box-1', address }];

test('a box that is listed with its address writes nothing', async () => {
  const { entry, writes } = startMaintaining();
  entry.onListed({ items: listed({ ...ADDRESS }), whole: true });
  await settled();
  expect(writes()).to.equal(0);
});

test('a box that is missing or has another address writes its entry', async () => {
  for (const items of [[], listed({ ...ADDRESS, host: '10.1.0.9' })]) {
    const { entry, writes } = startMaintaining();
    entry.onListed({ items, whole: true });
    await settled();
    expect(writes()).to.equal(1);
  }
});

test('a box whose entry was removed writes it again', async () => {
  const { entry, writes } = startMaintaining();
  entry.onListed({ items: listed({ ...ADDRESS }), whole: true });
  entry.onListed({ items: [{ boxId: 'box-2', address: undefined }], whole: false });
  entry.onListed({ items: listed(undefined), whole: false });
  await settled();
  expect(writes()).to.equal(1);
});

test('an entry that the store did not accept is written again', async () => {
  const { entry, writes } = startMaintaining(2);
  entry.onListed({ items: [], whole: true });
  await settled();
  expect(writes()).to.equal(3);
});

test('a missing box states again that it holds its share of the limits', async () => {
  const { entry, announcements } = startMaintaining();
  entry.onListed({ items: [], whole: true });
  await settled();
  expect(announcements).to.deep.equal([true]);
});

test('a write that throws is repeated', async () => {
  let writes = 0;
  const entry = maintainBoxEntry({
    store: {
      announceBox() {
        writes += 1;
        if (writes === 1) throw new Error('broken');
        return Promise.resolve(true);
      },
    },
    clock: {
      nowMs: () => 0,
      pause: (_ms, limit) =>
        limit === undefined ? Promise.resolve() : new Promise(() => undefined),
    },
    logger: () => undefined,
    address: ADDRESS,
    holdsPart: () => true,
  });
  entry.onListed({ items: [], whole: true });
  await settled();
  await settled();
  expect(writes).to.equal(2);
});
