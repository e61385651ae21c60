/** Records for how long faults affect boxes and servers. */
import type { SoakRecord, Span } from './soakRecord.js';

/** Records a fault for the boxes from now until `inject` resolves. */
export async function withBoxFault(
  record: SoakRecord,
  boxes: readonly number[],
  inject: () => Promise<void>,
): Promise<void> {
  const span = startSpan();
  addSpan(record.troubles, boxes, span);
  await inject();
  span.toMs = performance.now();
}

/** Records a fault, and also an interruption, for boxes whose processes pause or end. */
export async function withInterruption(
  record: SoakRecord,
  boxes: readonly number[],
  inject: () => Promise<void>,
): Promise<void> {
  const span = startSpan();
  addSpan(record.interruptions, boxes, span);
  await withBoxFault(record, boxes, inject);
  span.toMs = performance.now();
}

/** Adds a span to each of the boxes. */
export function addSpan(spans: Map<number, Span[]>, boxes: readonly number[], span: Span): void {
  for (const box of boxes) spans.set(box, [...(spans.get(box) ?? []), span]);
}

/** Records a fault of a server or its link from now until `inject` resolves. */
export async function withServerFault(
  record: SoakRecord,
  inject: () => Promise<void>,
): Promise<void> {
  const span = startSpan();
  record.serverTroubles.push(span);
  await inject();
  span.toMs = performance.now();
}

/** Returns a span that starts now and has no end yet. */
export function startSpan(): Span {
  return { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY };
}
