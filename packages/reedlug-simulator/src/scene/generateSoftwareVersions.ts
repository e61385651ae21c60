/** Generates scenes from a seed: servers of several software versions, streams that are taken up, and other faults. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { generateFault } from './generateServerLimits.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Bounds of the numbers of faults of the versions, and of other faults. */
const VERSION_FAULTS = { least: 2, most: 5 };
const OTHER_FAULTS = { least: 1, most: 4 };
/** Times from the first caller until a second version serves at the latest, and from the last fault to the end, in s. */
const FIRST_CHANGE_S = 3;
const QUIET_END_S = 4;

/** Replaces a scene's faults with generated ones. */
export function generateSoftwareVersions(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`versions ${seed}`));
  const service = scene.classes.find(({ kind }) => kind === 'stream')?.service ?? '';
  const generateList = <T>(bounds: { least: number; most: number }, generateOne: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, generateOne);
  const first: SceneFaultSpec = {
    kind: 'mixVersions',
    atS: random.unit() * FIRST_CHANGE_S,
    service,
    share: random.pick([0.1, 0.3, 0.5, 0.7]),
  };
  const breaks: SceneFaultSpec = {
    kind: 'breakStreams',
    atS: 0,
    forS: scene.lengthS,
    share: 0.005 + random.unit() * 0.03,
  };
  const ofVersions = generateList(VERSION_FAULTS, () =>
    generateVersionFault(random, service, random.unit() * (scene.lengthS - QUIET_END_S)),
  );
  const others = generateList(OTHER_FAULTS, () => generateFault(random, scene));
  return { ...scene, faults: [first, breaks, ...ofVersions, ...others] };
}

function generateVersionFault(random: Random, service: string, atS: number): SceneFaultSpec {
  const downS = random.pick([0.05, 0.3, 1, 2.5]);
  const tellsBirth = random.chance(0.7);
  return random.pick<SceneFaultSpec>([
    { kind: 'mixVersions', atS, service, share: random.pick([0.2, 0.5, 1]) },
    { kind: 'mixVersions', atS, service, share: 0.34 },
    { kind: 'endVersion', atS, service },
    { kind: 'restartEngines', atS, share: 0.34, downS, tellsBirth, newVersion: true },
    { kind: 'killBoxes', atS, share: 1, downS: 0.3 },
    { kind: 'killBoxes', atS, share: 0.5, downS: 0.3 },
    { kind: 'crashEngines', atS, share: 0.2, silent: random.chance(0.5) },
  ]);
}
