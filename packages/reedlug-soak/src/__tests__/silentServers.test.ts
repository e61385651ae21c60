import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { CallKind } from '../soakRecord.js';
import { runSoak } from '../runSoak.js';

/** Timeout of a run, in ms, which leaves time for its processes on a loaded machine. */
const RUN_TIMEOUT_MS = 60_000;
const STALL_MS = 1000;

test('a server that falls silent for a second and goes on costs no request that runs at most once', async function () {
  this.timeout(RUN_TIMEOUT_MS);
  const stalls = [0, 1, 2, 3, 4, 5].map((server) => ({
    atMs: 1000 + server * 1200,
    fault: { kind: 'serverStalls' as const, server, forMs: STALL_MS },
  }));
  const { record, violations, statuses } = await runSoak({
    seed: 31,
    lengthMs: 9500,
    boxes: 3,
    serversPerService: 3,
    callsPerSecond: 60,
    folder: join(await mkdtemp(join(tmpdir(), 'reedlug-soak-')), 'run'),
    faults: stalls,
  });
  expect(violations).to.deep.equal([]);
  const notices = record.calls.filter(({ kind }) => kind === CallKind.notice);
  expect(notices.length).to.be.greaterThan(100);
  expect(notices.filter(({ status }) => status !== 200)).to.deep.equal([]);
  // Neither a crash suspect nor a refusal of others comes of a silence.
  expect(statuses['500'] ?? 0).to.equal(0);
  expect(statuses['503'] ?? 0).to.equal(0);
});
