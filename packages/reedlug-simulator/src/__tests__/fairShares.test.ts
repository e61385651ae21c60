import { expect } from 'chai';
import { runScene, type Scene, type SceneReport } from '../index.js';
import { smallScene } from './__fixtures__/smallScene.js';

const SWITCHES_OFF = smallScene().load;
const SWITCHES_ON = { ...SWITCHES_OFF, shareCapacity: true, spreadRetries: true };

/** Seeds of the flood. */
const FLOOD_SEEDS = [1, 2, 3];

/** A flood by one of six workspaces that no limit stops, before engines that can't grow in number. */
function floodedScene(changes: Partial<Scene> = {}): Scene {
  const { services, ...base } = smallScene();
  return {
    ...base,
    lengthS: 16,
    callers: { perSecond: 55, clump: 2, swing: 0, swingPeriodS: 40 },
    workspaces: { count: 6, limitOverUsual: 30, plainTokens: 200 },
    services: services.map((service) =>
      service.kind === 'engines' ? { ...service, maxPerZone: service.perZone } : service,
    ),
    load: SWITCHES_ON,
    faults: [
      { kind: 'hotWorkspace', atS: 3, forS: 10, factor: 5 },
      { kind: 'burst', atS: 3, forS: 10, factor: 3 },
    ],
    ...changes,
  };
}

/** Refused requests of the workspace that floods, and of all others. */
function refusedOf({ byWorkspace }: SceneReport): { flood: number; others: number } {
  const [flood, ...others] = byWorkspace;
  return {
    flood: flood?.refused ?? 0,
    others: others.reduce((sum, { refused }) => sum + refused, 0),
  };
}

test('with room to spare, the switches change no outcome', async () => {
  const [off, on] = [
    await runScene(smallScene({ load: SWITCHES_OFF }), 1),
    await runScene(smallScene({ load: SWITCHES_ON }), 1),
  ];
  const comparable = (report: SceneReport) => ({ ...report, reducerMsPerBoxSecond: 0 });
  expect(on.refusedBy).to.deep.equal({});
  expect(comparable(on)).to.deep.equal(comparable(off));
});

test('a flood of one workspace has hardly any other one refused', async () => {
  let worstOff = 0;
  let worstOn = 0;
  for (const seed of FLOOD_SEEDS) {
    const off = await runScene(floodedScene({ load: SWITCHES_OFF }), seed);
    const on = await runScene(floodedScene(), seed);
    expect(on.broken).to.deep.equal([]);
    expect(refusedOf(off).others).to.be.greaterThan(20);
    expect(refusedOf(on).flood).to.be.greaterThan(20);
    expect(refusedOf(on).others).to.be.lessThan(refusedOf(off).others / 10);
    worstOff += off.fairness.worst;
    worstOn += on.fairness.worst;
  }
  expect(worstOn).to.be.greaterThan(worstOff);
});

test('a flood while a zone is cut off and boxes are lost breaks no guarantee, and others are served', async () => {
  const scene = floodedScene();
  const report = await runScene(
    {
      ...scene,
      boxesPerZone: 7,
      faults: [
        ...scene.faults,
        { kind: 'cutZone', atS: 4, forS: 3, zone: 'zone-b' },
        { kind: 'killBoxes', atS: 8, share: 0.3, downS: 0.8 },
        { kind: 'killBoxes', atS: 10, share: 1, downS: 0.5 },
      ],
    },
    2,
  );
  expect(report.broken).to.deep.equal([]);
  const { flood, others } = refusedOf(report);
  expect(others).to.be.lessThan(flood / 4);
});
