/**
 * Units charged in the last span of time.
 *
 * Units are kept in slices; a slice leaves the window when its newest moment has,
 * so the sum is never below the true one.
 */

/** Length of a slice, in ms: what the sum may be too old by. */
const BUCKET_MS = 100;

interface Bucket {
  startMs: number;
  units: number;
}

/** A sliding window of units. */
export interface UnitWindow {
  lengthMs: number;
  /** In the order of time. */
  buckets: Bucket[];
  total: number;
}

/** Returns an empty window. */
export function createUnitWindow(lengthMs: number): UnitWindow {
  return { lengthMs, buckets: [], total: 0 };
}

/** Adds units that count from a time on, which may be some ms ahead. */
export function addUnits(window: UnitWindow, units: number, atMs: number): void {
  const startMs = Math.floor(atMs / BUCKET_MS) * BUCKET_MS;
  const { buckets } = window;
  let at = buckets.length;
  while (at > 0 && (buckets[at - 1] as Bucket).startMs > startMs) at -= 1;
  const bucket = buckets[at - 1];
  if (bucket?.startMs === startMs) bucket.units += units;
  else buckets.splice(at, 0, { startMs, units });
  window.total += units;
}

/** Units within the window that ends now; those counted ahead are in it. */
export function unitsWithin(window: UnitWindow, nowMs: number): number {
  while (window.buckets.length > 0) {
    const oldest = window.buckets[0] as Bucket;
    if (expiresAtMs(window, oldest) > nowMs) break;
    window.buckets.shift();
    window.total -= oldest.units;
  }
  if (window.buckets.length === 0) window.total = 0;
  return window.total;
}

function expiresAtMs({ lengthMs }: UnitWindow, { startMs }: Bucket): number {
  return startMs + BUCKET_MS + lengthMs;
}

/** What may be added to a window: so much at one moment, and so much more for each ms that a span is long. */
export interface WindowBound {
  burst: number;
  perMs: number;
  /** From when on it holds. */
  sinceMs: number;
}

/**
 * Units that may be added at a time, now or later, so that no span of the window
 * that ends then holds more than `burst` and `perMs` for each of its ms. Spans that
 * begin before `sinceMs` are left out.
 */
export function spareUnits(
  window: UnitWindow,
  { burst, perMs, sinceMs }: WindowBound,
  atMs: number,
): number {
  let spare = burst;
  let units = 0;
  for (let at = window.buckets.length - 1; at >= 0; at -= 1) {
    const bucket = window.buckets[at] as Bucket;
    if (expiresAtMs(window, bucket) <= atMs || bucket.startMs + BUCKET_MS <= sinceMs) break;
    units += bucket.units;
    const spanMs = Math.max(0, atMs - bucket.startMs - BUCKET_MS);
    spare = Math.min(spare, burst + perMs * spanMs - units);
  }
  return spare;
}

/** Steps in which the time to room is looked for, in ms: fine against the times that callers are told. */
const SEARCH_STEP_MS = 100;

/** Time from now until there is room for so many units if nothing is added, in ms; the window's length when there never is. */
export function timeUntilSpareMs(
  window: UnitWindow,
  bounds: readonly WindowBound[],
  params: { units: number; nowMs: number },
): number {
  const { units, nowMs } = params;
  for (let ms = 0; ms < window.lengthMs; ms += SEARCH_STEP_MS) {
    if (bounds.every((bound) => spareUnits(window, bound, nowMs + ms) >= units)) return ms;
  }
  return window.lengthMs;
}
