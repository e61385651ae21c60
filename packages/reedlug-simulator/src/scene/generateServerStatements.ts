/**
 * Generates scenes from a seed: servers whose answers announce draining, a pause or a refusal, and
 * other faults around them.
 */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { generateFault } from './generateServerLimits.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of faults in which servers state something, and of other faults. */
const STATEMENTS_PER_SCENE = { least: 1, most: 4 };
const OTHER_FAULTS_PER_SCENE = { least: 0, most: 3 };
/** Pauses that servers request, in s; 0 stands for a refusal that requests no pause. */
const PAUSES_S: readonly number[] = [0, 0.2, 1, 3, 8, 10, 60, 3600, 1e9];

/** Replaces a scene's faults with generated ones. */
export function generateServerStatements(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`statements ${seed}`));
  const generateList = <T>(bounds: { least: number; most: number }, generateOne: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, generateOne);
  const statements = generateList(STATEMENTS_PER_SCENE, () =>
    generateServerStatement(random, scene),
  );
  const others = generateList(OTHER_FAULTS_PER_SCENE, () => generateFault(random, scene));
  return { ...scene, faults: [...statements, ...others] };
}

function generateServerStatement(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 6);
  const service = random.pick(scene.services).name;
  const share = random.chance(0.2) ? 1 : 0.1 + random.unit() * 0.5;
  const tellsBirth = random.chance(0.8);
  const nextLifeAfterS = random.chance(0.5) ? 0.3 + random.unit() * 3 : undefined;
  const restS = random.pick(PAUSES_S);
  const endAfterS = 0.5 + random.unit() * 10;
  const draining: SceneFaultSpec = {
    kind: 'leaveServers',
    atS,
    service,
    share,
    endAfterS,
    nextLifeAfterS,
    tellsBirth,
  };
  const refusing: SceneFaultSpec = {
    kind: 'restServers',
    atS,
    forS: 0.5 + random.unit() * 8,
    service,
    share,
    refuseShare: random.chance(0.6) ? 1 : random.unit(),
    restS: restS === 0 ? undefined : restS,
  };
  return random.chance(0.5) ? draining : refusing;
}
