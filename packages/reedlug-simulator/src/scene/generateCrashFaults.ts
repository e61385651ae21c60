/**
 * Generates scenes from a seed: servers crash because of some requests or for other causes, while
 * few bodies are popular.
 */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of faults with crashing requests, and of other faults. */
const CRASHING_REQUESTS_PER_SCENE = { least: 0, most: 2 };
const OTHER_FAULTS_PER_SCENE = { least: 1, most: 4 };
/** Minimum and maximum number of faults with crashing parts of prompts, and of other faults beside them. */
const CRASHING_PARTS_PER_SCENE = { least: 0, most: 2 };
const OTHER_FAULTS_BESIDE_PARTS = { least: 0, most: 3 };
/** Minimum and maximum number of different bodies in a class whose requests are mostly alike. */
const POPULAR_BODIES = { least: 1, most: 6 };

/** Replaces a scene's faults with generated ones, and gives some classes few bodies. */
export function generateCrashFaults(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`crashes ${seed}`));
  const classes = scene.classes.map((spec) =>
    random.chance(0.5)
      ? { ...spec, bodies: random.whole(POPULAR_BODIES.least, POPULAR_BODIES.most) }
      : spec,
  );
  const crashingRequests = Array.from(
    { length: random.whole(CRASHING_REQUESTS_PER_SCENE.least, CRASHING_REQUESTS_PER_SCENE.most) },
    () => generateCrashingRequests(random, scene),
  );
  const count = random.whole(OTHER_FAULTS_PER_SCENE.least, OTHER_FAULTS_PER_SCENE.most);
  const others = Array.from({ length: count }, () => generateFault(random, scene));
  return { ...scene, classes, faults: [...crashingRequests, ...others] };
}

/** Replaces a scene's faults with generated ones, in which parts of prompts crash servers. */
export function generatePartFaults(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`parts ${seed}`));
  const withParts = scene.classes.filter(({ ownTokens }) => ownTokens !== undefined);
  const { least, most } = CRASHING_PARTS_PER_SCENE;
  const parts = Array.from({ length: random.whole(least, most) }, (): SceneFaultSpec => ({
    ...generateCrashingRequests(random, { ...scene, classes: withParts }),
    part: random.chance(0.5) ? 'first' : 'middle',
    runMs: random.chance(0.3) ? 500 : 5 + random.unit() * 300,
  }));
  const { least: fewest, most: greatest } = OTHER_FAULTS_BESIDE_PARTS;
  const others = Array.from({ length: random.whole(fewest, greatest) }, () =>
    generateFault(random, scene),
  );
  return { ...scene, faults: [...parts, ...others] };
}

function generateCrashingRequests(
  random: Random,
  scene: Scene,
): Extract<SceneFaultSpec, { kind: 'endingRequests' }> {
  const atS = 1 + random.unit() * 6;
  return {
    kind: 'endingRequests',
    atS,
    forS: scene.lengthS - atS - 2,
    class: scene.classes[random.whole(0, scene.classes.length - 1)]?.name ?? '',
    count: random.whole(1, 2),
    copies: random.chance(0.3) ? random.whole(2, 8) : 1,
    everyMs: 150 + random.unit() * 3000,
    runMs: 5 + random.unit() * 300,
    downS: 0.4 + random.unit() * 5,
    tellsBirth: random.chance(0.8),
  };
}

function generateFault(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 6);
  const forS = 1 + random.unit() * 8;
  const zone = scene.zones[random.whole(0, scene.zones.length - 1)] ?? '';
  const downS = 0.3 + random.unit() * 3;
  const tellsBirth = random.chance(0.8);
  const kinds: readonly SceneFaultSpec[] = [
    { kind: 'restartEngines', atS, share: 0.34, downS, tellsBirth },
    { kind: 'restartEngines', atS, share: 0.34, downS, tellsBirth },
    { kind: 'restartEngines', atS, share: 0.15, downS, tellsBirth },
    { kind: 'crashEngines', atS, share: 0.34, silent: random.chance(0.5) },
    { kind: 'killBoxes', atS, share: random.chance(0.3) ? 1 : 0.4, downS },
    { kind: 'rollBoxes', atS, share: 1, gapS: 1 + random.unit() * 4 },
    { kind: 'cutZone', atS, forS, zone },
    { kind: 'storeAway', atS, forS },
    { kind: 'failRequests', atS, forS, share: 0.1 + random.unit() * 0.4 },
  ];
  return kinds[random.whole(0, kinds.length - 1)] as SceneFaultSpec;
}
