/** Generates scenes from a seed: all boxes are lost, in series, and the software versions change while none runs. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { generateSoftwareVersions } from './generateSoftwareVersions.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Bounds of the number of losses, and the mean interval between them, in s. */
const LOSSES = { least: 1, most: 4 };
const MEAN_LOSS_INTERVAL_S = 2.5;
/** Times from the first caller to the first loss at the least, and from the last one to the end, in s. */
const QUIET_START_S = 3;
const QUIET_END_S = 4;
/** Time before a loss at which a version may come up, in s, too short for the boxes to write what they saw. */
const SHORTLY_BEFORE_S = 0.06;
/**
 * Numbers of a caller's retries, some more than there are losses close together, and of its tries without a box,
 * enough to go on until the boxes are back.
 */
const TRIES = { retries: 3, reconnects: 60 };
/** Probability that one version alone serves until the first loss, without other faults. */
const SINGLE_VERSION_PROBABILITY = 0.4;

/** Replaces a scene's faults with generated ones. */
export function generateVersionLosses(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`version losses ${seed}`));
  const service = scene.classes.find(({ kind }) => kind === 'stream')?.service ?? '';
  const hasSingleVersion = random.chance(SINGLE_VERSION_PROBABILITY);
  const faults = hasSingleVersion ? [] : generateSoftwareVersions(scene, seed).faults;
  const classes = scene.classes.map((spec) => (spec.resumable ? { ...spec, ...TRIES } : spec));
  return { ...scene, classes, faults: [...faults, ...generateLosses(random, scene, service)] };
}

function generateLosses(
  random: Random,
  { lengthS, boxStartMs }: Scene,
  service: string,
): SceneFaultSpec[] {
  const faults: SceneFaultSpec[] = [];
  let atS = QUIET_START_S;
  for (let left = random.whole(LOSSES.least, LOSSES.most); left > 0; left -= 1) {
    atS += random.exponential(MEAN_LOSS_INTERVAL_S);
    if (atS > lengthS - QUIET_END_S) return faults;
    const downS = random.pick([0.1, 0.3, 0.6, 1.2]);
    const meanwhileS = atS + random.unit() * (downS + boxStartMs / 1000);
    faults.push({ kind: 'killBoxes', atS, share: 1, downS });
    if (random.chance(0.3)) {
      faults.push({ kind: 'mixVersions', atS: atS - SHORTLY_BEFORE_S, service, share: 0.5 });
    }
    faults.push(generateChange(random, service, meanwhileS), ...generateStoreFault(random, atS));
  }
  return faults;
}

/** Generates a change of the versions that no box sees. */
function generateChange(random: Random, service: string, atS: number): SceneFaultSpec {
  const keepsIds = random.chance(0.5);
  const isNewVersion = random.chance(0.7);
  const swap = { kind: 'swapVersion' as const, atS, service, keepsIds, isNewVersion };
  return random.pick<SceneFaultSpec>([
    { ...swap, share: 1 },
    { ...swap, share: 1 },
    { ...swap, share: 0.5 },
    { kind: 'mixVersions', atS, service, share: 1 },
    { kind: 'endVersion', atS, service },
  ]);
}

/** Returns what happens to the store beside a loss of all boxes, in some cases nothing. */
function generateStoreFault(random: Random, lossAtS: number): SceneFaultSpec[] {
  const atS = Math.max(0, lossAtS - 1 + random.unit() * 2);
  const forS = 0.3 + random.unit() * 2;
  const restore = { ageS: 0.5 + random.unit() * 6, awayS: random.unit(), otherWrites: 30 };
  const againWithinS = random.pick([0, 0.2, 1.2]);
  return random.pick<SceneFaultSpec[]>([
    [],
    [],
    [{ kind: 'storeAway', atS, forS }],
    [{ kind: 'copyStore', atS, ...restore, againWithinS }],
  ]);
}
