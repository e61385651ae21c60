import { expect } from 'chai';
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { PlannedFault } from '../fault.js';
import { planFaults } from '../faultPlan.js';
import { runSoak } from '../runSoak.js';
import { planVersionFaults, planVersionLosses } from '../versionFaultPlan.js';

/** Timeout of a short run, in ms, which leaves time for its processes on a loaded machine. */
const RUN_TIMEOUT_MS = 60_000;

test('a seed always gives the same faults, and another seed gives different ones', () => {
  const params = { lengthMs: 20_000, boxes: 4, servers: 6 };
  expect(planFaults({ seed: 7, ...params })).to.deep.equal(planFaults({ seed: 7, ...params }));
  expect(planFaults({ seed: 7, ...params })).not.to.deep.equal(planFaults({ seed: 8, ...params }));
});

test('a seed always gives the same faults of software versions', () => {
  const params = { lengthMs: 20_000, boxes: 4, servers: [6, 7, 8] };
  const planned = planVersionFaults({ seed: 7, ...params });
  expect(planned).to.deep.equal(planVersionFaults({ seed: 7, ...params }));
  expect(planned).not.to.deep.equal(planVersionFaults({ seed: 8, ...params }));
  expect(planned.length).to.be.greaterThan(3);
});

test('a version changes within 1.8 s of each drawn loss of all boxes', () => {
  const lengthMs = 20_000;
  for (let seed = 1; seed <= 20; seed += 1) {
    const planned = planVersionLosses({ seed, lengthMs });
    const losses = planned.filter(({ fault }) => fault.kind === 'killAllBoxes');
    for (const { atMs } of losses) {
      const isNear = (other: PlannedFault): boolean => Math.abs(other.atMs - atMs) <= 1800;
      const near = planned.filter(({ fault }) => fault.kind === 'versionSwapped').filter(isNear);
      expect(near, `seed ${seed}, ${atMs} ms`).not.to.deep.equal([]);
    }
  }
});

test('a short run of real boxes under faults violates no guarantee', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const result = await runSoak({
    seed: 5,
    lengthMs: 8000,
    boxes: 3,
    serversPerService: 2,
    callsPerSecond: 40,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
  });
  expect(result.violations).to.deep.equal([]);
  expect(result.statuses['200'] ?? 0).to.be.greaterThan(50);
});

test('a caller whose requests crash servers is blocked without harm to other callers', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const result = await runSoak({
    seed: 6,
    lengthMs: 9000,
    boxes: 3,
    serversPerService: 3,
    callsPerSecond: 30,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
    faults: [{ atMs: 500, fault: { kind: 'crashingCaller', everyMs: 300 } }],
  });
  expect(result.violations).to.deep.equal([]);
  expect(result.statuses['500'] ?? 0).to.be.greaterThan(10);
});

test('limits that servers announce hold while boxes are stopped and killed', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const result = await runSoak({
    seed: 9,
    lengthMs: 14_000,
    boxes: 4,
    serversPerService: 3,
    callsPerSecond: 60,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
    faults: [
      { atMs: 500, fault: { kind: 'serverLimits', server: 0, perSecond: 1, forMs: 12_000 } },
      { atMs: 500, fault: { kind: 'serverLimits', server: 1, perSecond: 0.4, forMs: 12_000 } },
      { atMs: 5000, fault: { kind: 'stopBox', box: 1, backAfterMs: 500 } },
      { atMs: 7000, fault: { kind: 'killBox', box: 2, backAfterMs: 500 } },
    ],
  });
  expect(result.violations).to.deep.equal([]);
});

test('no box reports a window twice when the store is restored from backups while boxes are killed', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const restore = { kind: 'storeCopy' as const, ageMs: 4000, againWithinMs: 200, otherWrites: 300 };
  const result = await runSoak({
    seed: 11,
    lengthMs: 16_000,
    boxes: 4,
    serversPerService: 2,
    callsPerSecond: 40,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
    faults: [
      { atMs: 6500, fault: { kind: 'killBox', box: 1, backAfterMs: 300 } },
      { atMs: 6500, fault: { kind: 'killBox', box: 2, backAfterMs: 300 } },
      { atMs: 8000, fault: { ...restore, forMs: 700 } },
      { atMs: 8100, fault: { kind: 'killAllBoxes', backAfterMs: 300 } },
      { atMs: 11_000, fault: { ...restore, forMs: 0 } },
      { atMs: 11_200, fault: { kind: 'revokeKey' } },
    ],
  });
  expect(result.violations).to.deep.equal([]);
  expect(result.statuses['200'] ?? 0).to.be.greaterThan(100);
});

test('servers that leave and new configurations are known while boxes lose answers of the store', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const boxes = [0, 1, 2, 3];
  const leave = { kind: 'serverLeaves' as const, backAfterMs: 500, onlyListed: true };
  const result = await runSoak({
    seed: 31,
    lengthMs: 16_000,
    boxes: boxes.length,
    serversPerService: 4,
    callsPerSecond: 80,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
    faults: [
      { atMs: 2000, fault: { kind: 'pollLost', boxes, feed: 'servers' } },
      { atMs: 2000, fault: { ...leave, server: 0 } },
      { atMs: 5000, fault: { kind: 'storeConnectionsSilent', boxes } },
      { atMs: 5000, fault: { ...leave, server: 1 } },
      { atMs: 8000, fault: { kind: 'pollLost', boxes, feed: 'operators' } },
      { atMs: 8000, fault: { kind: 'configure' } },
      { atMs: 10_000, fault: { kind: 'storeConnectionsSilent', boxes } },
      { atMs: 10_000, fault: { kind: 'revokeKey' } },
    ],
  });
  expect(result.violations).to.deep.equal([]);
  expect(result.statuses['200'] ?? 0).to.be.greaterThan(400);
});
