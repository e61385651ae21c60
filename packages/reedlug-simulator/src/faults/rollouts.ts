/**
 * Roll-outs: the operators order one, the platform starts the servers of the new
 * version alongside the old ones and follows the outcome in the roll-out's record.
 */
import { RolloutPhase } from 'reedlug-gateway';
import type { BrokenGuarantee } from '../report/sceneRecord.js';
import { drainServer, endServer, startAlongside } from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { later, nowMs, type World } from '../world.js';
import type { RolloutSpec, RolloutState } from './rolloutState.js';

/** Interval between reads of the record, in ms; short because the platform sees it at once. */
const POLL_INTERVAL_MS = 20;

/** Time from a roll-back until the new servers drain, in ms; specified as "some seconds". */
const DRAIN_DELAY_MS = 3000;

/** Number of bad answers after which boxes must stop sending to the new version, and within how long, in ms. */
const MAX_BAD_ANSWERS = 50;

const STOP_WITHIN_MS = 5000;

/** Orders a roll-out and follows its record. */
export function startRollout(world: World, spec: RolloutSpec): void {
  const rollout: RolloutState = {
    spec,
    version: `v${world.rollouts.length + 2}`,
    orderedAtMs: nowMs(world),
    arrivals: 0,
    trialArrivals: 0,
    badAnswers: 0,
    stopDueAtMs: undefined,
    lastArrivalMs: 0,
    endedAtMs: undefined,
    end: undefined,
  };
  world.rollouts.push(rollout);
  const { service, durationS, startS } = spec;
  const durationMs = durationS * 1000;
  world.store.orderRollout({ service, targetVersion: rollout.version, durationMs });
  later(world, startS * 1000, () => startAlongside(world, service, rollout.version));
  pollRecord(world, rollout);
}

function pollRecord(world: World, rollout: RolloutState): void {
  const record = world.store.rolloutRecord(rollout.spec.service);
  const phase = record?.targetVersion === rollout.version ? record.phase : undefined;
  if (phase !== RolloutPhase.completed && phase !== RolloutPhase.rolledBack) {
    return later(world, POLL_INTERVAL_MS, () => pollRecord(world, rollout));
  }
  rollout.end = phase;
  rollout.endedAtMs = nowMs(world);
  const ofService = [...world.servers.values()].filter(
    ({ entry }) => entry.service === rollout.spec.service,
  );
  const isNew = ({ entry }: VirtualServer): boolean => entry.version === rollout.version;
  if (phase === RolloutPhase.completed) {
    for (const server of ofService.filter((server) => !isNew(server))) endServer(world, server);
    return;
  }
  later(world, DRAIN_DELAY_MS, () => {
    for (const server of ofService.filter(isNew)) drainServer(world, server, 0);
  });
}

/** Whether a roll-out's version fails requests or works slower. */
export function isBadVersion({
  failShare,
  slowFactor,
}: Pick<RolloutSpec, 'failShare' | 'slowFactor'>): boolean {
  return failShare > 0 || slowFactor > 1;
}

function rolloutOf(world: World, server: VirtualServer): RolloutState | undefined {
  return world.rollouts.find(
    ({ spec, version }) =>
      spec.service === server.entry.service && version === server.entry.version,
  );
}

/** Counts a request that reached a server of a service under roll-out. */
export function recordRolloutArrival(world: World, server: VirtualServer): void {
  for (const rollout of world.rollouts) {
    const { spec, orderedAtMs } = rollout;
    if (spec.service !== server.entry.service) continue;
    const isNew = server.entry.version === rollout.version;
    if (isNew) rollout.lastArrivalMs = nowMs(world);
    if (nowMs(world) > orderedAtMs + spec.durationS * 1000) continue;
    rollout.arrivals += 1;
    if (isNew) rollout.trialArrivals += 1;
  }
}

/** Returns whether a bad version fails a request, and the factor on its work. */
export function faultOfVersion(
  world: World,
  server: VirtualServer,
  className: string,
): { fails: boolean; slowFactor: number } {
  const rollout = rolloutOf(world, server);
  if (rollout === undefined) return { fails: false, slowFactor: 1 };
  const { spec, orderedAtMs } = rollout;
  const isBad =
    nowMs(world) >= orderedAtMs + spec.badFromS * 1000 &&
    (spec.class === undefined || spec.class === className) &&
    server.openRuns.size >= spec.badFromOpen;
  if (!isBad) return { fails: false, slowFactor: 1 };
  const fails = spec.failShare > 0 && world.random.chance(spec.failShare);
  if (fails || spec.slowFactor > 1) recordBadAnswer(world, rollout);
  return { fails, slowFactor: spec.slowFactor };
}

function recordBadAnswer(world: World, rollout: RolloutState): void {
  rollout.badAnswers += 1;
  if (rollout.badAnswers === MAX_BAD_ANSWERS) rollout.stopDueAtMs = nowMs(world) + STOP_WITHIN_MS;
}

/** Returns the guarantees that were broken in roll-outs of bad versions. */
export function brokenRolloutGuarantees(world: World): BrokenGuarantee[] {
  const { exposeShare, exposeSlack } = world.scene.bounds;
  return world.rollouts.flatMap((rollout) => {
    const { spec, version, arrivals, trialArrivals, stopDueAtMs, lastArrivalMs } = rollout;
    if (!isBadVersion(spec)) return [];
    const broken = [];
    const allowed = arrivals * exposeShare + exposeSlack;
    if (trialArrivals > allowed) {
      const detail = `${version}: ${trialArrivals} of ${Math.round(allowed)}`;
      broken.push({ promise: 'exposure', detail });
    }
    if (stopDueAtMs !== undefined && lastArrivalMs > stopDueAtMs) {
      const detail = `${version}: ${Math.round(lastArrivalMs - stopDueAtMs)} ms too late`;
      broken.push({ promise: 'exposureAfterFailures', detail });
    }
    return broken;
  });
}
