/** Simulates callers: when they arrive, and the requests that they send. */
import type { SceneClass } from '../scene/scene.js';
import { recordRequest } from '../report/requestRecord.js';
import { later, nowMs, nextNumber, type World } from '../world.js';
import {
  generateRequest,
  generateSharedParts,
  workspaceName,
  workspaceShares,
  type SharedParts,
} from './generateRequest.js';
import { checkBoxes } from './loadBalancer.js';
import { createRequest, sendTry } from './callerTries.js';

/** How the active faults change the load. */
export interface LoadChanges {
  /** Returns the factor on the rate of a class. */
  factorOf: (className: string) => number;
  /** Factor on the first workspace's share. */
  hotFactor: number;
  /** Share of callers that leave early. */
  leaveShare: number;
}

/** Starts the load balancer and the callers of every zone. */
export function startCallers(world: World, changes: LoadChanges): void {
  checkBoxes(world);
  const shared = generateSharedParts(world.scene, world.random);
  const firstAtMs = world.scene.leadS * 1000;
  for (const zone of world.scene.zones) {
    world.queue.at(firstAtMs, () => startClump(world, { zone, shared, changes }));
  }
}

interface ZoneCallers {
  zone: string;
  shared: SharedParts;
  changes: LoadChanges;
}

/** Starts a clump of callers, and schedules the next one. */
function startClump(world: World, callers: ZoneCallers): void {
  const { scene, random } = world;
  const trafficS = nowMs(world) / 1000 - scene.leadS;
  if (trafficS >= scene.lengthS) return;
  const { perSecond, clump, swing, swingPeriodS } = scene.callers;
  const wave = 1 + swing * Math.sin((2 * Math.PI * trafficS) / swingPeriodS);
  const classes = weightedClasses(world, callers.changes);
  const factor = classes.total / classes.usual;
  const ratePerMs = (perSecond * wave * factor) / scene.zones.length / 1000;
  const size = clump <= 1 ? 1 : 1 + Math.floor(random.exponential(clump - 1) + 0.5);
  for (let index = 0; index < size; index += 1)
    startRequest(world, callers, pickClass(world, classes));
  later(world, random.exponential(clump / ratePerMs), () => startClump(world, callers));
}

interface WeightedClasses {
  weights: number[];
  total: number;
  usual: number;
}

function weightedClasses(world: World, changes: LoadChanges): WeightedClasses {
  const { classes } = world.scene;
  const weights = classes.map(({ name, weight }) => weight * changes.factorOf(name));
  const sum = (numbers: readonly number[]): number => numbers.reduce((a, b) => a + b, 0);
  return { weights, total: sum(weights), usual: sum(classes.map(({ weight }) => weight)) };
}

function pickClass(world: World, { weights, total }: WeightedClasses): SceneClass {
  return world.scene.classes[pickIndex(world, weights, total)] as SceneClass;
}

function pickIndex(world: World, weights: readonly number[], total: number): number {
  let point = world.random.unit() * total;
  for (const [index, weight] of weights.entries()) {
    point -= weight;
    if (point < 0) return index;
  }
  return weights.length - 1;
}

/** Generates a request and sends its first try. */
function startRequest(world: World, callers: ZoneCallers, spec: SceneClass): void {
  const { changes, zone, shared } = callers;
  const shares = workspaceShares(world.scene.workspaces);
  shares[0] = (shares[0] ?? 0) * changes.hotFactor;
  const total = shares.reduce((sum, share) => sum + share, 0);
  const workspace = workspaceName(pickIndex(world, shares, total));
  const number = nextNumber(world, 'requests');
  const generated = generateRequest(world.scene, world.random, { spec, shared, workspace, number });
  const request = createRequest(world, { ...generated, spec, zone, workspace });
  request.leavesEarly = changes.leaveShare > 0 && world.random.chance(changes.leaveShare);
  if (request.leavesEarly) {
    request.deadlineAtMs = nowMs(world) + world.random.unit() * spec.targetMs;
  }
  recordRequest(world, request);
  sendTry(world, request);
}
