/** Generates scenes from a seed: restores of the store from backups, with other faults around them. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { generateFault } from './generateServerLimits.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of restores, of faults near them, and of other faults. */
const RESTORES_PER_SCENE = { least: 1, most: 3 };
const CONCURRENT_FAULTS_PER_SCENE = { least: 1, most: 4 };
const OTHER_FAULTS_PER_SCENE = { least: 0, most: 2 };
/** Minimum time from the first caller to the first restore, and from the last restore to the end, in s. */
const QUIET_START_S = 5;
const QUIET_END_S = 8;

/** Replaces a scene's faults with generated ones. */
export function generateStoreRestores(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`copies ${seed}`));
  const generateList = <T>(bounds: { least: number; most: number }, generateOne: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, generateOne);
  const atS = QUIET_START_S + random.unit() * (scene.lengthS - QUIET_START_S - QUIET_END_S);
  const restores = generateList(RESTORES_PER_SCENE, () =>
    generateRestore(random, atS + random.exponential(1.5)),
  );
  const concurrent = generateList(CONCURRENT_FAULTS_PER_SCENE, () =>
    generateConcurrentFault(random, atS),
  );
  const others = generateList(OTHER_FAULTS_PER_SCENE, () => generateFault(random, scene));
  return { ...scene, faults: [...restores, ...concurrent, ...others] };
}

function generateRestore(random: Random, atS: number): SceneFaultSpec {
  return {
    kind: 'copyStore',
    atS,
    ageS: 0.5 + random.unit() * 9.5,
    awayS: random.chance(0.2) ? 0 : random.unit() * (random.chance(0.3) ? 5 : 1),
    againWithinS: random.pick([0, 0.2, 1.2]),
    otherWrites: random.pick([0, 3, 30, 500]),
  };
}

/** Generates a fault shortly before or after a restore, so that the lost writes matter. */
function generateConcurrentFault(random: Random, restoreAtS: number): SceneFaultSpec {
  const atS = Math.max(0.5, restoreAtS - 5 + random.unit() * 8);
  const downS = 0.2 + random.unit() * 3;
  const kinds: readonly SceneFaultSpec[] = [
    { kind: 'changeLimits', atS, factor: 0.8 + random.unit() },
    { kind: 'killBoxes', atS, share: 0.2 + random.unit() * 0.7, downS },
    { kind: 'killBoxes', atS, share: 1, downS },
    { kind: 'restartEngines', atS, share: 0.34, downS, tellsBirth: random.chance(0.5) },
    { kind: 'crashEngines', atS, share: 0.2, silent: false },
  ];
  return random.pick(kinds);
}
