/** Records the requests of callers: their tries and outcomes, and the guarantees that were broken for them. */
import { isRepeatable, type CallerRequest } from '../callers/callerAttempt.js';
import { nowMs, type World } from '../world.js';
import { addOutcome, createOutcomes, RequestEnd } from './outcomes.js';
import { recordWorkspaceEnd } from './workspaceRecord.js';
import { getOrCreate, countIn } from './getOrCreate.js';
import { MAX_HISTOGRAM_MS, createHistogram } from './histogram.js';

/** Length of the spans by which outcomes are reported, in s. */
const SPAN_S = 2;

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

/** Records a guarantee that was broken for a request. */
export function recordBroken(world: World, promise: string, request: CallerRequest): void {
  const detail = `${request.facts.requestId} (${request.spec.name})`;
  world.record.broken.push({ promise, detail });
}
