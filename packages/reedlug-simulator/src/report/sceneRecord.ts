/** Records the events of a run: outcomes of requests, costs, and broken guarantees. */
import { build, type Histogram } from 'hdr-histogram-js';
import { isRepeatable, type CallerRequest } from '../callers/callerAttempt.js';
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { BatchEngine } from '../servers/batchEngine.js';
import type { VirtualServer } from '../servers/virtualServers.js';
import type { World } from '../world.js';
import { nowMs } from '../world.js';
import { createDutyRecord, type DutyRecord } from './dutyRecord.js';
import type { LimitRefusalRecord } from './limitRefusals.js';
import type { PromptRecord } from './largestPrompts.js';
import { addOutcome, createOutcomes, RequestEnd, type Outcomes } from './outcomes.js';
import type { TimedAmount } from './slidingSum.js';
import { createStreamRecord, type StreamRecord } from './streamRecord.js';
import {
  createWorkspaceRecord,
  recordWorkspaceEnd,
  type WorkspaceRecord,
} from './workspaceRecord.js';

/** Length of the spans by which outcomes are reported, in s. */
export const SPAN_S = 2;

/** Maximum time in a histogram, in ms; longer times count as this one. */
const MAX_HISTOGRAM_MS = 60_000;

/** A broken guarantee. */
export interface BrokenGuarantee {
  promise: string;
  detail: string;
}

/** The record of a request or a part of prompts that crashes servers. */
export interface CrashingRequestRecord {
  /** World times at which it crashed servers. */
  endedAtMs: number[];
  /** World times at which it reached a server after a synchronized box sent it. */
  sentAtMs: number[];
  /** Set for a part of prompts: the class whose requests hold it, and the world time until which they come. */
  part: { className: string; untilMs: number } | undefined;
}

/** A server that stated a limit, and the requests that it received. */
export interface LimitedServerRecord {
  server: VirtualServer;
  /** Its successive limits, in requests per second. */
  periods: { fromMs: number; perSecond: number }[];
  /** World times at which an answer first stated a limit, and at which the limit ended. */
  firstStatedAtMs: number | undefined;
  endedAtMs: number | undefined;
  /** World time at which each box first forwarded such an answer. */
  forwardedAtMs: Map<VirtualBox, number>;
  /** Requests that reached it, and whether the limit bound the boxes that sent them. */
  arrivals: { atMs: number; isBound: boolean }[];
}

/** A server that announces draining or requests a pause, and the requests that it received. */
export interface ServerStatementRecord {
  server: VirtualServer;
  /** World time at which each box first received an answer that announces draining. */
  drainingStatedAtMs: Map<VirtualBox, number>;
  /** Pauses that the server requested from boxes. */
  pauses: { atMs: number; pauseMs: number; box: VirtualBox }[];
  /** Requests that reached it, and when they had reached the box. */
  arrivals: { atMs: number; callerSentAtMs: number; box: VirtualBox }[];
}

/** The record of a run. */
export interface SceneRecord {
  whole: Outcomes;
  byClass: Map<string, Outcomes>;
  byZone: Map<string, Outcomes>;
  /** Outcomes by workspace and by workspace and class, and work by span and workspace. */
  workspaces: WorkspaceRecord;
  bySpan: Map<number, Outcomes>;
  /** Requests with a prompt that did not leave early. */
  prompts: PromptRecord[];
  refusedBy: Map<string, number>;
  failedBy: Map<string, number>;
  firstEventMs: Map<string, Histogram>;
  heldUnservedMs: Histogram;
  /** Numbers of late answers by cause. */
  lateByFirstEvent: number;
  lateByGap: number;
  /**
   * Engine-seconds by kind; `priced` weights them by the price of the zone and the price share of
   * reclaimable engines.
   */
  engineSeconds: { onDemand: number; reclaimable: number; priced: number };
  orders: number;
  datagrams: number;
  readTokens: number;
  readSharedTokens: number;
  /** Requests and repeats by service, and units by workspace, each with their times. */
  requests: Map<string, TimedAmount[]>;
  repeats: Map<string, TimedAmount[]>;
  units: Map<string, TimedAmount[]>;
  /** All requests, and the tries that a limit refused. */
  asked: CallerRequest[];
  limitRefusals: LimitRefusalRecord[];
  /** Requests that crash servers by digest, and parts of prompts that do. */
  endings: Map<string, CrashingRequestRecord>;
  limitedServers: LimitedServerRecord[];
  statingServers: Map<VirtualServer, ServerStatementRecord>;
  duties: DutyRecord;
  streams: StreamRecord;
  broken: BrokenGuarantee[];
  /** Numbers of exceptions that ended parts of steps, by type of event. */
  exceptions: Map<string, number>;
  logs: Map<string, number>;
  /** Called for each log line, to inspect a single run. */
  onLog: (line: LogLine) => void;
}

/** A line of a box's log. */
export interface LogLine {
  /** World time from the first caller, in s. */
  atS: number;
  boxId: string;
  event: string;
  fields: Readonly<Record<string, string | number | boolean>>;
}

/** Returns an empty record. */
export function createSceneRecord(): SceneRecord {
  return {
    whole: createOutcomes(),
    byClass: new Map(),
    byZone: new Map(),
    workspaces: createWorkspaceRecord(),
    bySpan: new Map(),
    prompts: [],
    refusedBy: new Map(),
    failedBy: new Map(),
    firstEventMs: new Map(),
    heldUnservedMs: createHistogram(),
    lateByFirstEvent: 0,
    lateByGap: 0,
    engineSeconds: { onDemand: 0, reclaimable: 0, priced: 0 },
    orders: 0,
    datagrams: 0,
    readTokens: 0,
    readSharedTokens: 0,
    requests: new Map(),
    repeats: new Map(),
    units: new Map(),
    asked: [],
    limitRefusals: [],
    endings: new Map(),
    limitedServers: [],
    statingServers: new Map(),
    duties: createDutyRecord(),
    streams: createStreamRecord(),
    broken: [],
    exceptions: new Map(),
    logs: new Map(),
    onLog: () => undefined,
  };
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_HISTOGRAM_MS, numberOfSignificantValueDigits: 2 });
}

/** Returns the value of a key, and creates it if it is missing. */
function getOrCreate<K, V>(map: Map<K, V>, key: K, make: () => V): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = make();
  map.set(key, created);
  return created;
}

function countIn(map: Map<string, number>, key: string): void {
  map.set(key, (map.get(key) ?? 0) + 1);
}

/** Records a new request. */
export function recordRequest(world: World, request: CallerRequest): void {
  const list = getOrCreate(world.record.requests, request.spec.service, () => []);
  list.push({ atMs: nowMs(world), amount: 1 });
  world.record.asked.push(request);
}

/** Records a send that reached a server; sends after the first one of a try count as repeats. */
export function recordArrival(world: World, request: CallerRequest, service: string): void {
  request.arrivalsInTry += 1;
  if (request.arrivalsInTry === 1) return;
  getOrCreate(world.record.repeats, service, () => []).push({ atMs: nowMs(world), amount: 1 });
}

/**
 * Records that a server started to run a request. Each run counts against the limit at the time
 * its send reached the server, because boxes cannot control how long a server takes to start.
 */
export function recordRun(world: World, request: CallerRequest, arrivedAtMs: number): void {
  request.runsInTry += 1;
  const isRepeat = request.runsInTry > 1;
  if (isRepeat && !isRepeatable(request)) recordBroken(world, 'atMostOnce', request);
  const { facts, workspace } = request;
  const { plainTokens } = world.scene.workspaces;
  const tokens = facts.promptTokens;
  const amount = tokens === undefined ? plainTokens : tokens + (facts.maxOutputTokens ?? 0);
  getOrCreate(world.record.units, workspace, () => []).push({ atMs: arrivedAtMs, amount });
}

/** Returns the record of a request, or a part of prompts, that crashes servers. */
export function crashingRequestOf(world: World, cause: string): CrashingRequestRecord {
  return getOrCreate(world.record.endings, cause, () => ({
    endedAtMs: [],
    sentAtMs: [],
    part: undefined,
  }));
}

/** Records that an event of a stream reached its caller. */
export function recordEvent(world: World, request: CallerRequest, event: number): void {
  if (event !== (request.lastEventId ?? 0) + 1) recordBroken(world, 'eventsInOrder', request);
}

/** Records that a request was served. */
export function recordAnswered(world: World, request: CallerRequest): void {
  const { spec, startedAtMs, retriedAfterRefusalAtMs } = request;
  const firstAtMs = request.firstEventAtMs ?? nowMs(world);
  const waitMs = firstAtMs - startedAtMs;
  getOrCreate(world.record.firstEventMs, spec.name, createHistogram).recordValue(
    Math.min(MAX_HISTOGRAM_MS, Math.max(0, Math.round(waitMs))),
  );
  const sinceMs = retriedAfterRefusalAtMs ?? startedAtMs;
  const isFirstLate = firstAtMs - sinceMs > spec.targetMs;
  const isGapLate = request.longestGapMs > (spec.gapTargetMs ?? Number.POSITIVE_INFINITY);
  if (isFirstLate) world.record.lateByFirstEvent += 1;
  else if (isGapLate) world.record.lateByGap += 1;
  recordEnd(world, request, isFirstLate || isGapLate ? RequestEnd.late : RequestEnd.inTime);
}

/** Records a request that finished with a refusal which states that it has not run. */
export function recordRefused(world: World, request: CallerRequest, reason: string): void {
  countIn(world.record.refusedBy, reason);
  recordHeldTime(world, request);
  recordEnd(world, request, RequestEnd.refused);
}

/** Records a request that finished without an answer or such a refusal. */
export function recordFailed(world: World, request: CallerRequest, reason: string): void {
  const hasLeft = request.leavesEarly && reason === 'deadline';
  if (!hasLeft) {
    countIn(world.record.failedBy, reason);
    recordHeldTime(world, request);
  }
  recordEnd(world, request, hasLeft ? RequestEnd.left : RequestEnd.failed);
}

function recordHeldTime(world: World, { reachedBoxAtMs }: CallerRequest): void {
  if (reachedBoxAtMs === undefined) return;
  const heldMs = Math.round(Math.max(0, nowMs(world) - reachedBoxAtMs));
  world.record.heldUnservedMs.recordValue(Math.min(MAX_HISTOGRAM_MS, heldMs));
}

function recordEnd(world: World, request: CallerRequest, end: RequestEnd): void {
  // Requests that crash servers do not count in the outcomes.
  if (request.crashesServer !== undefined) return;
  const { record, scene } = world;
  const startedS = request.startedAtMs / 1000 - scene.leadS;
  const span = Math.floor(startedS / SPAN_S) * SPAN_S;
  addOutcome(record.whole, end, request);
  addOutcome(getOrCreate(record.byClass, request.spec.name, createOutcomes), end, request);
  addOutcome(getOrCreate(record.byZone, request.zone, createOutcomes), end, request);
  addOutcome(getOrCreate(record.bySpan, span, createOutcomes), end, request);
  recordWorkspaceEnd(record.workspaces, { end, request, span });
  const { promptTokens: tokens } = request.facts;
  if (tokens === undefined || end === RequestEnd.left) return;
  const { name: className } = request.spec;
  record.prompts.push({ className, tokens, isInTime: end === RequestEnd.inTime });
}

/** Records an exception that ended a part of a step. */
export function recordException(world: World, eventType: string): void {
  countIn(world.record.exceptions, eventType);
}

/** Records a guarantee that was broken for a request. */
export function recordBroken(world: World, promise: string, request: CallerRequest): void {
  const detail = `${request.facts.requestId} (${request.spec.name})`;
  world.record.broken.push({ promise, detail });
}

/** Records the time for which an engine was running or booting. */
export function recordEngineTime(
  world: World,
  engine: { service: string; zone: string; reclaimable: boolean },
  ms: number,
): void {
  const { zones, zonePrices, services } = world.scene;
  const { engineSeconds } = world.record;
  const seconds = ms / 1000;
  const spec = services.find(({ name }) => name === engine.service);
  const priceShare = spec?.kind === 'engines' ? (spec.reclaimablePriceShare ?? 1) : 1;
  const zonePrice = zonePrices[zones.indexOf(engine.zone) % zonePrices.length] ?? 1;
  engineSeconds[engine.reclaimable ? 'reclaimable' : 'onDemand'] += seconds;
  engineSeconds.priced += seconds * zonePrice * (engine.reclaimable ? priceShare : 1);
}

/** Records the prompt tokens that an engine has processed. */
export function recordPrefill(world: World, engine: BatchEngine): void {
  world.record.readTokens += engine.readTokens;
  world.record.readSharedTokens += engine.readSharedTokens;
}

/** Records a line of a box's log. */
export function recordLog(
  world: World,
  boxId: string,
  event: string,
  fields: LogLine['fields'],
): void {
  countIn(world.record.logs, event);
  world.record.onLog({ atS: nowMs(world) / 1000 - world.scene.leadS, boxId, event, fields });
}
