/** Scenes drawn by seed: the store comes back from copies, and troubles around them. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { drawTrouble } from './drawServerLimits.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Copies, and troubles and changes beside them, in number of faults. */
const COPIES = { least: 1, most: 3 };
const BESIDE = { least: 1, most: 4 };
const TROUBLES = { least: 0, most: 2 };
/** Time from the first caller to the first copy at the earliest, and from the last one to the end, in s. */
const QUIET_START_S = 5;
const QUIET_END_S = 8;

/** Replaces a scene's faults by drawn ones. */
export function drawCopies(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`copies ${seed}`));
  const draw = <T>(bounds: { least: number; most: number }, one: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, one);
  const atS = QUIET_START_S + random.unit() * (scene.lengthS - QUIET_START_S - QUIET_END_S);
  const copies = draw(COPIES, () => drawCopy(random, atS + random.exponential(1.5)));
  const beside = draw(BESIDE, () => drawBeside(random, atS));
  const troubles = draw(TROUBLES, () => drawTrouble(random, scene));
  return { ...scene, faults: [...copies, ...beside, ...troubles] };
}

function drawCopy(random: Random, atS: number): SceneFaultSpec {
  return {
    kind: 'copyStore',
    atS,
    ageS: 0.5 + random.unit() * 9.5,
    awayS: random.chance(0.2) ? 0 : random.unit() * (random.chance(0.3) ? 5 : 1),
    againWithinS: random.pick([0, 0.2, 1.2]),
    otherWrites: random.pick([0, 3, 30, 500]),
  };
}

/** What makes the lost seconds matter, a little before the copy or after it. */
function drawBeside(random: Random, copyAtS: number): SceneFaultSpec {
  const atS = Math.max(0.5, copyAtS - 5 + random.unit() * 8);
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
