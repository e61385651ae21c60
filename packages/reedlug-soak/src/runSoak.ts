/** Runs real boxes under load and planned faults, then checks what callers and servers observed. */
import { rm } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, limitProcessor } from 'reedlug-standins';
import { sendCrashingRequests, sendRequests, type LoadContext } from './callLoad.js';
import type { LeaveLoad } from './leavingCallers.js';
import { createCallers } from './callers.js';
import { planFaults } from './faultPlan.js';
import type { Fault, PlannedFault } from './fault.js';
import { planVersionFaults } from './versionFaultPlan.js';
import { injectFault } from './injectFault.js';
import { callUnevenly, type UnevenLoad } from './unevenConnections.js';
import { callPartStreams, type PartLoad } from './partCallers.js';
import { crashUnderPart, crashUnderRequest } from './serverFaults.js';
import { type Violation } from './guaranteeBounds.js';
import { findViolations } from './guarantees.js';
import { callStream, type StreamLoad } from './streamCallers.js';
import { createSoakRecord, type SoakRecord } from './soakRecord.js';
import { findSpoiledRunViolations, spoiledRunFaults } from './spoiledRuns.js';
import { BOX_BOUNDS, buildWorld, LIMITED_WORKSPACE, tearDown } from './buildWorld.js';
import { DRAFT_EVENTS } from './soakServers.js';
import type { SoakWorld } from './soakWorld.js';
import { callInGroups, SLOW_ROUTE_TIMEOUT_MS, slowAnswerMs, type StopLoad } from './stopCallers.js';

/** Parameters of a run. */
export interface SoakOptions {
  seed: number;
  lengthMs: number;
  boxes: number;
  /** Number of availability zones, which boxes and servers belong to in turn; two if omitted. */
  zones?: number;
  serversPerService: number;
  callsPerSecond: number;
  /** Folder of settings and logs; deleted after a run that violated no guarantee. */
  folder: string;
  /** Streams that their callers take up, at servers of several software versions. */
  streams?: StreamLoad;
  /** Streams with prompt parts, one of which crashes servers. */
  parts?: PartLoad;
  /** Streams on new connections, most of which go to one box for a while. */
  unevenLoad?: UnevenLoad;
  /** Groups of requests on kept connections, with answers that take up to 1.9 s. */
  stopLoad?: StopLoad;
  /** Callers that leave without an answer; plain answers take up to 1.9 s. */
  leaving?: LeaveLoad;
  /** Share of a processor core that each box gets during the load; all of it if omitted. */
  processorShare?: number;
  /** Share of what boxes receive that is spoiled; the run checks only what must hold even then. */
  spoiledShare?: number;
  /** Faults that replace those generated from the seed. */
  faults?: readonly { atMs: number; fault: Fault }[];
}

/** Result of a run. */
export interface SoakResult {
  seed: number;
  violations: Violation[];
  calls: number;
  /** Number of calls of the limited workspace that were served. */
  limitedServed: number;
  /** Number of calls by status; `none` stands for connections without a response. */
  statuses: Record<string, number>;
  faults: Record<string, number>;
  record: SoakRecord;
}

/**
 * Maximum wait for all boxes to be ready at the start, in ms; a loaded machine starts a dozen
 * processes slowly.
 */
const START_TIMEOUT_MS = 20_000;
/** The same for each box of a large fleet, in ms. */
const START_TIMEOUT_PER_BOX_MS = 1000;
/** Number of availability zones of a run that names none. */
const DEFAULT_ZONES = 2;
/** Interval of the readiness checks, in ms: one tick of a box. */
const READINESS_POLL_INTERVAL_MS = 50;
/** Time after a fault by which the users require a box to have recovered, in ms. */
const RECOVERY_MS = 3000;
/** Interval at which the software versions of the servers are recorded, in ms. */
const VERSION_POLL_INTERVAL_MS = 10;
/** Number of events after which some callers of streams leave, and take the stream up again. */
const LEAVES_AFTER_EVENTS = 8;
/** Records how many servers of each software version accept requests, until the end of the load. */
async function watchVersions({ world, record, endMs }: LoadContext): Promise<void> {
  const known = new Map<string, number>();
  while (performance.now() < endMs) {
    const counts = new Map([...known.keys()].map((version) => [version, 0]));
    for (const { standin } of world.servers) {
      const { version } = standin;
      if (version === undefined) continue;
      const accepts = !standin.isClosed() && !standin.saysLeaving;
      counts.set(version, (counts.get(version) ?? 0) + (accepts ? 1 : 0));
    }
    for (const [version, servers] of counts) {
      if (known.get(version) === servers) continue;
      known.set(version, servers);
      record.versionServers.push({ atMs: performance.now(), version, servers });
    }
    await delay(VERSION_POLL_INTERVAL_MS);
  }
}

/** Calls streams at random boxes. */
async function callStreams(
  { options, world, record, endMs }: LoadContext,
  load: StreamLoad,
): Promise<void> {
  const random = createRandom(options.seed + 3);
  const pending: Promise<void>[] = [];
  for (let number = 0; performance.now() < endMs; number += 1) {
    await delay(random.exponential(1000 / load.perSecond));
    const called = callStream({
      name: `t${options.seed}-${number}`,
      key: world.keys.at(-1) ?? '',
      targets: world.boxes.map(({ target }) => target),
      leavesAfterEvents: random.chance(load.leavingShare) ? LEAVES_AFTER_EVENTS : undefined,
      maxPauseMs: load.maxPauseMs,
      random,
    });
    pending.push(called.then((stream) => void record.streams.push(stream)));
  }
  await Promise.all(pending);
}

/** Runs one seed. Throws when a box is not ready in time. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, lengthMs, boxes, zones = DEFAULT_ZONES, serversPerService, folder } = options;
  // Events of streams state the version of their server.
  const hasStreams = options.parts !== undefined || options.unevenLoad !== undefined;
  const draftVersions = options.streams?.versions ?? (hasStreams ? ['v1'] : []);
  const spoiling =
    options.spoiledShare === undefined ? undefined : { seed, share: options.spoiledShare };
  const hasSlowAnswers = options.stopLoad !== undefined || options.leaving !== undefined;
  const world = await buildWorld({
    boxes,
    zones,
    serversPerService,
    draftVersions,
    folder,
    spoiling,
    plainTimeoutMs: hasSlowAnswers ? SLOW_ROUTE_TIMEOUT_MS : undefined,
  });
  if (hasSlowAnswers) world.plainRequestMs = slowAnswerMs;
  const record = createSoakRecord({
    draftEvents: DRAFT_EVENTS,
    boxes,
    limitedKey: LIMITED_WORKSPACE.key,
  });
  const plannedFaults = options.faults ?? planRun(options, world);
  const callers = createCallers();
  const crashes: Promise<void>[] = [];
  world.onCrashingRequest = (server) => crashes.push(crashUnderRequest(world, record, server));
  world.onCrashingPart = (server) => crashes.push(crashUnderPart(world, record, server));
  world.partFirstEventMs = options.parts?.firstEventMs ?? 0;
  world.partsEndWithConnection = options.parts?.endsWithConnection ?? false;
  try {
    for (const { process } of world.boxes) process.start();
    await waitForBoxes(world);
    const startMs = performance.now();
    const unlimit = limitProcessor(
      options.processorShare === undefined ? [] : world.boxes.map(({ process }) => process),
      options.processorShare ?? 1,
    );
    const injections = plannedFaults.map(async ({ atMs, fault }) => {
      await delay(atMs);
      await injectFault(world, record, fault);
    });
    const load = { options, world, record, callers, endMs: startMs + lengthMs };
    const { streams } = options;
    const streamCalls =
      streams === undefined ? [] : [callStreams(load, streams), watchVersions(load)];
    if (options.unevenLoad !== undefined) {
      const called = callUnevenly({ ...load, seed }, options.unevenLoad);
      streamCalls.push(called.then((all) => void record.unevenStreams.push(...all)));
    }
    if (options.stopLoad !== undefined) streamCalls.push(callInGroups(load, options.stopLoad));
    if (options.parts !== undefined)
      streamCalls.push(callPartStreams({ ...load, seed }, options.parts));
    await Promise.all([sendRequests(load), sendCrashingRequests(load), ...streamCalls]);
    unlimit();
    await Promise.all(injections);
    await Promise.all(crashes);
    record.endedBoxes = [...world.boxes.keys()].filter(
      (box) => world.boxes[box]?.process.isRunning() !== true,
    );
  } finally {
    callers.close();
    await tearDown(world);
  }
  collectArrivals(world, record);
  const violations =
    spoiling === undefined
      ? findViolations(record, {
          ...BOX_BOUNDS,
          recoveryMs: RECOVERY_MS,
          limited: workspaceLimitBound(),
        })
      : findSpoiledRunViolations(record, world.boxes);
  if (violations.length === 0) await rm(folder, { recursive: true, force: true });
  return {
    seed,
    violations,
    calls: record.calls.length,
    limitedServed: countServed(record, LIMITED_WORKSPACE.key),
    statuses: countBy(record.calls.map(({ status }) => String(status ?? 'none'))),
    faults: countBy(plannedFaults.map(({ fault }) => fault.kind)),
    record,
  };
}

/** Returns the faults of a run that names none. */
function planRun(options: SoakOptions, world: SoakWorld): PlannedFault[] {
  const { seed, lengthMs, boxes, zones = DEFAULT_ZONES } = options;
  if (options.spoiledShare !== undefined) return spoiledRunFaults(lengthMs);
  return [
    ...planFaults({ seed, lengthMs, boxes, zones, servers: world.servers.length }),
    ...versionFaultsOf(options, world),
  ];
}

/** Returns the drawn faults of software versions, if the run has any. */
function versionFaultsOf(
  { seed, lengthMs, boxes, streams }: SoakOptions,
  world: SoakWorld,
): PlannedFault[] {
  if (streams?.addsFaults !== true) return [];
  const servers = [...world.servers.keys()].filter(
    (index) => world.servers[index]?.version !== undefined,
  );
  return planVersionFaults({ seed, lengthMs, boxes, servers });
}

async function waitForBoxes(world: SoakWorld): Promise<void> {
  const timeoutMs = Math.max(START_TIMEOUT_MS, world.boxes.length * START_TIMEOUT_PER_BOX_MS);
  const endMs = performance.now() + timeoutMs;
  for (const { readiness } of world.boxes) {
    while (!(await isReady(readiness))) {
      if (performance.now() > endMs) {
        throw new Error(`the box at ${readiness.host} is not ready after ${timeoutMs} ms`);
      }
      await delay(READINESS_POLL_INTERVAL_MS);
    }
  }
}

async function isReady({ host, port }: { host: string; port: number }): Promise<boolean> {
  try {
    return (await fetch(`http://${host}:${port}/ready`)).ok;
  } catch {
    // The box is not listening yet.
    return false;
  }
}

function workspaceLimitBound(): { key: string; windowMs: number; runs: number } {
  const { key, ratePerSecond, burst } = LIMITED_WORKSPACE;
  const { limitWindowSeconds } = BOX_BOUNDS;
  return {
    key,
    windowMs: limitWindowSeconds * 1000,
    runs: ratePerSecond * limitWindowSeconds + burst,
  };
}

function collectArrivals(world: SoakWorld, record: SoakRecord): void {
  for (const [life, standin] of world.allStandins.entries()) {
    for (const arrival of standin.arrivals) {
      record.runs.push({ ...arrival, server: standin.id, life });
    }
  }
  record.reports.push(...world.cloud.reports);
}

function countServed(record: SoakRecord, wantedKey: string): number {
  return record.calls.filter(({ key, status }) => key === wantedKey && status === 200).length;
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}
