/** Scenes drawn by seed: servers that leave, rest or refuse by their answers, and troubles around them. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { drawTrouble } from './drawServerLimits.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Servers that say something, and troubles beside, in number of faults. */
const STATEMENTS = { least: 1, most: 4 };
const TROUBLES = { least: 0, most: 3 };
/** Rests that are asked for, in s; 0 for a refusal that asks for none. */
const RESTS_S: readonly number[] = [0, 0.2, 1, 3, 8, 10, 60, 3600, 1e9];

/** Replaces a scene's faults by drawn ones. */
export function drawStatements(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`statements ${seed}`));
  const draw = <T>(bounds: { least: number; most: number }, one: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, one);
  const statements = draw(STATEMENTS, () => drawStatement(random, scene));
  const troubles = draw(TROUBLES, () => drawTrouble(random, scene));
  return { ...scene, faults: [...statements, ...troubles] };
}

function drawStatement(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 6);
  const service = random.pick(scene.services).name;
  const share = random.chance(0.2) ? 1 : 0.1 + random.unit() * 0.5;
  const tellsBirth = random.chance(0.8);
  const nextLifeAfterS = random.chance(0.5) ? 0.3 + random.unit() * 3 : undefined;
  const restS = random.pick(RESTS_S);
  const endAfterS = 0.5 + random.unit() * 10;
  const leaving: SceneFaultSpec = {
    kind: 'leaveServers',
    atS,
    service,
    share,
    endAfterS,
    nextLifeAfterS,
    tellsBirth,
  };
  const resting: SceneFaultSpec = {
    kind: 'restServers',
    atS,
    forS: 0.5 + random.unit() * 8,
    service,
    share,
    refuseShare: random.chance(0.6) ? 1 : random.unit(),
    restS: restS === 0 ? undefined : restS,
  };
  return random.chance(0.5) ? leaving : resting;
}
