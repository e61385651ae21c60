/** Checks a run's record against the promises to callers, servers and the operator. */
import { checkRests, checkSaidLeaving } from './serverStatements.js';
import { CallKind, touches, type Call, type Run, type SoakRecord } from './soakRecord.js';

/** A broken promise. */
export interface Violation {
  promise: string;
  detail: string;
}

/** Bounds that the promises name, in ms. */
export interface PromiseBounds {
  /** A configuration is in force within this time of its acknowledgement. */
  configurationMs: number;
  /** A server that leaves gets nothing more after this time. */
  drainMs: number;
  /** A box is in touch once this time has passed since its trouble. */
  contactMs: number;
  /** A workspace with a limit: its key, and the runs that any window may hold. */
  limited: { key: string; windowMs: number; runs: number };
}

/** Statuses that promise that the request has not run and will not. */
const PROMISING_STATUSES: readonly (number | undefined)[] = [408, 421, 429, 503];
/** Servers that may end under one request, and sends of it after that: the users' figures. */
const CRASHES_BEFORE = 3;
const MOST_FURTHER_SENDS = 3;
/** Windows in which requests to a server that names a limit are counted, what is allowed in each, and from when on a box counts that passed it on: the users' figures. */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_FACTOR = 1.5;
const LIMIT_ON_TOP = 5;
const TOLD_MS = 500;
/** Taken off the bounds for the delays of one busy machine, in ms. */
export const TOLERANCE_MS = 400;

/** All broken promises of a run. */
export function findViolations(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  const runsById = new Map<string, Run[]>();
  for (const run of record.runs) {
    if (run.ran) runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
  }
  return [
    ...record.calls.flatMap((call) => checkCall(record, call, runsById.get(call.requestId) ?? [])),
    ...checkLeaving(record, bounds),
    ...checkConfiguration(record, bounds),
    ...checkKeys(record, bounds),
    ...checkPlannedStops(record),
    ...checkReports(record),
    ...checkLimit(record, bounds),
    ...checkCrashing(record, bounds),
    ...checkInnocent(record),
    ...checkServerLimits(record, bounds),
    ...checkSaidLeaving(record, bounds),
    ...checkRests(record),
  ];
}

function checkCall(record: SoakRecord, call: Call, runs: readonly Run[]): Violation[] {
  const found: Violation[] = [];
  const broken = (promise: string, detail: string): void => {
    found.push({ promise, detail: `${call.kind} ${call.requestId} at box ${call.box}: ${detail}` });
  };
  if (call.kind === CallKind.notice && runs.length > 1) {
    broken('at most once', `ran at ${runs.map(({ server }) => server).join(', ')}`);
  }
  if (PROMISING_STATUSES.includes(call.status) && runs.length > 0) {
    broken('truthful refusal', `status ${call.status}, but it ran at ${runs[0]?.server}`);
  }
  if (call.status !== 200 || !call.isWhole) return found;
  if (runs.length === 0) broken('own answer', 'a success that no server made');
  if (call.kind === CallKind.draft) {
    const fault = streamFault(call, record.draftEvents);
    if (fault !== undefined) broken('gapless stream', fault);
  } else if (call.body !== expectedBody(call.requestId)) {
    broken('own whole answer', `the body is ${call.body.slice(0, 60)}`);
  }
  return found;
}

/** The whole answer of a server to a plain request. */
export function expectedBody(requestId: string): string {
  return `answer to ${requestId}, whole`;
}

function streamFault(call: Call, events: number): string | undefined {
  const found = [...call.body.matchAll(/id: (\d+)\ndata: (\S+) \S+\n\n/g)];
  if (found.map(([text]) => text).join('') !== call.body) return 'bytes that are no event';
  for (const [index, [, id, requestId]] of found.entries()) {
    if (Number(id) !== index + 1) return `event ${id} stands in place ${index + 1}`;
    if (requestId !== call.requestId) return `event ${id} belongs to ${requestId}`;
  }
  return found.length === events ? undefined : `ends as whole after ${found.length} events`;
}

function checkLeaving(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  const boxById = new Map(record.calls.map((call) => [call.requestId, call.box]));
  return record.runs.flatMap((run) => {
    const leftAtMs = record.leftAtMs.get(run.server);
    const box = boxById.get(run.requestId);
    if (leftAtMs === undefined || box === undefined) return [];
    const lateMs = run.atMs - leftAtMs - bounds.drainMs - TOLERANCE_MS;
    if (lateMs <= 0 || !isInTouch(record, box, leftAtMs, run.atMs, bounds)) return [];
    const detail = `${run.requestId} reached ${run.server} ${Math.round(lateMs)} ms too late`;
    return [{ promise: 'nothing to a leaving server', detail }];
  });
}

function checkConfiguration(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  return record.calls.flatMap((call) => {
    if (call.kind !== CallKind.probe || call.version === undefined) return [];
    const ackedAtMs = record.configuredAtMs.get(call.version) ?? Number.POSITIVE_INFINITY;
    const lateMs = call.sentAtMs - ackedAtMs - bounds.configurationMs - TOLERANCE_MS;
    if (call.status !== 404 || lateMs <= 0) return [];
    if (!isInTouch(record, call.box, ackedAtMs, call.endedAtMs, bounds)) return [];
    const detail = `version ${call.version} is not in force at box ${call.box}`;
    return [{ promise: 'configuration in force', detail }];
  });
}

function checkKeys(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  return record.calls.flatMap((call) => {
    const revokedAtMs = record.revokedAtMs.get(call.key) ?? Number.POSITIVE_INFINITY;
    const lateMs = call.sentAtMs - revokedAtMs - bounds.configurationMs - TOLERANCE_MS;
    if (call.status !== 200 || lateMs <= 0) return [];
    if (!isInTouch(record, call.box, revokedAtMs, call.endedAtMs, bounds)) return [];
    const detail = `${call.requestId} was served under a key taken away`;
    return [{ promise: 'revoked keys', detail }];
  });
}

/** Calls that a box had before the signal, and that nothing else troubled, end with an answer. */
function checkPlannedStops(record: SoakRecord): Violation[] {
  return record.calls.flatMap((call) => {
    const stop = record.stops
      .get(call.box)
      ?.find(({ fromMs, toMs }) => call.sentAtMs < fromMs && call.endedAtMs >= fromMs && toMs > 0);
    if (stop === undefined || (call.status !== undefined && call.isWhole)) return [];
    const others = (record.troubles.get(call.box) ?? []).filter((span) => span !== stop);
    if (touches(others, call.sentAtMs - 100, call.endedAtMs + 100)) return [];
    if (touches(record.serverTroubles, call.sentAtMs - 500, call.endedAtMs + 100)) return [];
    const detail = `${call.kind} ${call.requestId} was cut when box ${call.box} stopped`;
    return [{ promise: 'a planned stop cuts nothing', detail }];
  });
}

function checkReports(record: SoakRecord): Violation[] {
  const found: Violation[] = [];
  const countsByWindow = new Map<number, string>();
  const holderByFence = new Map<number, string>();
  for (const { window, counts, holder, fence } of record.reports) {
    const before = countsByWindow.get(window);
    if (before !== undefined && before !== counts) {
      found.push({ promise: 'one report a window', detail: `${window}: ${before}, ${counts}` });
    }
    countsByWindow.set(window, counts);
    const other = holderByFence.get(fence);
    if (other !== undefined && other !== holder) {
      found.push({ promise: 'one holder a fence', detail: `fence ${fence}: ${other}, ${holder}` });
    }
    holderByFence.set(fence, holder);
  }
  return found;
}

/** Counts every run of the limited workspace at the moment at which it reached its server. */
function checkLimit(record: SoakRecord, { limited }: PromiseBounds): Violation[] {
  const ids = new Set(
    record.calls.filter(({ key }) => key === limited.key).map(({ requestId }) => requestId),
  );
  const runs = record.runs.filter(({ requestId, ran }) => ran && ids.has(requestId));
  const most = Math.max(0, ...windowsOf(runs, limited.windowMs).map((inWindow) => inWindow.length));
  if (most <= limited.runs) return [];
  const detail = `${most} runs in ${limited.windowMs} ms where ${limited.runs} are allowed`;
  return [{ promise: 'limits over all boxes', detail }];
}

/** For each run those of the window that ends with it. */
function windowsOf(runs: readonly Run[], lengthMs: number): Run[][] {
  return runs.map(({ atMs: endMs }) =>
    runs.filter(({ atMs }) => atMs > endMs - lengthMs && atMs <= endMs),
  );
}

/** Counts what servers saw of the request under which they end. */
function checkCrashing(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  const thirdAtMs = record.crashesAtMs[CRASHES_BEFORE - 1];
  if (thirdAtMs === undefined) return [];
  const fromMs = thirdAtMs + bounds.contactMs + TOLERANCE_MS;
  const boxById = new Map(
    record.calls
      .filter(({ kind }) => kind === CallKind.crashing)
      .map(({ requestId, box }) => [requestId, box]),
  );
  const further = record.runs.filter(({ requestId, atMs }) => {
    const box = boxById.get(requestId);
    if (box === undefined || atMs <= fromMs) return false;
    return isInTouch(record, box, atMs, atMs, bounds);
  });
  if (further.length <= MOST_FURTHER_SENDS) return [];
  const detail = `${further.length} sends after the third crash, ${record.crashesAtMs.length} crashes`;
  return [{ promise: 'a request that crashes servers is kept out', detail }];
}

/** Nobody else is refused for the crashes. */
function checkInnocent(record: SoakRecord): Violation[] {
  return record.calls
    .filter(({ kind, status }) => kind !== CallKind.crashing && status === 500)
    .filter(({ body }) => body.includes('crashesServers'))
    .map(({ requestId }) => ({ promise: 'no other is kept out', detail: requestId }));
}

/** Counts what servers that name a limit get from boxes that had passed such an answer on. */
function checkServerLimits(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  const callById = new Map(record.calls.map((call) => [call.requestId, call]));
  const byServer = new Map<string, Run[]>();
  for (const run of record.runs.filter(({ limitPerSecond }) => limitPerSecond !== undefined)) {
    byServer.set(run.server, [...(byServer.get(run.server) ?? []), run]);
  }
  return [...byServer].flatMap(([server, runs]) => {
    const counted = boundRuns(record, runs, { bounds, callById });
    const over = windowsOf(counted, LIMIT_WINDOW_MS).flatMap((inWindow) => {
      const perSecond = Math.max(...inWindow.map(({ limitPerSecond = 0 }) => limitPerSecond));
      const allowed = (perSecond * LIMIT_FACTOR * LIMIT_WINDOW_MS) / 1000 + LIMIT_ON_TOP;
      return inWindow.length > allowed ? [`${inWindow.length} of ${allowed}`] : [];
    });
    if (over.length === 0) return [];
    const detail = `${server}: ${over[0]} requests, ${over.length} windows`;
    return [{ promise: 'limits of servers', detail }];
  });
}

/** Requests at a server that names a limit, of boxes that knew it for long enough. */
function boundRuns(
  record: SoakRecord,
  naming: readonly Run[],
  { bounds, callById }: { bounds: PromiseBounds; callById: ReadonlyMap<string, Call> },
): Run[] {
  const fromMs = Math.min(...naming.map(({ atMs }) => atMs)) + bounds.contactMs + TOLERANCE_MS;
  const toldAtMs = new Map<number, number>();
  for (const { requestId } of naming) {
    const call = callById.get(requestId);
    if (call?.status !== 200) continue;
    toldAtMs.set(call.box, Math.min(toldAtMs.get(call.box) ?? Infinity, call.endedAtMs));
  }
  return naming.filter(({ requestId, atMs }) => {
    const box = callById.get(requestId)?.box;
    if (box === undefined || atMs < fromMs) return false;
    const isTold = (toldAtMs.get(box) ?? Infinity) + TOLD_MS + TOLERANCE_MS <= atMs;
    return isTold && isInTouch(record, box, atMs, atMs, bounds);
  });
}

function isInTouch(
  record: SoakRecord,
  box: number,
  fromMs: number,
  toMs: number,
  bounds: PromiseBounds,
): boolean {
  return !touches(record.troubles.get(box) ?? [], fromMs - bounds.contactMs, toMs);
}
