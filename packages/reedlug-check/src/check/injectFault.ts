/** Injects a planned fault into a world, and reverts it when its duration has passed. */
import { killBox, restartBox, reclaimServer, reclaimZone, endServer } from '../world/faults.js';
import { emit } from '../world/emit.js';
import { addServer } from '../world/world.js';
import type { World, WorldServer } from '../world/worldTypes.js';
import { elementAtFraction, zoneAtFraction, FaultKind, type PlannedFault } from './checkPlan.js';

/** Shortest notice of a reclaim, in ms. */
const MIN_NOTICE_MS = 1000;
const RESTART_DELAY_MS = 1500;
const LOST_ANSWER_SHARE = 0.5;
const STALE_LIST_LAG_MS = 8000;
const NORMAL_LIST_LAG_MS = 1000;
/** Notice that a reclaimed box receives, long enough to hand over its requests. */
const BOX_NOTICE_MS = 2500;

/** Injects one fault. */
export function injectFault(world: World, fault: PlannedFault): void {
  const { faults } = world;
  const untilMs = world.queue.nowMs() + fault.durationMs;
  switch (fault.kind) {
    case FaultKind.reclaimServer:
      return withServer(world, fault, isReclaimable, ({ spec }) =>
        reclaimServer(world, spec.id, MIN_NOTICE_MS + fault.durationMs),
      );
    case FaultKind.reclaimZone:
      return reclaimZone(world, zoneAtFraction(fault.target), MIN_NOTICE_MS + fault.durationMs);
    case FaultKind.partialNotice:
      return withServer(world, fault, isReclaimable, ({ spec }) =>
        reclaimServer(world, spec.id, fault.durationMs, () => world.random.chance(0.5)),
      );
    case FaultKind.killServer:
      return withServer(
        world,
        fault,
        () => true,
        (server) => killServer(world, server),
      );
    case FaultKind.stallServer:
      return withServer(
        world,
        fault,
        () => true,
        (server) => {
          server.stalledUntilMs = untilMs;
        },
      );
    case FaultKind.engineChanged:
      return changeEngine(world, fault);
    case FaultKind.refuseStarts:
      faults.refuseStartsUntilMs = untilMs;
      return undefined;
    case FaultKind.killBox:
      return withBox(world, fault, (boxId) => restartBox(world, boxId, RESTART_DELAY_MS));
    case FaultKind.pauseBox:
      return withBox(world, fault, (boxId) => {
        const box = world.boxes.get(boxId);
        if (box !== undefined) box.pausedUntilMs = untilMs;
      });
    case FaultKind.stopBox:
      return withBox(world, fault, (boxId) => stopBox(world, boxId));
    case FaultKind.reclaimBox:
      return withBox(world, fault, (boxId) => reclaimBox(world, boxId));
    case FaultKind.tableDown:
      faults.tableDownUntilMs = untilMs;
      return undefined;
    case FaultKind.tableSlow:
      faults.tableSlowUntilMs = untilMs;
      return undefined;
    case FaultKind.loseAnswers:
      faults.loseAnswers = LOST_ANSWER_SHARE;
      world.queue.at(untilMs, () => {
        faults.loseAnswers = 0;
      });
      return undefined;
    case FaultKind.cutPlatform: {
      const zone = zoneAtFraction(fault.target);
      world.cutFromPlatform.add(zone);
      world.queue.at(untilMs, () => world.cutFromPlatform.delete(zone));
      return undefined;
    }
    case FaultKind.cutZones:
      return partitionZones(
        world,
        zoneAtFraction(fault.target),
        zoneAtFraction(fault.other),
        untilMs,
      );
    case FaultKind.staleList:
      faults.listLagMs = STALE_LIST_LAG_MS;
      world.queue.at(untilMs, () => {
        faults.listLagMs = NORMAL_LIST_LAG_MS;
      });
      return undefined;
  }
}

function isReclaimable({ spec }: WorldServer): boolean {
  return spec.reclaimable;
}

function withServer(
  world: World,
  fault: PlannedFault,
  matches: (server: WorldServer) => boolean,
  run: (server: WorldServer) => void,
): void {
  const servers = [...world.servers.values()].filter((server) => server.alive && matches(server));
  const server = elementAtFraction(servers, fault.target);
  if (server !== undefined) run(server);
}

function withBox(world: World, fault: PlannedFault, run: (boxId: string) => void): void {
  const alive = [...world.boxes].filter(([, box]) => box.alive && box.state.draining === undefined);
  const MIN_ALIVE_BOXES = 2;
  if (alive.length <= MIN_ALIVE_BOXES) return;
  const box = elementAtFraction(alive, fault.target);
  if (box !== undefined) run(box[0]);
}

/** Kills a server. A plain service restarts later as a new incarnation. */
function killServer(world: World, server: WorldServer): void {
  endServer(world, server.spec.id);
  if (server.kind !== 'service') return;
  world.queue.at(world.queue.nowMs() + RESTART_DELAY_MS, () => addServer(world, server.spec));
}

/** Makes an engine serve another model for a while, as if someone else had changed it. */
function changeEngine(world: World, fault: PlannedFault): void {
  const engines = [...world.servers.values()].filter((server) => server.kind === 'engine');
  const engine = elementAtFraction(engines, fault.target);
  if (engine?.kind !== 'engine') return;
  const { model } = engine.model;
  engine.model.model = 'other';
  world.queue.at(world.queue.nowMs() + fault.durationMs, () => {
    engine.model.model = model;
  });
}

function stopBox(world: World, boxId: string): void {
  const box = world.boxes.get(boxId);
  if (box === undefined) return;
  emit(world, box, { type: 'stopAsked' });
  restartWhenDead(world, boxId);
}

function reclaimBox(world: World, boxId: string): void {
  const box = world.boxes.get(boxId);
  if (box === undefined) return;
  const leavesAtMs = world.queue.nowMs() + BOX_NOTICE_MS;
  emit(world, box, { type: 'boxReclaimNoticed', leavesAtMs });
  world.queue.at(leavesAtMs, () => {
    if (world.boxes.get(boxId) === box) killBox(world, boxId);
  });
  restartWhenDead(world, boxId);
}

function restartWhenDead(world: World, boxId: string): void {
  world.queue.at(world.queue.nowMs() + RESTART_DELAY_MS, () => {
    if (world.boxes.get(boxId)?.alive === true) restartWhenDead(world, boxId);
    else restartBox(world, boxId, 0);
  });
}

function partitionZones(world: World, a: string, b: string, untilMs: number): void {
  if (a === b) return;
  const pairs = [`${a}|${b}`, `${b}|${a}`];
  for (const pair of pairs) world.cutZones.add(pair);
  world.queue.at(untilMs, () => {
    for (const pair of pairs) world.cutZones.delete(pair);
  });
}
