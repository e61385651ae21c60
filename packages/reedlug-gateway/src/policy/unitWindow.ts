/**
 * Units admitted in the last span of time.
 *
 * Units are kept in slices; a slice leaves the window when its newest moment has,
 * so the sum is never below the true one.
 */

/** Length of a slice, in ms: what the sum may be too old by. */
const SLICE_MS = 100;

interface Slice {
  startMs: number;
  units: number;
}

/** A sliding window of units. */
export interface UnitWindow {
  lengthMs: number;
  /** In the order of time. */
  slices: Slice[];
  total: number;
}

/** Returns an empty window. */
export function createUnitWindow(lengthMs: number): UnitWindow {
  return { lengthMs, slices: [], total: 0 };
}

/** Adds units that were admitted now. */
export function addUnits(window: UnitWindow, units: number, nowMs: number): void {
  const startMs = Math.floor(nowMs / SLICE_MS) * SLICE_MS;
  const last = window.slices.at(-1);
  if (last !== undefined && last.startMs >= startMs) last.units += units;
  else window.slices.push({ startMs, units });
  window.total += units;
}

/** Adds units of which only the sum over a span is known, spread evenly over it; without a span, over the whole window. */
export function addSpreadUnits(
  window: UnitWindow,
  units: number,
  nowMs: number,
  spanMs = window.lengthMs,
): void {
  if (units <= 0) return;
  const count = Math.max(1, Math.ceil(Math.min(spanMs, window.lengthMs) / SLICE_MS));
  const endMs = Math.floor(nowMs / SLICE_MS) * SLICE_MS;
  const added = Array.from({ length: count }, (_, index) => ({
    startMs: endMs - index * SLICE_MS,
    units: units / count,
  }));
  insertSlices(window, added);
}

function insertSlices(window: UnitWindow, added: readonly Slice[]): void {
  window.slices = [...window.slices, ...added].sort((a, b) => a.startMs - b.startMs);
  window.total += added.reduce((sum, { units }) => sum + units, 0);
}

/** Length of a sum of `sumsOf`, in ms. */
export const SUM_MS = 500;

/** The window as sums over half seconds, the newest first. */
export function sumsOf(window: UnitWindow, nowMs: number): number[] {
  const sums = Array<number>(Math.ceil(window.lengthMs / SUM_MS) + 1).fill(0);
  unitsWithin(window, nowMs);
  for (const { startMs, units } of window.slices) {
    const index = Math.min(sums.length - 1, Math.max(0, Math.floor((nowMs - startMs) / SUM_MS)));
    sums[index] = (sums[index] ?? 0) + units;
  }
  return sums;
}

/** Adds sums over half seconds, the newest first; each counts from its newest moment. */
export function addSums(window: UnitWindow, sums: readonly number[], nowMs: number): void {
  const added = sums.map((units, index) => ({
    startMs: Math.floor((nowMs - index * SUM_MS) / SLICE_MS) * SLICE_MS,
    units,
  }));
  insertSlices(
    window,
    added.filter(({ units }) => units > 0),
  );
}

/** Units within the window that ends now. */
export function unitsWithin(window: UnitWindow, nowMs: number): number {
  const oldestMs = nowMs - window.lengthMs;
  while (window.slices.length > 0) {
    const oldest = window.slices[0] as Slice;
    if (oldest.startMs + SLICE_MS > oldestMs) break;
    window.slices.shift();
    window.total -= oldest.units;
  }
  if (window.slices.length === 0) window.total = 0;
  return window.total;
}

/** Units of the window that were added at a time or later. */
export function unitsSince(window: UnitWindow, sinceMs: number): number {
  let units = 0;
  for (const slice of window.slices) {
    if (slice.startMs + SLICE_MS > sinceMs) units += slice.units;
  }
  return units;
}

/** Time from now until so many units of the window have left it, in ms; its length when it holds fewer. */
export function timeUntilLeft(window: UnitWindow, units: number, nowMs: number): number {
  let left = 0;
  for (const slice of window.slices) {
    left += slice.units;
    if (left >= units) return Math.max(0, slice.startMs + SLICE_MS + window.lengthMs - nowMs);
  }
  return window.lengthMs;
}
