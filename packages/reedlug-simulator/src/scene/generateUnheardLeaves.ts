/** Generates scenes from a seed: servers leave by the registry alone while boxes lose its answers. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of moments at which servers leave, and of other faults. */
const LEAVES_PER_SCENE = { least: 2, most: 5 };
const OTHER_FAULTS_PER_SCENE = { least: 0, most: 2 };
/** Time from the first caller to the first leave, and from the last leave to the end, in s. */
const QUIET_START_S = 2;
const QUIET_END_S = 6;
/** Shares of the boxes that lose answers; all of them in half of the cases. */
const BOX_SHARES: readonly number[] = [0.2, 0.5, 1, 1];

/** Replaces a scene's faults with generated ones. */
export function generateUnheardLeaves(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`unheard leaves ${seed}`));
  const generateList = <T>(bounds: { least: number; most: number }, generateOne: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, generateOne);
  const leaves = generateList(LEAVES_PER_SCENE, () => generateLeave(random, scene));
  const others = generateList(OTHER_FAULTS_PER_SCENE, () => generateOther(random, scene));
  return { ...scene, faults: [...leaves, ...others] };
}

function momentOf(random: Random, { lengthS }: Scene): number {
  return QUIET_START_S + random.unit() * (lengthS - QUIET_START_S - QUIET_END_S);
}

function generateLeave(random: Random, scene: Scene): SceneFaultSpec {
  return {
    kind: 'leaveUnheard',
    atS: momentOf(random, scene),
    service: random.pick(scene.services).name,
    share: 0.1 + random.unit() * 0.3,
    boxShare: random.pick(BOX_SHARES),
    answers: random.whole(1, 2),
    endAfterS: 3 + random.unit() * 4,
  };
}

/** Returns a fault that leaves the store and the links between zones sound. */
function generateOther(random: Random, scene: Scene): SceneFaultSpec {
  const atS = momentOf(random, scene);
  const kinds: readonly SceneFaultSpec[] = [
    { kind: 'killBoxes', atS, share: 0.2 + random.unit() * 0.5, downS: 0.2 + random.unit() * 2 },
    { kind: 'crashEngines', atS, share: 0.2, silent: false },
    { kind: 'burst', atS, forS: 2, factor: 2 },
  ];
  return random.pick(kinds);
}
