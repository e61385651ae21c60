/** How many engines a service needs for its load, and where. */
import type { EngineModel } from './engineModel.js';

/** Shares of what engines can do that are used on average. */
interface Utilization {
  /** Of their reading: above it, each step carries a piece of a prompt and streams miss their deadlines. */
  prefill: number;
  /** Of their places: above it, clumps of requests wait for one. */
  slots: number;
}
/** In usual times, where no zone can be lost: a choice. */
const USUAL_UTILIZATION: Utilization = { prefill: 0.38, slots: 0.5 };
/**
 * Borne after half of the zones are lost, before on-demand ones are paid for: a choice;
 * above it, waits grow several times. On-demand engines from 0.7 of the reading on cost
 * 6 % fewer engine seconds on a played quiet day, but its worst seconds got 0.83 of
 * their worth in place of 0.91.
 */
const STRAINED_UTILIZATION: Utilization = { prefill: 0.55, slots: 0.7 };
/** Engines that are there whatever the load: one loss must leave others. */
const MIN_ENGINES = 3;
/** Engines of any kind below which on-demand ones are ordered, whatever the load. */
const MIN_READY = 2;

/** Engines of a service by its load. */
export interface EngineNeed {
  /** For usual times. */
  usual: number;
  /** With fewer ready ones, on-demand engines are ordered. */
  least: number;
}

/** What callers ask of a service, over all boxes. */
export interface ServiceLoad {
  /** Requests in progress, those that wait for a place included. */
  openRequests: number;
  /** Prompt tokens to be read a second. */
  tokensPerSecond: number;
}

/**
 * Engines needed for a load: by reading or by places, whichever asks for more.
 * Requests in progress are arrivals times their stay (Little's law), so a slower
 * engine shows in both. In usual times the loss of half of the zones leaves what
 * is needed at least: after a reclaim there are none to be had for a while, and
 * zones go one after the other.
 */
export function enginesNeeded(params: {
  load: ServiceLoad;
  model: EngineModel;
  /** Places of one engine. */
  slots: number;
  /** Zones that engines are spread over. */
  zones: number;
  /** False where the service has no engines that may be taken back. */
  hasReclaimable: boolean;
}): EngineNeed {
  const { load, model, slots, zones, hasReclaimable } = params;
  const enginesAt = (utilization: Utilization): number => {
    const byPrefill = load.tokensPerSecond / (model.tokensPerMs * 1000 * utilization.prefill);
    const bySlots = load.openRequests / (Math.max(1, slots) * utilization.slots);
    return Math.ceil(Math.max(byPrefill, bySlots));
  };
  const least = Math.max(MIN_READY, enginesAt(STRAINED_UTILIZATION));
  const reserved = hasReclaimable ? withZoneLossReserve(least, zones) : least;
  const usual = Math.max(MIN_ENGINES, enginesAt(USUAL_UTILIZATION), reserved);
  return { usual, least };
}

/** Engines spread evenly over zones of which so many are left after half of the zones, rounded down, are lost. */
function withZoneLossReserve(remaining: number, zones: number): number {
  const lost = Math.floor(zones / 2);
  let engines = remaining;
  while (engines - lost * Math.ceil(engines / Math.max(1, zones)) < remaining) engines += 1;
  return engines;
}

/** Reclaimable engines ordered in each zone at a first start at least, when no load is known; they cost a fraction, and more come one boot after the load is known. */
const INITIAL_RECLAIMABLE_PER_ZONE = 3;

/**
 * Reclaimable engines at the first start of a service, over all zones, while nobody
 * has asked anything yet. Three a zone alone left 195 boxes with 15 engines where
 * their callers needed 35: the first six seconds earned 0.52 to 0.77 of what they could.
 */
export function initialReclaimable(zones: number, expected: number): number {
  return Math.max(expected, zones * INITIAL_RECLAIMABLE_PER_ZONE);
}

/** What is wanted of each zone and kind. */
export interface ZoneTarget {
  zone: string;
  reclaimable: number;
  onDemand: number;
}

/** A zone that engines may be ordered in. */
export interface ZoneOffer {
  zone: string;
  price: number;
  /** Reclaimable engines there that take work. */
  readyReclaimable: number;
  /** Those, and what the platform has granted and is on its way. */
  granted: number;
  /** Engines last ordered there, by kind. */
  reclaimable: number;
  onDemand: number;
  /** True while no further reclaimable engines are to be had there. */
  isOutOfCapacity: boolean;
}

/**
 * Spreads reclaimable engines evenly over zones, the cheapest first. On-demand
 * ones fill what is missing to the least while reclaimable ones are away.
 * Whatever was ordered stays where it is as long as it fits: moving an engine
 * costs a start and a cold cache.
 */
export function spreadEngines(params: {
  need: EngineNeed;
  zones: readonly ZoneOffer[];
  maxPerZone: number;
  /** False where the service has no reclaimable engines. */
  hasReclaimable: boolean;
  /** True while zones are being taken back: then the loss of one more must leave enough. */
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
  // A dry zone keeps what it has and what comes: what is wished for there would only take the room of others.
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
 * On-demand engines that are there stay until enough reclaimable ones serve; new
 * ones count those on their way, and go where fewest engines are.
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
 * Changes counts so that they sum to a number, within caps: adds to the least, takes
 * from the greatest. What is `beside` counts in that, but not in the sum.
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
