/** Runs a scene with one seed. */
import {
  LimitUnit,
  RouteKind,
  type Configuration,
  type RouteSpec,
  type ServiceSpec,
  type WorkspaceSpec,
} from 'reedlug-gateway';
import { createEventQueue, createRandom } from 'reedlug-standins';
import { boxSpecsOf } from './boxes/boxSpecs.js';
import { startBox } from './boxes/startBox.js';
import { startCallers } from './callers/callers.js';
import {
  keyOf,
  meanUnits,
  pathOf,
  SCENE_HOST,
  workspaceName,
  workspaceShares,
} from './callers/generateRequest.js';
import { scheduleFaults } from './faults/applyFaults.js';
import { watchDutyLease } from './report/dutyChecks.js';
import { createSceneRecord, type LogLine } from './report/sceneRecord.js';
import { checkLeftWork } from './report/leftWork.js';
import { buildReport, type SceneReport } from './report/sceneReport.js';
import type { Scene, SceneService } from './scene/scene.js';
import { recordRunningServers, startServers } from './servers/virtualServers.js';
import { createVirtualStore } from './store/createVirtualStore.js';
import type { World } from './world.js';

/** Time after the last caller in which answers may still arrive, in s; about the longest deadline. */
const ANSWER_TAIL_S = 16;
/** Time within which the boxes start, in ms. */
const START_SPREAD_MS = 300;

/** Runs a scene to its end. */
export async function runScene(
  scene: Scene,
  seed: number,
  onLog: (line: LogLine) => void = () => undefined,
): Promise<SceneReport> {
  const world = createWorld(scene, seed);
  world.record.onLog = onLog;
  const specs = boxSpecsOf(scene.zones, scene.boxesPerZone, scene.largerBoxesPerZone);
  for (const { id, host } of specs) world.boxIdByHost.set(host, id);
  world.store.putConfiguration(world.configuration);
  startServers(world);
  for (const spec of specs) {
    world.queue.at(world.random.unit() * START_SPREAD_MS, () => startBox(world, spec, 1));
  }
  startCallers(world, scheduleFaults(world, specs));
  watchDutyLease(world);
  const endsAtMs = (scene.leadS + scene.lengthS) * 1000;
  await runUntil(world, endsAtMs);
  recordRunningServers(world);
  const { engineSeconds } = world.record;
  const cost = { ...engineSeconds };
  await runUntil(world, endsAtMs + ANSWER_TAIL_S * 1000);
  checkLeftWork(world);
  world.record.engineSeconds = cost;
  return buildReport(world, seed);
}

function createWorld(scene: Scene, seed: number): World {
  const workspaces = workspacesOf(scene);
  const world: World = {
    scene,
    random: createRandom(seed),
    queue: createEventQueue(),
    boxes: new Map(),
    servers: new Map(),
    store: createVirtualStore(() => world),
    record: createSceneRecord(),
    cutZones: new Set(),
    lastPartitionEndedAtMs: Number.NEGATIVE_INFINITY,
    partitions: [],
    brittlePeriods: [],
    failShare: 0,
    throwShare: 0,
    breakShare: 0,
    storeUnstableUntilMs: 0,
    rollouts: [],
    outOfCapacityUntilMs: 0,
    workspaces,
    configuration: configurationOf(scene, workspaces),
    limitPeriods: [{ fromMs: 0, factor: 1 }],
    boxIdByHost: new Map(),
    booting: new Map(),
    numbers: { servers: 0, engines: 0, runs: 0, requests: 0, versions: 0 },
    hasResolvedPromise: false,
  };
  return world;
}

/** Runs events in the order of their time; continuations of a resolved Promise run before the next event. */
async function runUntil(world: World, untilMs: number): Promise<void> {
  while (world.queue.runNext(untilMs)) {
    if (!world.hasResolvedPromise) continue;
    world.hasResolvedPromise = false;
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Returns the workspaces; each limit is a multiple of the usual units, with a burst of one second. */
function workspacesOf(scene: Scene): WorkspaceSpec[] {
  const { limitOverUsual, plainTokens } = scene.workspaces;
  const unitsPerSecond = meanUnits(scene) * scene.callers.perSecond;
  return workspaceShares(scene.workspaces).map((share, index) => {
    const ratePerSecond = Math.round(unitsPerSecond * share * limitOverUsual);
    return {
      name: workspaceName(index),
      keys: [keyOf(workspaceName(index))],
      priority: undefined,
      unit: LimitUnit.tokens,
      plainTokens,
      ratePerSecond,
      burst: ratePerSecond,
    };
  });
}

function configurationOf(scene: Scene, workspaces: readonly WorkspaceSpec[]): Configuration {
  const kinds = {
    repeatable: RouteKind.repeatable,
    nonRepeatable: RouteKind.nonRepeatable,
    stream: RouteKind.stream,
  } as const;
  const routes = scene.classes.map((spec): RouteSpec => ({
    name: spec.name,
    host: SCENE_HOST,
    pathPrefix: pathOf(spec.name),
    kind: kinds[spec.kind],
    timeoutMs: spec.deadlineMs,
    targetMs: spec.targetMs,
    gapTargetMs: spec.gapTargetMs,
    priority: spec.priority,
    targets: [{ service: spec.service, weight: 1 }],
    maxAttempts: spec.maxAttempts,
    isPublic: false,
    resumable: spec.resumable,
  }));
  return {
    version: 1,
    routes,
    services: scene.services.map((service) => serviceOf(scene, service)),
    workspaces,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

function serviceOf(scene: Scene, service: SceneService): ServiceSpec {
  const { name } = service;
  if (service.kind === 'plain') {
    return { name, maxConnections: 1200, engine: undefined, scaling: undefined };
  }
  const { slots, kvTokens } = service.engine;
  const { zones, zonePrices } = scene;
  return {
    name,
    maxConnections: 1400,
    engine: { slots, kvCapacityTokens: kvTokens },
    scaling: {
      minPerZone: 1,
      maxPerZone: service.maxPerZone,
      bootMs: service.bootMs,
      reclaimablePriceShare: service.reclaimablePriceShare,
      zonePrices: zones.map((zone, index) => ({
        zone,
        price: zonePrices[index % zonePrices.length] ?? 1,
      })),
    },
  };
}
