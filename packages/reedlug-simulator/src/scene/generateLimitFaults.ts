/** Generates scenes from a seed: a workspace far over its limit, and faults that overlap. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of faults in addition to the hot workspace. */
const OTHER_FAULTS_PER_SCENE = { least: 1, most: 4 };

/** Replaces a scene's faults with generated ones. */
export function generateLimitFaults(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`limits ${seed}`));
  const hotWorkspace: SceneFaultSpec = {
    kind: 'hotWorkspace',
    atS: random.unit() * 4,
    forS: 8 + random.unit() * scene.lengthS,
    factor: 3 + random.unit() * 7,
  };
  const count = random.whole(OTHER_FAULTS_PER_SCENE.least, OTHER_FAULTS_PER_SCENE.most);
  const others = Array.from({ length: count }, () => generateFault(random, scene));
  return { ...scene, faults: [hotWorkspace, ...others] };
}

function generateFault(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 6);
  const forS = 1 + random.unit() * 11;
  const zone = scene.zones[random.whole(0, scene.zones.length - 1)] ?? '';
  const downS = 0.3 + random.unit() * 3;
  const kinds: readonly SceneFaultSpec[] = [
    { kind: 'killBoxes', atS, share: 0.3, downS },
    { kind: 'killBoxes', atS, share: 0.6, downS },
    { kind: 'killBoxes', atS, share: 1, downS },
    { kind: 'rollBoxes', atS, share: 1, gapS: 1 + random.unit() * 4 },
    { kind: 'cutZone', atS, forS, zone },
    { kind: 'cutZone', atS, forS, zone },
    { kind: 'storeAway', atS, forS },
    { kind: 'failRequests', atS, forS, share: 0.1 + random.unit() * 0.6 },
    { kind: 'crashEngines', atS, share: 0.3, silent: random.chance(0.5) },
    { kind: 'restartEngines', atS, share: 0.4, downS: 0.2 + random.unit() * 5, tellsBirth: true },
    { kind: 'changeLimits', atS, factor: 0.3 + random.unit() * 2 },
    { kind: 'addBoxes', atS, perZone: random.whole(1, 2) },
  ];
  return kinds[random.whole(0, kinds.length - 1)] as SceneFaultSpec;
}
