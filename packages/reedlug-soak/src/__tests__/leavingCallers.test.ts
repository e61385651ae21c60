import { expect } from 'chai';
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { planLeavingFaults } from '../leavingCallers.js';
import { runSoak } from '../runSoak.js';

/** Timeout of a short run, in ms, which leaves time for its processes on a loaded machine. */
const RUN_TIMEOUT_MS = 60_000;

test('a seed always gives the same pauses, stops and kills', () => {
  const params = { seed: 3, lengthMs: 16_000, boxes: 4 };
  expect(planLeavingFaults(params)).to.deep.equal(planLeavingFaults(params));
  expect(planLeavingFaults(params).length).to.be.greaterThan(3);
});

for (const processorShare of [undefined, 0.15]) {
  const name = processorShare === undefined ? 'boxes that stand still' : 'starved boxes';
  test(`no work reaches servers long after its callers have left: ${name}`, async function () {
    this.timeout(RUN_TIMEOUT_MS);
    const plan = { seed: 8711, lengthMs: 10_000, boxes: 4 };
    const result = await runSoak({
      ...plan,
      serversPerService: 3,
      callsPerSecond: 60,
      folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
      faults: planLeavingFaults(plan),
      leaving: { share: 0.6 },
      ...(processorShare === undefined ? {} : { processorShare }),
    });
    const left = result.record.calls.filter(({ leftAtMs }) => leftAtMs !== undefined);
    expect(left.length, 'callers that left').to.be.greaterThan(10);
    expect(result.violations).to.deep.equal([]);
  });
}
