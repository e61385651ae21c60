/** Servers that crash when they have to reject too many requests in a second, and the check of how often they do. */
import type { VirtualBox } from '../boxes/virtualBox.js';
import { restartServer } from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { isSynchronized, later, nowMs, type World } from '../world.js';
import type { BrittleFault, BrittlePeriod } from './brittlePeriod.js';

/** Window in which rejections are counted, in ms. */
const WINDOW_MS = 1000;

/** Crashes that the users allow in one such time: a number, and a share of the servers. */
const ALLOWED_CRASHES = 2;

const ALLOWED_CRASHES_SHARE = 0.1;

/** Starts a time in which the servers of a service state that they are brittle; later fewer requests may wait. */
export function startBrittlePeriod(world: World, fault: BrittleFault): void {
  const fromMs = nowMs(world);
  const servers = [...world.servers.values()].filter(
    ({ entry }) => entry.service === fault.service,
  ).length;
  world.brittlePeriods.push({
    fault,
    fromMs,
    toMs: fromMs + fault.forS * 1000,
    servers,
    crashes: 0,
    rejections: new Map(),
  });
}

function periodOf(world: World, server: VirtualServer): BrittlePeriod | undefined {
  return world.brittlePeriods.find(
    ({ fault, fromMs, toMs }) =>
      fault.service === server.entry.service && fromMs <= nowMs(world) && nowMs(world) < toMs,
  );
}

/** Returns what an answer of the server states: rejections a second that it bears; undefined if it is not brittle. */
export function brittleStatementOf(world: World, server: VirtualServer): number | undefined {
  return periodOf(world, server)?.fault.rejectionsPerSecond;
}

/** Whether the server lets no more requests wait because it is brittle. */
export function isQueueShut(world: World, server: VirtualServer): boolean {
  const period = periodOf(world, server);
  if (period === undefined || nowMs(world) < period.fromMs + period.fault.queueAfterS * 1000) {
    return false;
  }
  return server.waiting() >= period.fault.queue;
}

/** Records that a server rejected a request for want of room; too many in a second crash it. */
export function recordRejection(world: World, server: VirtualServer, box: VirtualBox): void {
  const period = periodOf(world, server);
  if (period === undefined) return;
  const { rejectionsPerSecond, queueAfterS, downS } = period.fault;
  if (nowMs(world) < period.fromMs + queueAfterS * 1000) return;
  const recent = (period.rejections.get(server) ?? []).filter(
    ({ atMs }) => atMs > nowMs(world) - WINDOW_MS,
  );
  recent.push({ atMs: nowMs(world), isBound: isSynchronized(world, box) });
  period.rejections.set(server, recent);
  if (recent.length <= rejectionsPerSecond) return;
  period.rejections.delete(server);
  // As guaranteed to the users, a crash counts if most of the rejected requests came from boxes in contact.
  const bound = recent.filter(({ isBound }) => isBound).length;
  if (bound > recent.length / 2) period.crashes += 1;
  // The rejection is sent before the crash.
  later(world, 0, () => restartServer(world, server, downS * 1000, true));
}

/** Returns how often servers crashed in each such time, and how often they may. */
export function brittleRows(world: World): { service: string; crashes: number; allowed: number }[] {
  return world.brittlePeriods.map(({ fault, servers, crashes }) => ({
    service: fault.service,
    crashes,
    allowed: ALLOWED_CRASHES + servers * ALLOWED_CRASHES_SHARE,
  }));
}
