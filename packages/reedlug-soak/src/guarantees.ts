/** Checks a run's record against the guarantees to callers, servers and the operator. */
import { TOLERANCE_MS, type GuaranteeBounds, type Violation } from './guaranteeBounds.js';
import { checkLeavingCallers } from './leavingCallers.js';
import { checkCrashingPart } from './crashingPart.js';
import { checkStreamVersions } from './streamVersions.js';
import { checkPlannedStops } from './plannedStops.js';
import { checkPartitionedBoxes } from './partitionedBoxes.js';
import { checkPauses, checkDrainingStatements } from './serverStatements.js';
import { CallKind, overlaps, type Call, type Arrival, type SoakRecord } from './soakRecord.js';

/** Statuses that guarantee that the request has not run and will not run. */
const NEVER_EXECUTED_STATUSES: readonly (number | undefined)[] = [408, 421, 429, 503];
/**
 * Number of crashes that one request may cause before it is blocked, and maximum number of sends of
 * it after that. The users require both values.
 */
const CRASHES_TO_BLOCK = 3;
const MAX_FURTHER_SENDS = 3;
/**
 * Guarantee that the users require for servers that announce a limit: each window may hold the limit
 * times `LIMIT_FACTOR`, plus `LIMIT_EXTRA_REQUESTS`. It binds a box `LIMIT_GRACE_MS` after the first
 * response with the limit that it forwarded.
 */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA_REQUESTS = 5;
const LIMIT_GRACE_MS = 500;

/** Returns all violated guarantees of a run. */
export function findViolations(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const runsById = new Map<string, Arrival[]>();
  for (const run of record.runs) {
    if (run.ran) runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
  }
  return [
    ...record.calls.flatMap((call) => checkCall(record, call, runsById.get(call.requestId) ?? [])),
    ...checkDrainingServers(record, bounds),
    ...checkConfiguration(record, bounds),
    ...checkRevokedKeys(record, bounds),
    ...checkPlannedStops(record, bounds),
    ...checkReports(record),
    ...checkWorkspaceLimit(record, bounds),
    ...checkCrashingRequest(record, bounds),
    ...checkUnrelatedRefusals(record),
    ...checkServerLimits(record, bounds),
    ...checkDrainingStatements(record, bounds),
    ...checkPauses(record),
    ...checkPartitionedBoxes(record, bounds),
    ...checkStreamVersions(record, bounds),
    ...checkCrashingPart(record, bounds),
    ...checkLeavingCallers(record),
  ];
}

function checkCall(record: SoakRecord, call: Call, runs: readonly Arrival[]): Violation[] {
  const violations: Violation[] = [];
  const addViolation = (promise: string, detail: string): void => {
    violations.push({
      promise,
      detail: `${call.kind} ${call.requestId} at box ${call.box}: ${detail}`,
    });
  };
  if (call.kind === CallKind.notice && runs.length > 1) {
    addViolation('at most once', `ran at ${runs.map(({ server }) => server).join(', ')}`);
  }
  if (NEVER_EXECUTED_STATUSES.includes(call.status) && runs.length > 0) {
    addViolation('truthful refusal', `status ${call.status}, but it ran at ${runs[0]?.server}`);
  }
  if (call.status !== 200 || !call.isWhole) return violations;
  if (runs.length === 0) addViolation('own answer', 'a success that no server made');
  if (call.kind === CallKind.draft) {
    const defect = findStreamDefect(call, record.draftEvents);
    if (defect !== undefined) addViolation('gapless stream', defect);
  } else if (call.body !== expectedBody(call.requestId)) {
    addViolation('own whole answer', `the body is ${call.body.slice(0, 60)}`);
  }
  return violations;
}

/** Returns the complete response body of a server to a plain request. */
export function expectedBody(requestId: string): string {
  return `answer to ${requestId}, whole`;
}

function findStreamDefect(call: Call, expectedEvents: number): string | undefined {
  const events = [...call.body.matchAll(/id: (\d+)\ndata: (\S+) \S+\n\n/g)];
  if (events.map(([text]) => text).join('') !== call.body) return 'bytes that are no event';
  for (const [index, [, id, requestId]] of events.entries()) {
    if (Number(id) !== index + 1) return `event ${id} stands in place ${index + 1}`;
    if (requestId !== call.requestId) return `event ${id} belongs to ${requestId}`;
  }
  return events.length === expectedEvents
    ? undefined
    : `ends as whole after ${events.length} events`;
}

function checkDrainingServers(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const boxById = new Map(record.calls.map((call) => [call.requestId, call.box]));
  return record.runs.flatMap((arrival) => {
    const leftAtMs = record.leftAtMs.get(arrival.server);
    const box = boxById.get(arrival.requestId);
    if (leftAtMs === undefined || box === undefined) return [];
    const lateMs = arrival.atMs - leftAtMs - bounds.drainMs - TOLERANCE_MS;
    if (lateMs <= 0 || !isUndisturbed(record, box, leftAtMs, arrival.atMs, bounds)) return [];
    const detail = `${arrival.requestId} reached ${arrival.server} ${Math.round(lateMs)} ms too late`;
    return [{ promise: 'nothing to a leaving server', detail }];
  });
}

function checkConfiguration(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  return record.calls.flatMap((call) => {
    if (call.kind !== CallKind.probe || call.version === undefined) return [];
    const ackedAtMs = record.configuredAtMs.get(call.version) ?? Number.POSITIVE_INFINITY;
    const lateMs = call.sentAtMs - ackedAtMs - bounds.configurationMs - TOLERANCE_MS;
    if (call.status !== 404 || lateMs <= 0) return [];
    if (!isUndisturbed(record, call.box, ackedAtMs, call.endedAtMs, bounds)) return [];
    const detail = `version ${call.version} is not in force at box ${call.box}`;
    return [{ promise: 'configuration in force', detail }];
  });
}

function checkRevokedKeys(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  return record.calls.flatMap((call) => {
    const revokedAtMs = record.revokedAtMs.get(call.key) ?? Number.POSITIVE_INFINITY;
    const lateMs = call.sentAtMs - revokedAtMs - bounds.configurationMs - TOLERANCE_MS;
    if (call.status !== 200 || lateMs <= 0) return [];
    if (!isUndisturbed(record, call.box, revokedAtMs, call.endedAtMs, bounds)) return [];
    const detail = `${call.requestId} was served under a key taken away`;
    return [{ promise: 'revoked keys', detail }];
  });
}

function checkReports(record: SoakRecord): Violation[] {
  const violations: Violation[] = [];
  const countsByWindow = new Map<number, string>();
  const holderByFence = new Map<number, string>();
  for (const { window, counts, holder, fence } of record.reports) {
    const earlierCounts = countsByWindow.get(window);
    if (earlierCounts !== undefined && earlierCounts !== counts) {
      violations.push({
        promise: 'one report a window',
        detail: `${window}: ${earlierCounts}, ${counts}`,
      });
    }
    countsByWindow.set(window, counts);
    const otherHolder = holderByFence.get(fence);
    if (otherHolder !== undefined && otherHolder !== holder) {
      violations.push({
        promise: 'one holder a fence',
        detail: `fence ${fence}: ${otherHolder}, ${holder}`,
      });
    }
    holderByFence.set(fence, holder);
  }
  return violations;
}

/** Counts each run of the limited workspace at the time when it reached its server. */
function checkWorkspaceLimit(record: SoakRecord, { limited }: GuaranteeBounds): Violation[] {
  const ids = new Set(
    record.calls.filter(({ key }) => key === limited.key).map(({ requestId }) => requestId),
  );
  const runs = record.runs.filter(({ requestId, ran }) => ran && ids.has(requestId));
  const maxRuns = Math.max(
    0,
    ...slidingWindows(runs, limited.windowMs).map((inWindow) => inWindow.length),
  );
  if (maxRuns <= limited.runs) return [];
  const detail = `${maxRuns} runs in ${limited.windowMs} ms where ${limited.runs} are allowed`;
  return [{ promise: 'limits over all boxes', detail }];
}

/** Returns, for each arrival, the arrivals in the window that ends with it. */
function slidingWindows(arrivals: readonly Arrival[], lengthMs: number): Arrival[][] {
  return arrivals.map(({ atMs: endMs }) =>
    arrivals.filter(({ atMs }) => atMs > endMs - lengthMs && atMs <= endMs),
  );
}

/** Counts how often servers received the crashing request after its third crash. */
function checkCrashingRequest(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const thirdCrashAtMs = record.crashesAtMs[CRASHES_TO_BLOCK - 1];
  if (thirdCrashAtMs === undefined) return [];
  const fromMs = thirdCrashAtMs + bounds.recoveryMs + TOLERANCE_MS;
  const boxById = new Map(
    record.calls
      .filter(({ kind }) => kind === CallKind.crashing)
      .map(({ requestId, box }) => [requestId, box]),
  );
  const furtherSends = record.runs.filter(({ requestId, atMs }) => {
    const box = boxById.get(requestId);
    if (box === undefined || atMs <= fromMs) return false;
    return isUndisturbed(record, box, atMs, atMs, bounds);
  });
  if (furtherSends.length <= MAX_FURTHER_SENDS) return [];
  const detail = `${furtherSends.length} sends after the third crash, ${record.crashesAtMs.length} crashes`;
  return [{ promise: 'a request that crashes servers is kept out', detail }];
}

/** Checks that no other request is refused as a crashing one. */
function checkUnrelatedRefusals(record: SoakRecord): Violation[] {
  return record.calls
    .filter(({ kind, status }) => kind !== CallKind.crashing && status === 500)
    .filter(({ body }) => body.includes('crashesServers'))
    .map(({ requestId }) => ({ promise: 'no other is kept out', detail: requestId }));
}

/**
 * Counts requests to servers that announce a limit, from boxes that had forwarded a response with
 * it.
 */
function checkServerLimits(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const callById = new Map(record.calls.map((call) => [call.requestId, call]));
  const byServer = new Map<string, Arrival[]>();
  for (const arrival of record.runs.filter(({ limitPerSecond }) => limitPerSecond !== undefined)) {
    byServer.set(arrival.server, [...(byServer.get(arrival.server) ?? []), arrival]);
  }
  return [...byServer].flatMap(([server, arrivals]) => {
    const counted = arrivalsFromInformedBoxes(record, arrivals, { bounds, callById });
    const exceeded = slidingWindows(counted, LIMIT_WINDOW_MS).flatMap((inWindow) => {
      const perSecond = Math.max(...inWindow.map(({ limitPerSecond = 0 }) => limitPerSecond));
      const allowed = (perSecond * LIMIT_FACTOR * LIMIT_WINDOW_MS) / 1000 + LIMIT_EXTRA_REQUESTS;
      return inWindow.length > allowed ? [`${inWindow.length} of ${allowed}`] : [];
    });
    if (exceeded.length === 0) return [];
    const detail = `${server}: ${exceeded[0]} requests, ${exceeded.length} windows`;
    return [{ promise: 'limits of servers', detail }];
  });
}

/**
 * Returns the arrivals from boxes that have known the limit for long enough and that no fault
 * affects.
 */
function arrivalsFromInformedBoxes(
  record: SoakRecord,
  arrivals: readonly Arrival[],
  { bounds, callById }: { bounds: GuaranteeBounds; callById: ReadonlyMap<string, Call> },
): Arrival[] {
  const fromMs = Math.min(...arrivals.map(({ atMs }) => atMs)) + bounds.recoveryMs + TOLERANCE_MS;
  const informedAtMs = new Map<number, number>();
  for (const { requestId } of arrivals) {
    const call = callById.get(requestId);
    if (call?.status !== 200) continue;
    informedAtMs.set(call.box, Math.min(informedAtMs.get(call.box) ?? Infinity, call.endedAtMs));
  }
  return arrivals.filter(({ requestId, atMs }) => {
    const box = callById.get(requestId)?.box;
    if (box === undefined || atMs < fromMs) return false;
    const isInformed = (informedAtMs.get(box) ?? Infinity) + LIMIT_GRACE_MS + TOLERANCE_MS <= atMs;
    return isInformed && isUndisturbed(record, box, atMs, atMs, bounds);
  });
}

function isUndisturbed(
  record: SoakRecord,
  box: number,
  fromMs: number,
  toMs: number,
  bounds: GuaranteeBounds,
): boolean {
  return !overlaps(record.troubles.get(box) ?? [], fromMs - bounds.recoveryMs, toMs);
}
