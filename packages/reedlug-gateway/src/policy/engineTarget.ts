/** How many engines a service needs for its load, and where. */

/** Prompt tokens that one engine reads in a second while it also decodes. */
const ENGINE_TOKENS_PER_SECOND = 28_000;
/** Share of an engine's reading that is used on average: above it, each step carries a piece of a prompt and streams miss their deadlines (measured: 0.45 lost a tenth of the credit). */
const USUAL_USE = 0.28;
/** Share that is borne while reclaimable engines are away, before on-demand ones are paid for. */
const STRAINED_USE = 0.42;
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

/** Engines needed for a rate of prompt tokens to be read. */
export function enginesNeeded(tokensPerSecond: number): EngineNeed {
  const atUse = (use: number): number =>
    Math.ceil(tokensPerSecond / (ENGINE_TOKENS_PER_SECOND * use));
  return {
    usual: Math.max(MIN_ENGINES, atUse(USUAL_USE)),
    least: Math.max(MIN_READY, atUse(STRAINED_USE)),
  };
}

/** What is wanted of each zone and kind. */
export interface ZoneWanted {
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
  /** True while no further reclaimable engines are to be had there. */
  isDry: boolean;
}

/**
 * Spreads reclaimable engines evenly over zones, the cheapest first. On-demand
 * ones fill what is missing to the least while reclaimable ones are away.
 */
export function spreadEngines(params: {
  need: EngineNeed;
  zones: readonly ZoneOffer[];
  maxPerZone: number;
  /** False where the service has no reclaimable engines. */
  hasReclaimable: boolean;
}): ZoneWanted[] {
  const { need, maxPerZone, hasReclaimable } = params;
  const zones = [...params.zones].sort((a, b) => a.price - b.price);
  if (!hasReclaimable) {
    const caps = zones.map(() => maxPerZone);
    const onDemand = deal(need.usual, caps);
    return zones.map(({ zone }, index) => ({
      zone,
      reclaimable: 0,
      onDemand: onDemand[index] ?? 0,
    }));
  }
  // A dry zone keeps what it has: what is wished for there would only take the room of others.
  const caps = zones.map(({ isDry, readyReclaimable }) =>
    isDry ? Math.min(maxPerZone, readyReclaimable) : maxPerZone,
  );
  const reclaimable = deal(need.usual, caps);
  const ready = zones.reduce((sum, { readyReclaimable }) => sum + readyReclaimable, 0);
  const room = reclaimable.map((count) => maxPerZone - count);
  const onDemand = deal(need.least - ready, room);
  return zones.map(({ zone }, index) => ({
    zone,
    reclaimable: reclaimable[index] ?? 0,
    onDemand: onDemand[index] ?? 0,
  }));
}

/** Deals a number out evenly, the first places first, up to a cap for each. */
function deal(count: number, caps: readonly number[]): number[] {
  const dealt = caps.map(() => 0);
  for (let left = count; left > 0; left -= 1) {
    let least: number | undefined;
    for (const [index, cap] of caps.entries()) {
      const held = dealt[index] ?? 0;
      if (held < cap && (least === undefined || held < (dealt[least] ?? 0))) least = index;
    }
    if (least === undefined) break;
    dealt[least] = (dealt[least] ?? 0) + 1;
  }
  return dealt;
}
