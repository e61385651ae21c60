/** Generates roll-outs from a seed: the service, whether and how its new version is bad, and a concurrent fault. */
import { hashString } from 'reedlug-coordination';
import { createRandom, type Random } from 'reedlug-standins';
import { isBadVersion } from '../faults/rollouts.js';
import type { Scene, SceneFaultSpec } from './scene.js';

/** Time of the order, in s after the first caller. */
const ORDERED_AT_S = 2;
/** Shortest and longest duration of a roll-out, in s. */
const DURATION_S = { least: 10, most: 18 };

type RolloutSpec = Extract<SceneFaultSpec, { kind: 'rollout' }>;
type VersionFault = Pick<
  RolloutSpec,
  'failShare' | 'slowFactor' | 'badFromS' | 'badFromOpen' | 'class'
>;

/** A generated roll-out. */
export interface GeneratedRollout {
  scene: Scene;
  isBad: boolean;
  /** Describes the fault of the version and the concurrent fault, for the report. */
  label: string;
}

/** Replaces a scene's faults with a generated roll-out; `withExtraFault` adds a concurrent fault. */
export function generateRollout(
  scene: Scene,
  seed: number,
  withExtraFault: boolean,
): GeneratedRollout {
  // The seed is hashed because consecutive seeds start with similar random numbers.
  const random = createRandom(hashString(`rollout ${seed}`));
  const service = pick(random, scene.services).name;
  const durationS = random.whole(DURATION_S.least, DURATION_S.most);
  const versionFault = generateVersionFault(random, scene, service, durationS);
  const rollout: RolloutSpec = {
    kind: 'rollout',
    atS: ORDERED_AT_S,
    service,
    durationS,
    startS: 1 + random.unit() * 4,
    ...versionFault.spec,
  };
  const extraFault = withExtraFault ? generateExtraFault(random, scene, durationS) : undefined;
  const faults = extraFault === undefined ? [rollout] : [rollout, extraFault];
  return {
    scene: { ...scene, faults },
    isBad: isBadVersion(rollout),
    label: `${service} ${durationS}s ${versionFault.name}${extraFault === undefined ? '' : ` ${extraFault.kind}`}`,
  };
}

function pick<T>(random: Random, choices: readonly T[]): T {
  const choice = choices[random.whole(0, choices.length - 1)];
  if (choice === undefined) throw new Error('cannot pick from an empty list');
  return choice;
}

/** Returns a good version in half of the cases, a bad one otherwise. */
function generateVersionFault(
  random: Random,
  scene: Scene,
  service: string,
  durationS: number,
): { name: string; spec: VersionFault } {
  const good: VersionFault = { failShare: 0, slowFactor: 1, badFromS: 0, badFromOpen: 0 };
  const failShare = 0.2 + random.unit() * 0.5;
  const slowFactor = 4 + random.unit() * 4;
  const routes = scene.classes.filter((spec) => spec.service === service);
  const bad = [
    { name: 'fails', spec: { ...good, failShare } },
    { name: 'slow', spec: { ...good, slowFactor } },
    { name: 'failsLater', spec: { ...good, failShare, badFromS: durationS * 0.6 } },
    { name: 'slowLater', spec: { ...good, slowFactor, badFromS: durationS * 0.6 } },
    { name: 'failsUnderLoad', spec: { ...good, failShare, badFromOpen: 2 } },
    { name: 'failsOneRoute', spec: { ...good, failShare, class: pick(random, routes).name } },
  ];
  return random.chance(0.5) ? { name: 'sound', spec: good } : pick(random, bad);
}

function generateExtraFault(random: Random, scene: Scene, durationS: number): SceneFaultSpec {
  const atS = ORDERED_AT_S + random.unit() * durationS;
  const zone = pick(random, scene.zones);
  return pick<SceneFaultSpec>(random, [
    { kind: 'killBoxes', atS, share: 0.3, downS: 0.6 },
    { kind: 'killBoxes', atS, share: 1, downS: 0.6 },
    { kind: 'cutZone', atS, forS: 5, zone },
    { kind: 'storeAway', atS, forS: 4 },
    { kind: 'reclaimZone', atS, noticeS: 2.5, dryS: 12 },
    { kind: 'crashEngines', atS, share: 0.15, silent: random.chance(0.5) },
    { kind: 'failRequests', atS, forS: 4, share: 0.3 },
    { kind: 'burst', atS, forS: 4, factor: 1.7 },
  ]);
}
