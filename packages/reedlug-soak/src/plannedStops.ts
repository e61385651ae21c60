/** Checks what callers of boxes see that are stopped by a signal. */
import type { GuaranteeBounds, Violation } from './guaranteeBounds.js';
import { overlaps, type Call, type SoakRecord, type Span } from './soakRecord.js';

/** Returns the violated guarantees of planned stops. */
export function checkPlannedStops(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const arrived = new Set(record.runs.map(({ requestId }) => requestId));
  return record.calls.flatMap((call) => [
    ...checkInProgress(record, call),
    ...checkPassedOn(record, call, arrived),
    ...checkComeback(record, call, bounds),
  ]);
}

/**
 * Checks that calls in progress at the signal end with a response, unless another fault affected
 * them.
 */
function checkInProgress(record: SoakRecord, call: Call): Violation[] {
  const stop = stopsOf(record, call).find(
    ({ fromMs, toMs }) => call.sentAtMs < fromMs && call.endedAtMs >= fromMs && toMs > 0,
  );
  if (stop === undefined || (call.status !== undefined && call.isWhole)) return [];
  if (call.leftAtMs !== undefined) return [];
  if (hasOtherFault(record, call, stop)) return [];
  if (overlaps(record.serverTroubles, call.sentAtMs - 500, call.endedAtMs + 100)) return [];
  const detail = `${call.kind} ${call.requestId} was cut when box ${call.box} stopped`;
  return [{ promise: 'a planned stop cuts nothing', detail }];
}

/** Checks that calls sent after the signal which reach a server are answered, whatever happens to that server. */
function checkPassedOn(record: SoakRecord, call: Call, arrived: ReadonlySet<string>): Violation[] {
  if (call.status !== undefined || call.leftAtMs !== undefined) return [];
  if (!arrived.has(call.requestId)) return [];
  const stop = stopsOf(record, call).find(
    ({ fromMs, toMs }) => call.sentAtMs >= fromMs && call.sentAtMs < toMs,
  );
  if (stop === undefined || hasOtherFault(record, call, stop)) return [];
  const afterMs = Math.round(call.sentAtMs - stop.fromMs);
  const detail = `${call.kind} ${call.requestId}, sent ${afterMs} ms after the signal to box ${call.box}`;
  return [{ promise: 'a stopping box answers what it passed on', detail }];
}

/** Checks that a caller whom a stopping box refused is not refused by a box without faults. */
function checkComeback(record: SoakRecord, call: Call, bounds: GuaranteeBounds): Violation[] {
  if (call.isComeback !== true || (call.status !== undefined && call.status !== 503)) return [];
  const faults = record.troubles.get(call.box) ?? [];
  if (overlaps(faults, call.sentAtMs - bounds.recoveryMs, call.endedAtMs)) return [];
  if (overlaps(record.serverTroubles, call.sentAtMs - bounds.recoveryMs, call.endedAtMs)) return [];
  const detail = `${call.kind} ${call.requestId} got ${call.status ?? 'nothing'} at box ${call.box}`;
  return [{ promise: 'a refused caller is served elsewhere', detail }];
}

function stopsOf(record: SoakRecord, { box }: Call): readonly Span[] {
  return record.stops.get(box) ?? [];
}

function hasOtherFault(record: SoakRecord, call: Call, stop: Span): boolean {
  const others = (record.troubles.get(call.box) ?? []).filter((span) => span !== stop);
  return overlaps(others, call.sentAtMs - 100, call.endedAtMs + 100);
}
