/**
 * Sliding window of charged units.
 *
 * Units are kept in buckets. A bucket leaves the window only once its latest moment has left it,
 * so the sum is never below the true one.
 */

/** Length of a bucket, in ms: units may count for this much longer than the window. */
const BUCKET_MS = 100;

interface Bucket {
  startMs: number;
  units: number;
}

/** Sliding window of units. */
export interface UnitWindow {
  lengthMs: number;
  /** In order of time. */
  buckets: Bucket[];
  total: number;
}

/** Returns an empty window. */
export function createUnitWindow(lengthMs: number): UnitWindow {
  return { lengthMs, buckets: [], total: 0 };
}

/** Adds units that count from the given time on, which may lie in the future. */
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

/**
 * Returns the units in the window that ends now, including those that count from a future time, and
 * drops older ones.
 */
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

/**
 * Bound on the units of each span of a window: a burst, and a number of units for each ms of the
 * span.
 */
export interface WindowBound {
  burst: number;
  perMs: number;
  /** Time from which the bound applies. */
  sinceMs: number;
}

/**
 * Returns the units that may be added at a time, now or later, so that no span of the window
 * ending then exceeds `burst` plus `perMs` for each of its ms. Spans that begin before `sinceMs`
 * are ignored.
 */
export function spareUnitsWithin(
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

/**
 * Step of the search for the time until units are spare, in ms: small compared with the
 * `Retry-After` times of callers.
 */
const SEARCH_STEP_MS = 100;

/**
 * Returns the time until this many units are spare if nothing is added, in ms; the window's length
 * if they never are.
 */
export function timeUntilSpareMs(
  window: UnitWindow,
  bounds: readonly WindowBound[],
  params: { units: number; nowMs: number },
): number {
  const { units, nowMs } = params;
  for (let ms = 0; ms < window.lengthMs; ms += SEARCH_STEP_MS) {
    if (bounds.every((bound) => spareUnitsWithin(window, bound, nowMs + ms) >= units)) return ms;
  }
  return window.lengthMs;
}
