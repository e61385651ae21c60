/** Orders of engines and usage reports, as the cloud executes them. */
import type { CloudCall, CloudOutcome } from 'reedlug-gateway';
import { recordDutyCall } from '../report/dutyChecks.js';
import { recordEngineTime } from '../report/engineRecord.js';
import { later, nowMs, type World } from '../world.js';
import {
  acceptsNewWork,
  currentVersion,
  MIXED_VERSION_PREFIX,
  drainServer,
  startEngine,
} from './virtualServers.js';
import type { VirtualServer } from './virtualServer.js';

/**
 * Returns the engines of one kind in a zone that are not draining, without those of a roll-out in
 * progress, which orders do not count.
 */
function enginesOf(
  world: World,
  params: { service: string; zone: string; reclaimable: boolean },
): VirtualServer[] {
  return [...world.servers.values()].filter(
    (server) =>
      server.entry.service === params.service &&
      server.entry.zone === params.zone &&
      server.entry.reclaimable === params.reclaimable &&
      isOrderedVersion(world, params.service, server.entry.version) &&
      acceptsNewWork(server),
  );
}

/** Whether orders count engines of a version: the current one, and those that came without a roll-out. */
function isOrderedVersion(world: World, service: string, version: string | undefined): boolean {
  if (version === currentVersion(world, service)) return true;
  return version?.startsWith(MIXED_VERSION_PREFIX) === true;
}

/**
 * Returns the number of ordered engines of one kind in a zone that are still booting, in an object
 * that callers update.
 */
function bootingOf(
  world: World,
  { service, zone, reclaimable }: { service: string; zone: string; reclaimable: boolean },
): { booting: number } {
  const key = `${service} ${zone} ${String(reclaimable)}`;
  const known = world.booting.get(key) ?? { booting: 0 };
  world.booting.set(key, known);
  return known;
}

/** Executes an order of engines or accepts a usage report. */
export function handleCloudCall(
  world: World,
  request: { call: CloudCall; holder: string; fence: number },
): CloudOutcome {
  const { call } = request;
  if (recordDutyCall(world, request) === 'fenced') return 'fenced';
  if (call.kind === 'reportUsage') return 'done';
  const service = world.scene.services.find(({ name }) => name === call.service);
  if (service?.kind !== 'engines') return 'refused';
  world.record.orders += 1;
  const ordered = bootingOf(world, call);
  const existing = enginesOf(world, call);
  const missing = call.wanted - existing.length - ordered.booting;
  if (missing <= 0) {
    // The engines that started last drain first.
    for (const server of existing.slice(call.wanted)) drainServer(world, server, 0);
    return 'done';
  }
  if (call.reclaimable && nowMs(world) < world.outOfCapacityUntilMs) return 'refused';
  ordered.booting += missing;
  for (let index = 0; index < missing; index += 1) {
    const orderedAtMs = nowMs(world);
    later(world, service.bootMs, () => {
      ordered.booting -= 1;
      recordEngineTime(world, call, nowMs(world) - orderedAtMs);
      startEngine(world, service, call.zone, call.reclaimable);
    });
  }
  return 'done';
}
