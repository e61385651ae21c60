/** Injects faults into a dev cluster, also through an HTTP server. */
import { startJsonServer, type RunningServer } from 'reedlug-standins';
import { parseFault, type DevFault } from './devFaults.js';
import { findRunningBox, killBox, removeServer, type Cluster } from './devMembers.js';

/** Starts an HTTP server that injects faults and reports the runs of the plain services. */
export function startFaultServer(cluster: Cluster): Promise<RunningServer> {
  const injectChecked = async (body: unknown): Promise<{ status: number; value: unknown }> => {
    const parsed = parseFault(body);
    if ('faults' in parsed) return { status: 400, value: parsed };
    await injectFault(cluster, parsed.fault);
    return { status: 200, value: { thrown: parsed.fault } };
  };
  const handle = ({ body }: { body: unknown }) => injectChecked(body);
  return startJsonServer(
    [
      { method: 'POST', path: '/', handle },
      { method: 'POST', path: '/faults', handle },
      { method: 'GET', path: '/runs', handle: () => ({ status: 200, value: countRuns(cluster) }) },
    ],
    0,
  );
}

/** Returns how often each non-repeatable request was run by the plain services. */
function countRuns(cluster: Cluster): Record<string, number> {
  const runs: Record<string, number> = {};
  for (const server of cluster.servers.values()) {
    if (server.kind !== 'service') continue;
    for (const [ref, count] of server.running.runs) runs[ref] = (runs[ref] ?? 0) + count;
  }
  return runs;
}

/** Injects a fault, or ends it if `on` is false. */
export async function injectFault(cluster: Cluster, fault: DevFault): Promise<void> {
  cluster.logger('faultThrown', { kind: fault.kind });
  const { faults } = cluster.platform;
  switch (fault.kind) {
    case 'reclaimZone':
      for (const server of cluster.servers.values()) {
        const { zone, reclaimable, id } = server.spec;
        if (zone === fault.zone && reclaimable) reclaimServer(cluster, id, fault.noticeMs);
      }
      return;
    case 'reclaimServer':
      return reclaimServer(cluster, fault.server, fault.noticeMs);
    case 'killServer':
      return removeServer(cluster, fault.server);
    case 'stallServer':
      cluster.servers.get(fault.server)?.running.stall(fault.forMs);
      return;
    case 'refuseStarts':
      faults.refuseStarts = fault.on;
      return;
    case 'tableDown':
      faults.tableDown = fault.on;
      return;
    case 'tableSlow':
      faults.tableSlowMs = fault.byMs;
      return;
    case 'loseAnswers':
      faults.answersToLose = fault.count;
      return;
    case 'cutPlatform':
      if (fault.on) cluster.zonesWithoutPlatform.add(fault.zone);
      else cluster.zonesWithoutPlatform.delete(fault.zone);
      return;
    case 'cutZones':
      return partitionZones(cluster, fault.zones, fault.on);
    case 'stopBox':
      findRunningBox(cluster, fault.box)?.daemon.emit({ type: 'stopAsked' });
      return;
    case 'killBox':
      return killBox(cluster, fault.box);
    case 'reclaimBox':
      return reclaimBox(cluster, fault.box, fault.noticeMs);
  }
}

function schedule(cluster: Cluster, delayMs: number, run: () => void): void {
  const timer = setTimeout(() => {
    cluster.timers.delete(timer);
    run();
  }, delayMs);
  cluster.timers.add(timer);
}

function reclaimServer(cluster: Cluster, serverId: string, noticeMs: number): void {
  const server = cluster.servers.get(serverId);
  if (server === undefined) return;
  server.leaving = true;
  server.running.drain();
  cluster.platform.notice(serverId, server.incarnation, noticeMs);
  schedule(cluster, noticeMs, () => void removeServer(cluster, serverId));
}

function reclaimBox(cluster: Cluster, boxId: string, noticeMs: number): void {
  const box = findRunningBox(cluster, boxId);
  if (box === undefined) return;
  cluster.platform.notice(boxId, box.daemon.state.settings.incarnation, noticeMs);
  schedule(cluster, noticeMs, () => void killBox(cluster, boxId));
}

function partitionZones(cluster: Cluster, zones: readonly [string, string], on: boolean): void {
  const [a, b] = zones;
  for (const pair of [`${a}|${b}`, `${b}|${a}`]) {
    if (on) cluster.cutZones.add(pair);
    else cluster.cutZones.delete(pair);
  }
}
