/** How many engines a service needs for its load. */

/** Prompt tokens that one engine reads in a second while it also decodes. */
const ENGINE_TOKENS_PER_SECOND = 28_000;
/** Share of an engine's reading that is used on average: waits grow fast above a half. */
const TARGET_USE = 0.4;
/** Engines that are there whatever the load: one loss must leave another. */
const MIN_ENGINES = 3;

/** Engines wanted for a rate of prompt tokens to be read. */
export function enginesWanted(tokensPerSecond: number): number {
  return Math.max(
    MIN_ENGINES,
    Math.ceil(tokensPerSecond / (ENGINE_TOKENS_PER_SECOND * TARGET_USE)),
  );
}

/** What is wanted of each zone and kind. */
export interface ZoneWanted {
  zone: string;
  reclaimable: number;
  onDemand: number;
}

/**
 * Spreads reclaimable engines evenly over zones, cheapest first; on-demand ones
 * fill what is missing while reclaimable ones are away or not to be had.
 */
export function spreadEngines(params: {
  wanted: number;
  zones: readonly { zone: string; price: number; readyReclaimable: number }[];
  maxPerZone: number;
  /** False where the service has no reclaimable engines. */
  hasReclaimable: boolean;
}): ZoneWanted[] {
  const { wanted, maxPerZone, hasReclaimable } = params;
  const zones = [...params.zones].sort((a, b) => a.price - b.price);
  const plan = zones.map(({ zone }) => ({ zone, reclaimable: 0, onDemand: 0 }));
  if (hasReclaimable) deal(plan, wanted, maxPerZone, 'reclaimable');
  const readyOf = new Map(zones.map(({ zone, readyReclaimable }) => [zone, readyReclaimable]));
  let missing = 0;
  for (const entry of plan) {
    missing += Math.max(0, entry.reclaimable - (readyOf.get(entry.zone) ?? 0));
  }
  deal(plan, hasReclaimable ? missing : wanted, maxPerZone, 'onDemand');
  return plan;
}

function deal(
  plan: ZoneWanted[],
  count: number,
  maxPerZone: number,
  kind: 'reclaimable' | 'onDemand',
): void {
  let left = count;
  while (left > 0) {
    const room = plan.filter((entry) => entry.reclaimable + entry.onDemand < maxPerZone);
    const next = room.reduce<ZoneWanted | undefined>(
      (least, entry) => (least === undefined || entry[kind] < least[kind] ? entry : least),
      undefined,
    );
    if (next === undefined) return;
    next[kind] += 1;
    left -= 1;
  }
}
