/** Checks what servers got after they had said in their answers that they leave, or had asked for rest. */
import { TOLERANCE_MS, type PromiseBounds, type Violation } from './promises.js';
import { touches, type Call, type Run, type SoakRecord } from './soakRecord.js';

/** Time after a refusal from which requests count, in ms, and how many are allowed until its rest ends: the users' figures. */
const ASKED_MS = 500;
const ALLOWED_IN_REST = 2;

/** A request at a server, with its caller's side. */
interface KnownRun extends Run {
  call: Call;
}

/** Counts requests that callers sent to a box after it had passed on that the server leaves. */
export function checkSaidLeaving(record: SoakRecord, bounds: PromiseBounds): Violation[] {
  return runsOfLives(record).flatMap((runs) => {
    const toldAtMs = new Map<number, number>();
    for (const { call, saysLeaving } of runs) {
      if (saysLeaving !== true || call.status === undefined) continue;
      toldAtMs.set(call.box, Math.min(toldAtMs.get(call.box) ?? Infinity, call.endedAtMs));
    }
    const late = runs.filter(({ call }) => {
      const fromMs = toldAtMs.get(call.box) ?? Infinity;
      const isLate = call.sentAtMs > fromMs + bounds.drainMs + TOLERANCE_MS;
      return isLate && !isInterrupted(record, call.box, fromMs, call.sentAtMs);
    });
    if (late.length === 0) return [];
    const detail = `${late[0]?.server}: ${late.length}, first ${late[0]?.requestId}`;
    return [{ promise: 'nothing to a server that says it leaves', detail }];
  });
}

/** Counts requests of a box in the rests that servers asked it for. */
export function checkRests(record: SoakRecord): Violation[] {
  return runsOfLives(record).flatMap((runs) => {
    const over = runs.flatMap((asked) => {
      const count = countInRest(record, runs, asked);
      return count > ALLOWED_IN_REST ? [{ asked, count }] : [];
    });
    const [first] = over;
    if (first === undefined) return [];
    const { server, requestId, restSeconds = '' } = first.asked;
    const detail = `${server}: ${first.count} in ${restSeconds} s asked of ${requestId}`;
    return [{ promise: 'rests of servers', detail }];
  });
}

function countInRest(record: SoakRecord, runs: readonly KnownRun[], asked: KnownRun): number {
  const restMs = Number(asked.restSeconds ?? Number.NaN) * 1000;
  const { box } = asked.call;
  // The refusal may not have reached the box.
  const isLost = touches(record.linkTroubles, asked.atMs - ASKED_MS, asked.atMs + TOLERANCE_MS);
  if (!(restMs > 0) || isLost) return 0;
  const fromMs = asked.atMs + ASKED_MS + TOLERANCE_MS;
  const inRest = runs.filter(({ call, atMs }) => {
    return call.box === box && atMs > fromMs && atMs < asked.atMs + restMs;
  });
  const lastAtMs = Math.max(fromMs, ...inRest.map(({ atMs }) => atMs));
  return isInterrupted(record, box, asked.atMs, lastAtMs) ? 0 : inRest.length;
}

/** Requests at each life of a server, of callers that are known. */
function runsOfLives(record: SoakRecord): KnownRun[][] {
  const callById = new Map(record.calls.map((call) => [call.requestId, call]));
  const byLife = new Map<number, KnownRun[]>();
  for (const run of record.runs) {
    const call = callById.get(run.requestId);
    if (call !== undefined)
      byLife.set(run.life, [...(byLife.get(run.life) ?? []), { ...run, call }]);
  }
  return [...byLife.values()];
}

function isInterrupted(record: SoakRecord, box: number, fromMs: number, toMs: number): boolean {
  return touches(record.interruptions.get(box) ?? [], fromMs, toMs);
}
