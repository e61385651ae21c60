import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { Partition } from '../faultPlan.js';
import { servedDuring, servedShare } from '../partitionedBoxes.js';
import { runSoak } from '../runSoak.js';

/** Timeout of a run, in ms, which leaves time for its processes on a loaded machine. */
const RUN_TIMEOUT_MS = 60_000;
const PARTITION_MS = 6000;
/** Longest time for which a caller may be held whose refusal is known, in ms; a quarter of a connection's time-out. */
const MAX_HELD_MS = 100;
/** Largest difference between the shares served at partitioned boxes and at the others. */
const MAX_DIFFERENCE = 0.03;

for (const how of Object.values(Partition)) {
  test(`boxes without links to the servers serve their callers as the others do: ${how}`, async function () {
    this.timeout(RUN_TIMEOUT_MS);
    const { record, violations } = await runSoak({
      seed: 21,
      lengthMs: 9500,
      boxes: 4,
      serversPerService: 3,
      callsPerSecond: 80,
      folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
      faults: [
        {
          atMs: 2000,
          fault: { kind: 'serversPartitioned', boxes: 2, share: 1, how, forMs: PARTITION_MS },
        },
      ],
    });
    const [span] = record.partitions;
    if (span === undefined) throw new Error('no partition');
    const first = servedDuring(record, span, { fromMs: 0, toMs: 1000 });
    const rest = servedDuring(record, span, { fromMs: 1000, toMs: PARTITION_MS });
    expect(rest.others.total).to.be.greaterThan(50);
    expect(servedShare(rest.partitioned)).to.be.at.least(servedShare(rest.others) - MAX_DIFFERENCE);
    expect(servedShare(first.partitioned)).to.be.at.least(0.5);
    expect(violations).to.deep.equal([]);
  });
}

test('where connections of all boxes hang, callers are refused at once', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const { record } = await runSoak({
    seed: 22,
    lengthMs: 7000,
    boxes: 4,
    serversPerService: 3,
    callsPerSecond: 80,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
    faults: [
      {
        atMs: 1500,
        fault: { kind: 'serversPartitioned', boxes: 4, share: 1, how: 'hang', forMs: 4500 },
      },
    ],
  });
  const [span] = record.partitions;
  if (span === undefined) throw new Error('no partition');
  const held = record.calls
    .filter(({ sentAtMs }) => sentAtMs > span.fromMs + 1500 && sentAtMs < span.toMs - 500)
    .filter(({ status }) => status === 503)
    .map(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs)
    .sort((a, b) => a - b);
  expect(held.length).to.be.greaterThan(50);
  expect(held[Math.floor(held.length * 0.95)]).to.be.at.most(MAX_HELD_MS);
});
