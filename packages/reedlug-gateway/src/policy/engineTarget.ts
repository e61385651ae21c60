/** Determines how many engines a service needs for its load, and in which zones. */
import type { EngineModel } from './engineModel.js';

/** Average utilization of engines, as shares of their capacity. */
interface Utilization {
  /**
   * Share of the prefill capacity: above it, each step includes a chunk of a prompt and streams
   * miss their deadlines.
   */
  prefill: number;
  /** Share of the slots: above it, requests that arrive in bursts wait for a slot. */
  slots: number;
}
/** Target in normal operation, before the reserve for lost zones. */
const USUAL_UTILIZATION: Utilization = { prefill: 0.38, slots: 0.5 };
/**
 * Utilization that is tolerated after the loss of half of the zones before on-demand engines are
 * ordered; above it, waits grow several times.
 */
const STRAINED_UTILIZATION: Utilization = { prefill: 0.55, slots: 0.7 };
/** Minimum number of engines, whatever the load: others must remain after the loss of one. */
const MIN_ENGINES = 3;
/**
 * Minimum number of ready engines of any kind, whatever the load; below it, on-demand engines are
 * ordered.
 */
const MIN_READY = 2;

/** Number of engines that a service needs. */
export interface EngineNeed {
  /** Number in normal operation. */
  usual: number;
  /** Number of ready engines below which on-demand engines are ordered. */
  least: number;
}

/** Load of a service, over all boxes. */
export interface ServiceLoad {
  /** Requests in progress, including those that wait for a slot. */
  openRequests: number;
  /** Prompt tokens to process per second. */
  tokensPerSecond: number;
}

/**
 * Returns the number of engines needed for a load: the larger of the numbers needed for prefill
 * and for slots. Requests in progress equal the arrival rate times the time in the system
 * (Little's law), so slower engines raise both numbers. In normal operation, the loss of half
 * of the zones still leaves the minimum, because no engines are available in a zone for a while
 * after a reclaim, and zones are reclaimed one after the other.
 */
export function enginesNeeded(params: {
  load: ServiceLoad;
  model: EngineModel;
  /** Slots of one engine. */
  slots: number;
  /**
   * Mean speed of the engines present, where 1 is the speed that the model describes: capacity is
   * counted in engines of that speed, so the loss of fast engines weighs more than that of slow
   * ones.
   */
  meanSpeed?: number;
  /** Number of zones that engines are spread over. */
  zones: number;
  /** False if the service has no reclaimable engines. */
  hasReclaimable: boolean;
}): EngineNeed {
  const { load, model, slots, meanSpeed = 1, zones, hasReclaimable } = params;
  const enginesAt = (utilization: Utilization): number => {
    const tokensPerSecond = model.tokensPerMs * meanSpeed * 1000;
    const byPrefill = load.tokensPerSecond / (tokensPerSecond * utilization.prefill);
    const bySlots = load.openRequests / (Math.max(1, slots) * utilization.slots);
    return Math.ceil(Math.max(byPrefill, bySlots));
  };
  const least = Math.max(MIN_READY, enginesAt(STRAINED_UTILIZATION));
  const reserved = hasReclaimable ? withZoneLossReserve(least, zones) : least;
  const usual = Math.max(MIN_ENGINES, enginesAt(USUAL_UTILIZATION), reserved);
  return { usual, least };
}

/**
 * Returns the smallest number of engines of which `remaining` are left after the loss of half of
 * the zones, rounded down, if they are spread evenly.
 */
export function withZoneLossReserve(remaining: number, zones: number): number {
  const lost = Math.floor(zones / 2);
  const left = Math.max(1, zones - lost);
  // In the fullest zone; each lost zone takes as many.
  const perZone = Math.ceil(remaining / left);
  return remaining + lost * perZone;
}

/**
 * Minimum number of reclaimable engines ordered in each zone at the first start, while the load is
 * unknown: they cost a fraction of on-demand ones, and once the load is known, more are ready after
 * one boot time.
 */
const INITIAL_RECLAIMABLE_PER_ZONE = 3;

/**
 * Returns the number of reclaimable engines, over all zones, at the first start of a service
 * before any request has arrived. Without the expected number, three engines per zone gave 195
 * boxes 15 engines in place of the 35 that their callers needed, and the first six seconds
 * earned 0.52 to 0.77 of their worth.
 */
export function initialReclaimable(zones: number, expected: number): number {
  return Math.max(expected, zones * INITIAL_RECLAIMABLE_PER_ZONE);
}

/** Target numbers of engines of each kind in a zone. */
export interface ZoneTarget {
  zone: string;
  reclaimable: number;
  onDemand: number;
}

/** Zone in which engines may be ordered. */
export interface ZoneOffer {
  zone: string;
  price: number;
  /** Reclaimable engines in the zone that accept requests. */
  readyReclaimable: number;
  /** Those engines, and granted ones that are still starting. */
  granted: number;
  /** Engines last ordered in the zone, by kind. */
  reclaimable: number;
  onDemand: number;
  /** True while no further reclaimable engines are available in the zone. */
  isOutOfCapacity: boolean;
}

/**
 * Spreads reclaimable engines evenly over zones, starting with the cheapest one. On-demand
 * engines make up the difference to the minimum while too few reclaimable ones are ready.
 * Engines that were ordered stay in their zones if possible, because moving one costs a start
 * and a cold cache.
 */
export function spreadEngines(params: {
  need: EngineNeed;
  zones: readonly ZoneOffer[];
  maxPerZone: number;
  /** False if the service has no reclaimable engines. */
  hasReclaimable: boolean;
  /**
   * True while zones are being reclaimed, when the loss of one more zone must leave enough engines.
   */
  keepReserve: boolean;
}): ZoneTarget[] {
  const { need, maxPerZone, hasReclaimable, keepReserve } = params;
  const zones = [...params.zones].sort((a, b) => a.price - b.price);
  const onDemand = hasReclaimable
    ? onDemandFor({ need, zones, maxPerZone, keepReserve })
    : distribute(
        need.usual,
        [],
        zones.map(() => maxPerZone),
      );
  // An exhausted zone keeps its ready and starting engines. Ordering more there would only use up
  // the numbers of other zones.
  const caps = zones.map(({ isOutOfCapacity, granted }, index) => {
    const free = maxPerZone - (onDemand[index] ?? 0);
    return isOutOfCapacity ? Math.min(free, granted) : free;
  });
  const ordered = zones.map((zone) => zone.reclaimable);
  const reclaimable = hasReclaimable ? distribute(need.usual, ordered, caps) : [];
  return zones.map(({ zone }, index) => ({
    zone,
    reclaimable: reclaimable[index] ?? 0,
    onDemand: onDemand[index] ?? 0,
  }));
}

/**
 * Returns the target numbers of on-demand engines by zone. Existing ones stay until enough
 * reclaimable engines are ready. New ones are ordered only beyond the engines that are starting,
 * in the zones with the fewest engines.
 */
function onDemandFor(params: {
  need: EngineNeed;
  zones: readonly ZoneOffer[];
  maxPerZone: number;
  keepReserve: boolean;
}): number[] {
  const { need, zones, maxPerZone, keepReserve } = params;
  const readyByZone = zones.map(({ readyReclaimable }) => readyReclaimable);
  const atRisk = keepReserve ? Math.max(0, ...readyByZone) : 0;
  const ready = total(readyByZone) - atRisk;
  const ordered = zones.map(({ onDemand }) => onDemand);
  const pendingByZone = zones.map((zone) => {
    const { isOutOfCapacity, reclaimable, readyReclaimable, granted } = zone;
    return Math.max(0, (isOutOfCapacity ? granted : reclaimable) - readyReclaimable);
  });
  const otherEngines = readyByZone.map((count, index) => count + (pendingByZone[index] ?? 0));
  const missing = need.least - ready;
  const kept = distribute(Math.min(missing, total(ordered)), ordered, ordered, otherEngines);
  const wanted = Math.max(total(kept), missing - total(pendingByZone));
  const spare = readyByZone.map((count) => maxPerZone - count);
  return distribute(wanted, kept, spare, otherEngines);
}

function total(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/**
 * Changes counts so that they add up to a number, within caps: it increments the smallest counts
 * and decrements the largest. `others` affect which count is smallest or largest, but not the sum.
 */
function distribute(
  count: number,
  from: readonly number[],
  caps: readonly number[],
  others: readonly number[] = [],
): number[] {
  const withOthers = (counts: readonly number[]): number[] =>
    counts.map((held, index) => held + (others[index] ?? 0));
  const distributed = caps.map((cap, index) => Math.max(0, Math.min(cap, from[index] ?? 0)));
  while (total(distributed) > Math.max(0, count)) {
    const greatest = indexOfBest(
      withOthers(distributed),
      (held, best) => held >= best,
      (index) => (distributed[index] ?? 0) > 0,
    );
    distributed[greatest] = (distributed[greatest] ?? 0) - 1;
  }
  while (total(distributed) < count) {
    const hasSpare = (index: number): boolean => (distributed[index] ?? 0) < (caps[index] ?? 0);
    const least = indexOfBest(withOthers(distributed), (held, best) => held < best, hasSpare);
    if (least < 0) break;
    distributed[least] = (distributed[least] ?? 0) + 1;
  }
  return distributed;
}

function indexOfBest(
  counts: readonly number[],
  isBetter: (held: number, best: number) => boolean,
  isAllowed: (index: number) => boolean,
): number {
  let best = -1;
  for (const [index, held] of counts.entries()) {
    if (!isAllowed(index)) continue;
    if (best < 0 || isBetter(held, counts[best] ?? 0)) best = index;
  }
  return best;
}
