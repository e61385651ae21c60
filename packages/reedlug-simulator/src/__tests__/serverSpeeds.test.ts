/** Fleets whose engines run at different speeds, or at the same while the boxes look for differences. */
import { expect } from 'chai';
import { runScene, type Scene, type SceneReport } from '../index.js';
import { smallScene } from './__fixtures__/smallScene.js';

/** Runs the small scene with engines of some speeds. */
function run(
  speeds: number[],
  learns: boolean,
  changes: Partial<Scene> = {},
): Promise<SceneReport> {
  const scene = smallScene({ lengthS: 24, ...changes });
  const services = scene.services.map((service) =>
    service.kind === 'engines' ? { ...service, speeds } : service,
  );
  const load = { ...scene.load, learnServerSpeeds: learns };
  return runScene({ ...scene, services, load }, 1);
}

test('boxes learn that engines differ, and callers are served', async () => {
  const { logs, broken, whole } = await run([0.6, 0.6, 2], true);
  expect(logs['serverSpeedsUsed']).to.be.greaterThan(8);
  expect(broken).to.deep.equal([]);
  expect(whole.inTime / whole.asked).to.be.greaterThan(0.9);
});

test('with equal engines the switch changes nothing', async () => {
  const [off, on] = [await run([1], false), await run([1], true)];
  // The reducer's time is real time and differs between runs.
  const withoutRealTime = (report: SceneReport) => ({ ...report, reducerMsPerBoxSecond: 0 });
  expect(withoutRealTime(on)).to.deep.equal(withoutRealTime(off));
});

test('a slow version is rolled back while speeds are learned, and is not excused by its own speed', async () => {
  const rollout = {
    kind: 'rollout',
    atS: 2,
    service: 'pool',
    durationS: 12,
    startS: 3,
    failShare: 0,
    slowFactor: 5,
    badFromS: 0,
    badFromOpen: 0,
  } as const;
  const { rollouts, broken } = await run([1], true, {
    lengthS: 18,
    boxesPerZone: 5,
    callers: { perSecond: 70, clump: 2, swing: 0, swingPeriodS: 40 },
    faults: [rollout],
  });
  expect(broken).to.deep.equal([]);
  expect(rollouts[0]?.end).to.equal('rolledBack');
});
