/** Generates scenes from a seed: exceptions at random places of the boxes' reducer, with other faults around them. */
import { hashString } from 'reedlug-coordination';
import { createRandom } from 'reedlug-standins';
import { generateFault } from './generateServerLimits.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of other faults. */
const OTHER_FAULTS_PER_SCENE = { least: 0, most: 3 };
/** Time from the first caller to the first exception, and from the last one to the end, in s. */
const QUIET_START_S = 2;
const QUIET_END_S = 6;
/** Shares of the events that throw. */
const SHARES: readonly number[] = [0.005, 0.02, 0.08];

/** Replaces a scene's faults with generated ones. */
export function generateExceptions(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`exceptions ${seed}`));
  const exceptions: SceneFaultSpec = {
    kind: 'throwExceptions',
    atS: QUIET_START_S,
    forS: scene.lengthS - QUIET_START_S - QUIET_END_S,
    share: random.pick(SHARES),
  };
  const count = random.whole(OTHER_FAULTS_PER_SCENE.least, OTHER_FAULTS_PER_SCENE.most);
  const others = Array.from({ length: count }, () => generateFault(random, scene));
  return { ...scene, faults: [exceptions, ...others] };
}
