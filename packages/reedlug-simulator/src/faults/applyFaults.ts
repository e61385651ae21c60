/** Schedules and applies the faults of a scene. */
import type { BoxSpec, VirtualBox } from '../boxes/virtualBox.js';
import { killBox } from '../boxes/killBox.js';
import { startBox } from '../boxes/startBox.js';
import type { LoadChanges } from '../callers/callers.js';
import type { SceneFaultSpec } from '../scene/scene.js';
import {
  drainServer,
  endServer,
  restartServer,
  silenceServer,
  acceptsNewWork,
} from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { boxSpecsOf } from '../boxes/boxSpecs.js';
import { StoreOutage } from '../store/virtualStore.js';
import { recordDutyOutage } from '../report/dutyChecks.js';
import { later, PROPAGATION_MS, type World } from '../world.js';
import { startBrittlePeriod } from './brittleServers.js';
import { changeLimits } from './changeLimits.js';
import { restoreStore } from './restoreStore.js';
import { sendCrashingRequests } from './crashingRequests.js';
import { limitServers } from './limitedServers.js';
import { endVersion, mixVersions, nextVersionName, swapVersion } from './softwareVersions.js';
import { announceDraining, leaveUnheard, refuseRequests } from './serverStatements.js';
import { startRollout } from './rollouts.js';

/** Delay before a stopped process starts again, in ms. */
const RESTART_DELAY_MS = 100;
/** Interval between checks whether a box has stopped as planned, in ms. */
const STOP_POLL_INTERVAL_MS = 100;

type FaultOf<K extends SceneFaultSpec['kind']> = Extract<SceneFaultSpec, { kind: K }>;

/** Schedules every fault of a scene; returns how the active faults change the load. */
export function scheduleFaults(world: World, specs: readonly BoxSpec[]): LoadChanges {
  const active = new Set<SceneFaultSpec>();
  const firstAtMs = world.scene.leadS * 1000;
  for (const fault of world.scene.faults) {
    world.queue.at(firstAtMs + fault.atS * 1000, () => {
      active.add(fault);
      if ('forS' in fault) later(world, fault.forS * 1000, () => active.delete(fault));
      applyFault(world, fault, specs);
    });
  }
  const ofKind = <K extends SceneFaultSpec['kind']>(kind: K): FaultOf<K>[] =>
    [...active].filter((fault): fault is FaultOf<K> => fault.kind === kind);
  return {
    factorOf: (className) =>
      ofKind('burst').reduce(
        (factor, burst) =>
          burst.class === undefined || burst.class === className ? factor * burst.factor : factor,
        1,
      ),
    get hotFactor() {
      return ofKind('hotWorkspace').reduce((factor, hot) => factor * hot.factor, 1);
    },
    get leaveShare() {
      return Math.max(0, ...ofKind('callersLeave').map(({ share }) => share));
    },
  };
}

function applyFault(world: World, fault: SceneFaultSpec, specs: readonly BoxSpec[]): void {
  switch (fault.kind) {
    case 'killBoxes':
      return killBoxes(world, fault, specs);
    case 'rollBoxes':
      return rollBoxes(world, fault, specs);
    case 'cutZone': {
      world.cutZones.add(fault.zone);
      recordDutyOutage(world, fault.forS * 1000);
      const partition: World['partitions'][number] = {
        fromMs: world.queue.nowMs(),
        toMs: undefined,
      };
      world.partitions.push(partition);
      return later(world, fault.forS * 1000, () => {
        world.cutZones.delete(fault.zone);
        partition.toMs = world.queue.nowMs();
        world.lastPartitionEndedAtMs = world.queue.nowMs();
      });
    }
    case 'reclaimZone':
      return reclaimZone(world, fault);
    case 'crashEngines':
      return crashEngines(world, fault);
    case 'restartEngines':
      return restartEngines(world, fault);
    case 'endingRequests':
      return sendCrashingRequests(world, fault);
    case 'limitServers':
      return limitServers(world, fault, pickReadyServers(world, fault));
    case 'leaveServers':
      return announceDraining(world, fault, pickReadyServers(world, fault));
    case 'leaveUnheard':
      return leaveUnheard(world, fault, pickReadyServers(world, fault));
    case 'restServers':
      return refuseRequests(world, fault, pickReadyServers(world, fault));
    case 'brittleServers':
      return startBrittlePeriod(world, fault);
    case 'mixVersions':
      return mixVersions(world, pickReadyServers(world, fault));
    case 'swapVersion':
      return swapVersion(world, fault, pickReadyServers(world, fault));
    case 'endVersion':
      return endVersion(world, fault);
    case 'breakStreams': {
      world.breakShare = fault.share;
      return later(world, fault.forS * 1000, () => {
        world.breakShare = 0;
      });
    }
    case 'failRequests': {
      world.failShare = fault.share;
      return later(world, fault.forS * 1000, () => {
        world.failShare = 0;
      });
    }
    case 'throwExceptions': {
      world.throwShare = fault.share;
      return later(world, fault.forS * 1000, () => {
        world.throwShare = 0;
      });
    }
    case 'storeAway': {
      world.store.setOutage(StoreOutage.silent);
      recordUnstableStore(world, fault.forS);
      recordDutyOutage(world, fault.forS * 1000);
      return later(world, fault.forS * 1000, () => {
        world.store.setOutage(undefined);
      });
    }
    case 'copyStore':
      recordUnstableStore(world, fault.awayS + fault.againWithinS);
      return restoreStore(world, fault);
    case 'rollout':
      return startRollout(world, fault);
    case 'changeLimits':
      return changeLimits(world, fault.factor);
    case 'addBoxes':
      return addBoxes(world, fault.perZone);
    // These only change the load while they are active.
    case 'burst':
    case 'hotWorkspace':
    case 'callersLeave':
      return;
  }
}

/** Records that the store is away, and that boxes may not have heard of it for a while after. */
function recordUnstableStore(world: World, forS: number): void {
  const untilMs = world.queue.nowMs() + forS * 1000 + PROPAGATION_MS;
  world.storeUnstableUntilMs = Math.max(world.storeUnstableUntilMs, untilMs);
}

/** Starts boxes with new ids and hosts. */
function addBoxes(world: World, perZone: number): void {
  const { zones, boxesPerZone } = world.scene;
  const known = new Set(world.boxIdByHost.values());
  for (const spec of boxSpecsOf(zones, boxesPerZone + perZone)) {
    if (known.has(spec.id)) continue;
    world.boxIdByHost.set(spec.host, spec.id);
    startBox(world, spec, 1);
  }
}

/** Picks a random share of a service's servers that are not draining. */
function pickReadyServers(
  world: World,
  { service, share }: { service: string; share: number },
): VirtualServer[] {
  const ready = [...world.servers.values()].filter(
    (server) => server.entry.service === service && acceptsNewWork(server),
  );
  return pickShare(world, ready, share);
}

/** Picks a share of the items, in random order. */
function pickShare<T>(world: World, items: readonly T[], share: number): T[] {
  const left = [...items];
  const picked: T[] = [];
  const wanted = Math.round(items.length * share);
  while (picked.length < wanted) {
    picked.push(...left.splice(world.random.whole(0, left.length - 1), 1));
  }
  return picked;
}

function killBoxes(world: World, fault: FaultOf<'killBoxes'>, specs: readonly BoxSpec[]): void {
  recordDutyOutage(world, fault.downS * 1000 + world.scene.boxStartMs);
  for (const spec of pickShare(world, specs, fault.share)) {
    const box = world.boxes.get(spec.id);
    if (box === undefined) continue;
    killBox(world, box, false);
    later(world, fault.downS * 1000, () => restartBox(world, spec, box));
  }
}

/** Restarts a box once, even if two faults have killed the same process. */
function restartBox(world: World, spec: BoxSpec, before: VirtualBox): void {
  if (world.boxes.get(spec.id) !== before) return;
  startBox(world, spec, before.incarnation + 1);
}

/** Stops and starts boxes in turn, as in a release of the gateway itself. */
function rollBoxes(world: World, fault: FaultOf<'rollBoxes'>, specs: readonly BoxSpec[]): void {
  const chosen = pickShare(world, specs, fault.share);
  recordDutyOutage(world, fault.gapS * 1000 + world.scene.bounds.graceMs);
  chosen.forEach((spec, index) => {
    later(world, (index * fault.gapS * 1000) / chosen.length, () => {
      const box = world.boxes.get(spec.id);
      if (box?.isAlive !== true) return;
      box.emit({ type: 'stopAsked' });
      awaitStop(world, box, () => restartBox(world, spec, box));
    });
  });
}

function awaitStop(world: World, box: VirtualBox, then: () => void): void {
  if (!box.isAlive) return later(world, RESTART_DELAY_MS, then);
  later(world, STOP_POLL_INTERVAL_MS, () => awaitStop(world, box, then));
}

function enginesWhere(world: World, matches: (server: VirtualServer) => boolean): VirtualServer[] {
  return [...world.servers.values()].filter(
    (server) => server.work.kind === 'engine' && !server.isSilent && matches(server),
  );
}

/** Reclaims all reclaimable engines of a zone, by default the zone with the most; none can be ordered for a while. */
function reclaimZone(world: World, fault: FaultOf<'reclaimZone'>): void {
  const reclaimable = enginesWhere(
    world,
    (server) => server.entry.reclaimable && acceptsNewWork(server),
  );
  const countOf = (zone: string): number =>
    reclaimable.filter(({ entry }) => entry.zone === zone).length;
  const fullest = [...world.scene.zones].sort((a, b) => countOf(b) - countOf(a))[0];
  const zone = fault.zone ?? fullest;
  for (const server of reclaimable) {
    if (server.entry.zone === zone) drainServer(world, server, fault.noticeS * 1000);
  }
  const outOfCapacityUntilMs = world.queue.nowMs() + fault.dryS * 1000;
  world.outOfCapacityUntilMs = Math.max(world.outOfCapacityUntilMs, outOfCapacityUntilMs);
}

function restartEngines(world: World, fault: FaultOf<'restartEngines'>): void {
  const engines = enginesWhere(world, acceptsNewWork);
  for (const server of pickShare(world, engines, fault.share)) {
    const version = fault.newVersion === true ? nextVersionName(world) : undefined;
    restartServer(world, server, fault.downS * 1000, fault.tellsBirth, version);
  }
}

function crashEngines(world: World, fault: FaultOf<'crashEngines'>): void {
  const engines = enginesWhere(world, acceptsNewWork);
  for (const server of pickShare(world, engines, fault.share)) {
    if (fault.silent) silenceServer(world, server);
    else endServer(world, server);
  }
}
