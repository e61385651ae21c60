/** Generates scenes from a seed: servers that are brittle, a load on them, and other faults around them. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Maximum number of other faults. */
const MAX_OTHER_FAULTS = 3;
/** Numbers of requests that arrive at once. */
const CLUMPS: readonly number[] = [1, 1, 4, 20, 60];

/** Replaces a scene's faults and load with generated ones. */
export function generateBrittleServers(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`brittle servers ${seed}`));
  const service = random.pick(scene.services).name;
  const atS = 1 + random.unit() * 4;
  const brittle: SceneFaultSpec = {
    kind: 'brittleServers',
    atS,
    forS: 8 + random.unit() * (scene.lengthS - atS - 8),
    service,
    rejectionsPerSecond: random.whole(2, 12),
    queueAfterS: 3,
    queue: random.whole(0, 3),
    downS: 1 + random.unit() * 5,
  };
  const others = Array.from({ length: random.whole(0, MAX_OTHER_FAULTS) }, () =>
    generateOtherFault(random, scene),
  );
  const callers = {
    ...scene.callers,
    perSecond: scene.callers.perSecond * (0.4 + random.unit() * 1.2),
    clump: random.pick(CLUMPS),
  };
  return { ...scene, callers, faults: [brittle, ...others] };
}

function generateOtherFault(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 6);
  const forS = 1 + random.unit() * 6;
  const downS = 0.3 + random.unit() * 3;
  const kinds: readonly SceneFaultSpec[] = [
    { kind: 'killBoxes', atS, share: 0.3 + random.unit() * 0.7, downS },
    { kind: 'rollBoxes', atS, share: 1, gapS: 1 + random.unit() * 4 },
    { kind: 'cutZone', atS, forS, zone: random.pick(scene.zones) },
    { kind: 'storeAway', atS, forS },
    { kind: 'burst', atS, forS, factor: 1.5 + random.unit(), class: undefined },
    { kind: 'addBoxes', atS, perZone: 1 },
  ];
  return random.pick(kinds);
}
