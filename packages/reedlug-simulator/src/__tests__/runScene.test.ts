import { expect } from 'chai';
import { runScene, type Scene, type SceneReport } from '../index.js';
import { smallScene } from './__fixtures__/smallScene.js';

function run(changes: Partial<Scene> = {}, seed = 1): Promise<SceneReport> {
  return runScene(smallScene(changes), seed);
}

test('the same seed gives the same run, another seed gives a different one', async () => {
  const [first, second, other] = [await run(), await run(), await run({}, 2)];
  // The reducer's time is real time and differs between runs.
  const withoutRealTime = (report: SceneReport) => ({ ...report, reducerMsPerBoxSecond: 0 });
  expect(withoutRealTime(first)).to.deep.equal(withoutRealTime(second));
  expect(withoutRealTime(first)).not.to.deep.equal(withoutRealTime(other));
});

test('callers of a calm fleet are served', async () => {
  const { whole, broken, refusedBy } = await run();
  expect(broken).to.deep.equal([]);
  expect(refusedBy).to.deep.equal({});
  expect(whole.asked).to.be.greaterThan(300);
  expect(whole.inTime / whole.asked).to.be.greaterThan(0.95);
});

test('callers are served again after all boxes lose power', async () => {
  const { bySpan, broken } = await run({
    faults: [{ kind: 'killBoxes', atS: 4, share: 1, downS: 0.8 }],
  });
  expect(broken).to.deep.equal([]);
  const shares = new Map(bySpan.map(({ name, share }) => [name, share]));
  expect(shares.get('4')).to.be.lessThan(0.9);
  expect(shares.get('8')).to.be.greaterThan(0.9);
});

test('boxes of a partitioned zone serve their callers', async () => {
  const { byZone, broken } = await run({
    faults: [{ kind: 'cutZone', atS: 4, forS: 4, zone: 'zone-b' }],
  });
  expect(broken).to.deep.equal([]);
  expect(byZone.find(({ name }) => name === 'zone-b')?.share).to.be.greaterThan(0.7);
});

test('engines that become silent without notice fail few requests', async () => {
  const { whole } = await run({
    faults: [{ kind: 'crashEngines', atS: 4, share: 0.3, silent: true }],
  });
  expect(whole.failed / whole.asked).to.be.lessThan(0.05);
});

test('engines that restart under their ids break no stream and no guarantee', async () => {
  for (const seed of [1, 2]) {
    const { whole, broken } = await run(
      {
        lengthS: 14,
        faults: [
          { kind: 'restartEngines', atS: 4, share: 0.34, downS: 0.8, tellsBirth: true },
          { kind: 'restartEngines', atS: 8, share: 0.5, downS: 2, tellsBirth: true },
        ],
      },
      seed,
    );
    expect(broken).to.deep.equal([]);
    expect(whole.failed / whole.asked).to.be.lessThan(0.05);
  }
});

test('requests of a workspace beyond its limit are refused with 429', async () => {
  const { refusedBy, broken } = await run({
    workspaces: { count: 3, limitOverUsual: 0.2, plainTokens: 200 },
  });
  expect(broken).to.deep.equal([]);
  expect(refusedBy['429 overLimit']).to.be.greaterThan(0);
});

test('a partitioned zone of a fleet with hubs continues to admit its share of the limit', async () => {
  const { refusedBy, byZone, broken } = await run({
    boxesPerZone: 8,
    workspaces: { count: 3, limitOverUsual: 1.8, plainTokens: 200 },
    callers: { perSecond: 60, clump: 2, swing: 0, swingPeriodS: 40 },
    faults: [{ kind: 'cutZone', atS: 5, forS: 6, zone: 'zone-b' }],
  });
  expect(broken).to.deep.equal([]);
  // Counting all units of the window against the share would refuse 58 of 718 callers.
  expect(refusedBy['429 overLimit'] ?? 0).to.be.lessThan(5);
  // Attempts at servers of all zones would refuse 15 callers after three failed connections each.
  expect(refusedBy['503 timeout'] ?? 0).to.be.lessThan(3);
  expect(byZone.find(({ name }) => name === 'zone-b')?.share).to.be.greaterThan(0.7);
});

test('limits hold in a fleet with hubs whose zones are partitioned in turn', async () => {
  const changes: Partial<Scene> = {
    lengthS: 24,
    boxesPerZone: 8,
    workspaces: { count: 3, limitOverUsual: 0.3, plainTokens: 200 },
    callers: { perSecond: 60, clump: 3, swing: 0.3, swingPeriodS: 20 },
    faults: [
      { kind: 'cutZone', atS: 5, forS: 3, zone: 'zone-b' },
      { kind: 'cutZone', atS: 10, forS: 4, zone: 'zone-a' },
    ],
  };
  // Without the sums of silent hubs, a workspace would exceed its limit.
  for (const seed of [2, 3]) expect((await run(changes, seed)).broken).to.deep.equal([]);
});

test('limits hold in a fleet that loses a third of its boxes, hubs among them', async () => {
  const changes: Partial<Scene> = {
    lengthS: 14,
    boxesPerZone: 12,
    workspaces: { count: 3, limitOverUsual: 0.6, plainTokens: 200 },
    callers: { perSecond: 80, clump: 3, swing: 0.3, swingPeriodS: 20 },
    faults: [
      { kind: 'hotWorkspace', atS: 3, forS: 10, factor: 6 },
      { kind: 'killBoxes', atS: 6, share: 0.3, downS: 0.5 },
      { kind: 'killBoxes', atS: 9, share: 0.3, downS: 0.5 },
    ],
  };
  // Without an estimate of the use that hubs have not yet reported to each other, a workspace would
  // get 1,119,967 of 859,961 units.
  expect((await run(changes, 3)).broken).to.deep.equal([]);
});

test('callers that leave early break no guarantee and are counted as left', async () => {
  const { whole, broken } = await run({
    faults: [{ kind: 'callersLeave', atS: 2, forS: 4, share: 0.5 }],
  });
  expect(broken).to.deep.equal([]);
  expect(whole.left).to.be.greaterThan(0);
});
