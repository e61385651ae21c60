/**
 * Checks the requests to servers after they announced in responses that they are draining, or asked
 * for a pause.
 */
import { TOLERANCE_MS, type GuaranteeBounds, type Violation } from './guaranteeBounds.js';
import { overlaps, type Call, type Arrival, type SoakRecord } from './soakRecord.js';

/**
 * Time after a refusal from which requests are counted, in ms, and maximum number of them until the
 * pause ends. The users require both values.
 */
const PAUSE_GRACE_MS = 500;
const MAX_REQUESTS_PER_PAUSE = 2;

/** A request at a server together with the caller's view of it. */
interface ArrivalWithCall extends Arrival {
  call: Call;
}

/**
 * Counts requests to a draining server that callers sent after their box had forwarded its
 * announcement and the drain bound had passed.
 */
export function checkDrainingStatements(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  return arrivalsByIncarnation(record).flatMap((arrivals) => {
    const announcedAtMs = new Map<number, number>();
    for (const { call, saysLeaving } of arrivals) {
      if (saysLeaving !== true || call.status === undefined) continue;
      announcedAtMs.set(
        call.box,
        Math.min(announcedAtMs.get(call.box) ?? Infinity, call.endedAtMs),
      );
    }
    const lateArrivals = arrivals.filter(({ call }) => {
      const fromMs = announcedAtMs.get(call.box) ?? Infinity;
      const isLate = call.sentAtMs > fromMs + bounds.drainMs + TOLERANCE_MS;
      return isLate && !isInterrupted(record, call.box, fromMs, call.sentAtMs);
    });
    if (lateArrivals.length === 0) return [];
    const detail = `${lateArrivals[0]?.server}: ${lateArrivals.length}, first ${lateArrivals[0]?.requestId}`;
    return [{ promise: 'nothing to a server that says it leaves', detail }];
  });
}

/**
 * Counts the requests that a box sent to a server during a pause that the server had asked it for.
 */
export function checkPauses(record: SoakRecord): Violation[] {
  return arrivalsByIncarnation(record).flatMap((arrivals) => {
    const exceeded = arrivals.flatMap((asked) => {
      const count = countDuringPause(record, arrivals, asked);
      return count > MAX_REQUESTS_PER_PAUSE ? [{ asked, count }] : [];
    });
    const [first] = exceeded;
    if (first === undefined) return [];
    const { server, requestId, restSeconds = '' } = first.asked;
    const detail = `${server}: ${first.count} in ${restSeconds} s asked of ${requestId}`;
    return [{ promise: 'rests of servers', detail }];
  });
}

function countDuringPause(
  record: SoakRecord,
  arrivals: readonly ArrivalWithCall[],
  refusal: ArrivalWithCall,
): number {
  const pauseMs = Number(refusal.restSeconds ?? Number.NaN) * 1000;
  const { box } = refusal.call;
  // The refusal may not have reached the box.
  const mayBeLost = overlaps(
    record.linkTroubles,
    refusal.atMs - PAUSE_GRACE_MS,
    refusal.atMs + TOLERANCE_MS,
  );
  if (!(pauseMs > 0) || mayBeLost) return 0;
  const fromMs = refusal.atMs + PAUSE_GRACE_MS + TOLERANCE_MS;
  const duringPause = arrivals.filter(({ call, atMs }) => {
    return call.box === box && atMs > fromMs && atMs < refusal.atMs + pauseMs;
  });
  const lastAtMs = Math.max(fromMs, ...duringPause.map(({ atMs }) => atMs));
  return isInterrupted(record, box, refusal.atMs, lastAtMs) ? 0 : duringPause.length;
}

/** Returns the arrivals of each server incarnation whose calls are in the record. */
function arrivalsByIncarnation(record: SoakRecord): ArrivalWithCall[][] {
  const callById = new Map(record.calls.map((call) => [call.requestId, call]));
  const byIncarnation = new Map<number, ArrivalWithCall[]>();
  for (const arrival of record.runs) {
    const call = callById.get(arrival.requestId);
    if (call !== undefined)
      byIncarnation.set(arrival.life, [
        ...(byIncarnation.get(arrival.life) ?? []),
        { ...arrival, call },
      ]);
  }
  return [...byIncarnation.values()];
}

function isInterrupted(record: SoakRecord, box: number, fromMs: number, toMs: number): boolean {
  return overlaps(record.interruptions.get(box) ?? [], fromMs, toMs);
}
