/** Generates scenes from a seed: servers that state limits, and other faults around them. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Minimum and maximum number of faults in which servers state limits, and of other faults. */
const LIMIT_STATEMENTS_PER_SCENE = { least: 1, most: 3 };
const OTHER_FAULTS_PER_SCENE = { least: 0, most: 3 };
/** Limits that servers state, in requests per second. */
const LIMITS_PER_SECOND: readonly number[] = [0, 0.1, 0.4, 1, 1.2, 3, 8, 50];

/** Replaces a scene's faults with generated ones. */
export function generateServerLimits(scene: Scene, seed: number): Scene {
  const random = createRandom(hashString(`server limits ${seed}`));
  const generateList = <T>(bounds: { least: number; most: number }, generateOne: () => T): T[] =>
    Array.from({ length: random.whole(bounds.least, bounds.most) }, generateOne);
  const limitStatements = generateList(LIMIT_STATEMENTS_PER_SCENE, () =>
    generateLimitStatement(random, scene),
  );
  const others = generateList(OTHER_FAULTS_PER_SCENE, () => generateFault(random, scene));
  return { ...scene, faults: [...limitStatements, ...others] };
}

function generateLimitStatement(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 10);
  const service = scene.services[random.whole(0, scene.services.length - 1)]?.name ?? '';
  return {
    kind: 'limitServers',
    atS,
    forS: 5 + random.unit() * (scene.lengthS - atS - 5),
    service,
    share: random.chance(0.2) ? 1 : 0.1 + random.unit() * 0.5,
    perSecond: random.pick(LIMITS_PER_SECOND),
    thenPerSecond: random.chance(0.4) ? random.pick(LIMITS_PER_SECOND) : undefined,
    turnsDown: random.chance(0.3),
  };
}

/** Generates a fault that may occur together with statements of servers. */
export function generateFault(random: Random, scene: Scene): SceneFaultSpec {
  const atS = 1 + random.unit() * (scene.lengthS - 6);
  const forS = 1 + random.unit() * 8;
  const zone = random.pick(scene.zones);
  const downS = 0.3 + random.unit() * 3;
  const tellsBirth = random.chance(0.8);
  const streams = scene.classes.filter(({ kind }) => kind === 'stream').map(({ name }) => name);
  const kinds: readonly SceneFaultSpec[] = [
    { kind: 'killBoxes', atS, share: 0.3 + random.unit() * 0.7, downS },
    { kind: 'killBoxes', atS, share: 0.3, downS },
    { kind: 'rollBoxes', atS, share: 1, gapS: 1 + random.unit() * 4 },
    { kind: 'cutZone', atS, forS, zone },
    { kind: 'storeAway', atS, forS },
    { kind: 'failRequests', atS, forS, share: 0.1 + random.unit() * 0.4 },
    { kind: 'restartEngines', atS, share: 0.34, downS, tellsBirth },
    { kind: 'crashEngines', atS, share: 0.3, silent: random.chance(0.5) },
    { kind: 'hotWorkspace', atS, forS, factor: 2 + random.unit() * 6 },
    { kind: 'burst', atS, forS, factor: 1.5 + random.unit(), class: undefined },
    { kind: 'addBoxes', atS, perZone: 1 },
    {
      kind: 'endingRequests',
      atS,
      forS,
      class: random.pick(streams),
      count: 1,
      copies: 1,
      everyMs: 600,
      runMs: 60,
      downS: 2,
      tellsBirth,
    },
    {
      kind: 'rollout',
      atS,
      service: scene.services[0]?.name ?? '',
      durationS: 15,
      startS: 3,
      failShare: random.chance(0.5) ? 0.4 : 0,
      slowFactor: 1,
      badFromS: 0,
      badFromOpen: 0,
    },
  ];
  return random.pick(kinds);
}
