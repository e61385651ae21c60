/**
 * Roll-outs: the operators order one, the platform starts the servers of the new
 * version beside the old ones, and does what the record of the roll-out says.
 */
import { RolloutPhase } from 'reedlug-gateway';
import type { SceneFaultSpec } from '../scene/scene.js';
import {
  drainServer,
  endServer,
  startBeside,
  type VirtualServer,
} from '../servers/virtualServers.js';
import { later, nowMs, type World } from '../world.js';

/** Pause between looks at the record, in ms: the platform sees it at once. */
const LOOK_EVERY_MS = 20;
/** Time from a roll-back until the new servers drain, in ms: "some seconds". */
const DRAINS_AFTER_MS = 3000;
/** Bad answers after which nothing more may be sent, and how soon, in ms. */
const BAD_ANSWERS_BORNE = 50;
const STOP_WITHIN_MS = 5000;

type RolloutSpec = Extract<SceneFaultSpec, { kind: 'rollout' }>;

/** A roll-out as the world sees it. */
export interface RolloutWatch {
  spec: RolloutSpec;
  version: string;
  orderedAtMs: number;
  /** Requests that reached the service between the order and its end, and those of them at the new version. */
  arrivals: number;
  trialArrivals: number;
  badAnswers: number;
  /** When it had given as many bad answers as are borne, and the last request after that. */
  borneUntilMs: number | undefined;
  lastArrivalMs: number;
  endedAtMs: number | undefined;
  end: RolloutPhase | undefined;
}

/** Orders a roll-out and follows it. */
export function beginRollout(world: World, spec: RolloutSpec): void {
  const watch: RolloutWatch = {
    spec,
    version: `v${world.rollouts.length + 2}`,
    orderedAtMs: nowMs(world),
    arrivals: 0,
    trialArrivals: 0,
    badAnswers: 0,
    borneUntilMs: undefined,
    lastArrivalMs: 0,
    endedAtMs: undefined,
    end: undefined,
  };
  world.rollouts.push(watch);
  const { service, durationS, startS } = spec;
  const durationMs = durationS * 1000;
  world.store.orderRollout({ service, targetVersion: watch.version, durationMs });
  later(world, startS * 1000, () => startBeside(world, service, watch.version));
  look(world, watch);
}

function look(world: World, watch: RolloutWatch): void {
  const record = world.store.rolloutRecord(watch.spec.service);
  const phase = record?.targetVersion === watch.version ? record.phase : undefined;
  if (phase !== RolloutPhase.completed && phase !== RolloutPhase.rolledBack) {
    return later(world, LOOK_EVERY_MS, () => look(world, watch));
  }
  watch.end = phase;
  watch.endedAtMs = nowMs(world);
  const ofService = [...world.servers.values()].filter(
    ({ entry }) => entry.service === watch.spec.service,
  );
  const isNew = ({ entry }: VirtualServer): boolean => entry.version === watch.version;
  if (phase === RolloutPhase.completed) {
    for (const server of ofService.filter((server) => !isNew(server))) endServer(world, server);
    return;
  }
  later(world, DRAINS_AFTER_MS, () => {
    for (const server of ofService.filter(isNew)) drainServer(world, server, 0);
  });
}

/** Whether a roll-out is of a version that fails requests or works slower. */
export function isBadVersion({
  failShare,
  slowFactor,
}: Pick<RolloutSpec, 'failShare' | 'slowFactor'>): boolean {
  return failShare > 0 || slowFactor > 1;
}

function watchOf(world: World, server: VirtualServer): RolloutWatch | undefined {
  return world.rollouts.find(
    ({ spec, version }) =>
      spec.service === server.entry.service && version === server.entry.version,
  );
}

/** Counts a request that reached a server. */
export function noteRolloutArrival(world: World, server: VirtualServer): void {
  for (const watch of world.rollouts) {
    const { spec, orderedAtMs } = watch;
    if (spec.service !== server.entry.service) continue;
    const isNew = server.entry.version === watch.version;
    if (isNew) watch.lastArrivalMs = nowMs(world);
    if (nowMs(world) > orderedAtMs + spec.durationS * 1000) continue;
    watch.arrivals += 1;
    if (isNew) watch.trialArrivals += 1;
  }
}

/** Whether a bad version fails a request, and how much longer it works on it. */
export function faultOfVersion(
  world: World,
  server: VirtualServer,
  className: string,
): { fails: boolean; slowFactor: number } {
  const watch = watchOf(world, server);
  if (watch === undefined) return { fails: false, slowFactor: 1 };
  const { spec, orderedAtMs } = watch;
  const isBad =
    nowMs(world) >= orderedAtMs + spec.badFromS * 1000 &&
    (spec.class === undefined || spec.class === className) &&
    server.openRuns.size >= spec.badFromOpen;
  if (!isBad) return { fails: false, slowFactor: 1 };
  const fails = spec.failShare > 0 && world.random.chance(spec.failShare);
  if (fails || spec.slowFactor > 1) noteBadAnswer(world, watch);
  return { fails, slowFactor: spec.slowFactor };
}

function noteBadAnswer(world: World, watch: RolloutWatch): void {
  watch.badAnswers += 1;
  if (watch.badAnswers === BAD_ANSWERS_BORNE) watch.borneUntilMs = nowMs(world) + STOP_WITHIN_MS;
}

/** What was broken in roll-outs of bad versions. */
export function rolloutFaults(world: World): { promise: string; detail: string }[] {
  const { exposeShare, exposeSlack } = world.scene.bounds;
  return world.rollouts.flatMap((watch) => {
    const { spec, version, arrivals, trialArrivals, borneUntilMs, lastArrivalMs } = watch;
    if (!isBadVersion(spec)) return [];
    const faults = [];
    const allowed = arrivals * exposeShare + exposeSlack;
    if (trialArrivals > allowed) {
      const detail = `${version}: ${trialArrivals} of ${Math.round(allowed)}`;
      faults.push({ promise: 'exposure', detail });
    }
    if (borneUntilMs !== undefined && lastArrivalMs > borneUntilMs) {
      const detail = `${version}: ${Math.round(lastArrivalMs - borneUntilMs)} ms too late`;
      faults.push({ promise: 'exposureAfterFailures', detail });
    }
    return faults;
  });
}
