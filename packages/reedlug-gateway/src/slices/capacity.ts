/**
 * Engines ordered from the platform, by the holder of the duty lease.
 *
 * Reclaimable engines carry the load. On-demand ones are kept only while the
 * reclaimable ones are not all there: at the start, and after a reclaim.
 */
import type { ScalingSpec, ServiceSpec } from '../types/configuration.js';
import {
  enginesNeeded,
  firstReclaimable,
  spreadEngines,
  type EngineNeed,
  type ZoneOffer,
} from '../policy/engineTarget.js';
import { holdFigure, log, type GatewayState, type Step } from '../state.js';
import type { HeldNeed } from '../types/views.js';
import { dutyFence } from './duties.js';
import { modelOf } from './engineModels.js';
import {
  BOOT_MARGIN_MS,
  countLost,
  countReady,
  grantedEngines,
  hasOrdered,
  lastOrdered,
  noteDry,
  orderEngines,
  orderKey,
  zoneKey,
} from './engineOrders.js';
import { isLoadKnown, loadOf, measureLoad } from './serviceLoad.js';

/** Pause between plans, in ms: an engine takes seconds to start, a reclaim gives two. */
const PLAN_EVERY_MS = 250;
/** How long a need is kept after it was last that high, in ms: an engine takes 4 s to start, and load comes in waves. */
const HOLD_USUAL_MS = 20_000;
const HOLD_LEAST_MS = 5000;
/** How long after a reclaim more of them are expected, in ms: in logs of zones taken back in turn, the next one went 6 to 10 s later. */
const RECLAIMS_EXPECTED_MS = 12_000;
/** The fence of the first holder of all: nobody has ordered anything before. */
const FIRST_FENCE = 1;
/** Time from this box's start until it plans, in ms: two heartbeats, in which the registry fills. */
const REGISTRY_FILLS_MS = 3500;
/** The same at a first start that nobody asks at, where each engine that stands costs its full price: one heartbeat and the store's delay. */
const FIRST_FILLS_MS = 2400;
/** Pause between two new engines after which all of a first start are taken to have entered themselves, in ms: of 55, ten a second did. */
const FIRST_PAUSE_MS = 700;
/** Longest wait for them, in ms from this box's start. */
const FIRST_FILLS_AT_MOST_MS = 7000;

/** Plans and orders, while this box holds the lease. */
export function capacityTick(state: GatewayState, step: Step): void {
  if (step.nowMs - state.planAtMs < PLAN_EVERY_MS) return;
  const elapsedMs = step.nowMs - state.planAtMs;
  state.planAtMs = step.nowMs;
  measureLoad(state, elapsedMs, step.nowMs);
  if (state.settings.cloud?.ordersEngines !== true) return;
  if (state.active === undefined || !state.serversKnown) return;
  const fence = dutyFence(state, step.nowMs);
  for (const service of state.active.configuration.services) {
    if (service.scaling === undefined) continue;
    if (isBeforeLoad(state, step)) noteFirstOnDemand(state, step, service.name);
    // Every box follows the need, so that a new holder knows it.
    const need = steadyNeed(state, step, service);
    if (fence === undefined) continue;
    const isFirst = fence === FIRST_FENCE && isBeforeLoad(state, step);
    const isFilling = isFirst
      ? firstFills(state, step, service.name)
      : sinceStartMs(state, step) < REGISTRY_FILLS_MS;
    if (!isFilling) planService(state, step, { service, need, fence });
  }
}

function sinceStartMs(state: GatewayState, step: Step): number {
  return step.nowMs - state.startedAtMs;
}

/** True right after this box's start while nobody has asked anything. */
function isBeforeLoad(state: GatewayState, step: Step): boolean {
  return sinceStartMs(state, step) < FIRST_FILLS_AT_MOST_MS && state.loadSinceMs === undefined;
}

/** True while engines of a first start are still entering themselves: those that are not seen would not be replaced. */
function firstFills(state: GatewayState, step: Step, service: string): boolean {
  if (sinceStartMs(state, step) < FIRST_FILLS_MS) return true;
  const first = state.firstOnDemand.get(service);
  if (first === undefined || hasOrdered(state, service)) return false;
  return step.nowMs - first.lastAtMs < FIRST_PAUSE_MS;
}

/** Remembers the engines that the operators started with: so many are likely to be needed. */
function noteFirstOnDemand(state: GatewayState, step: Step, service: string): void {
  // With reclaimable ones there, it is no first start: then on-demand ones only stand in.
  if (countReady(state, { service, reclaimable: true }) > 0) return;
  const first = state.firstOnDemand.get(service) ?? {
    ids: new Set(),
    lastAtMs: Number.NEGATIVE_INFINITY,
  };
  state.firstOnDemand.set(service, first);
  for (const { entry } of state.servers.values()) {
    if (entry.service !== service || entry.reclaimable || first.ids.has(entry.id)) continue;
    first.ids.add(entry.id);
    first.lastAtMs = step.nowMs;
  }
}

/** On-demand engines that the operators started with, as far as they were seen. */
function countStood(state: GatewayState, service: ServiceSpec): number {
  return state.firstOnDemand.get(service.name)?.ids.size ?? 0;
}

/** Places of one engine, by the registry; by the configuration before there is an entry. */
function slotsOf(state: GatewayState, service: ServiceSpec): number {
  let slots = 0;
  let engines = 0;
  for (const { entry } of state.servers.values()) {
    if (entry.service !== service.name) continue;
    slots += entry.slots;
    engines += 1;
  }
  return engines === 0 ? (service.engine?.slots ?? 1) : slots / engines;
}

/** What is there and what was ordered, by zone. */
function zoneOffers(
  state: GatewayState,
  step: Step,
  service: ServiceSpec,
  scaling: ScalingSpec,
): ZoneOffer[] {
  return scaling.zonePrices.map(({ zone, price }) => {
    const ready = countReady(state, { service: service.name, zone, reclaimable: true });
    const { bootMs } = scaling;
    noteLosses(state, step, { service: service.name, name: zone, ready, bootMs });
    const { nowMs } = step;
    const granted = grantedEngines(state, { service: service.name, zone, ready, bootMs, nowMs });
    const dryUntilMs = state.dryUntilMs.get(zoneKey(service.name, zone)) ?? 0;
    return {
      zone,
      price,
      readyReclaimable: ready,
      granted,
      reclaimable: lastOrdered(state, service.name, zone, true),
      onDemand: lastOrdered(state, service.name, zone, false),
      isDry: step.nowMs < dryUntilMs,
    };
  });
}

function planService(
  state: GatewayState,
  step: Step,
  params: { service: ServiceSpec; need: EngineNeed; fence: number },
): void {
  const { service, need, fence } = params;
  const { scaling } = service;
  if (scaling === undefined) return;
  const plan = spreadEngines({
    need,
    zones: zoneOffers(state, step, service, scaling),
    maxPerZone: scaling.maxPerZone,
    hasReclaimable: scaling.reclaimablePriceShare !== undefined,
    keepReserve: step.nowMs < (state.reclaimsUntilMs.get(service.name) ?? 0),
  });
  orderEngines(state, step, { service, plan, fence });
}

/**
 * Finds zones that have run dry: reclaimable engines there went that this box did
 * not give up, or did not come in time after the order was taken.
 */
function noteLosses(
  state: GatewayState,
  step: Step,
  zone: { service: string; name: string; ready: number; bootMs: number },
): void {
  const key = zoneKey(zone.service, zone.name);
  const before = state.readyReclaimable.get(key) ?? 0;
  state.readyReclaimable.set(key, zone.ready);
  const order = state.orders.get(orderKey(zone.service, zone.name, true));
  if (order === undefined) return;
  const dueMs = order.sentAtMs + zone.bootMs + BOOT_MARGIN_MS;
  const isLate = order.taken && step.nowMs > dueMs;
  const lost = countLost(order, Math.max(0, before - zone.ready), step.nowMs);
  if (zone.ready >= order.call.wanted) return;
  const isLoss = lost > 0;
  if (isLoss || isLate) noteDry(state, step, zone.service, zone.name);
  if (!isLoss) return;
  order.granted = Math.max(zone.ready, order.granted - lost);
  if (!isBeingTakenBack(state, zone)) return;
  // Those that were still to come there go with the others.
  order.granted = zone.ready;
  noteReclaim(state, step, zone);
}

/** Engines that are taken back say so and leave; crashed ones are just gone. */
function isBeingTakenBack(state: GatewayState, zone: { service: string; name: string }): boolean {
  return [...state.servers.values()].some(
    ({ entry, leaving }) =>
      leaving && entry.reclaimable && entry.service === zone.service && entry.zone === zone.name,
  );
}

function noteReclaim(
  state: GatewayState,
  step: Step,
  zone: { service: string; name: string; ready: number },
): void {
  state.reclaimsUntilMs.set(zone.service, step.nowMs + RECLAIMS_EXPECTED_MS);
  log(step, 'enginesTakenBack', { service: zone.service, zone: zone.name, left: zone.ready });
}

/** The need, which rises at once and falls only after a while. */
function steadyNeed(state: GatewayState, step: Step, spec: ServiceSpec): EngineNeed {
  const service = spec.name;
  const { usual, least } = enginesNeeded({
    load: loadOf(state, service),
    model: modelOf(state, service, step.nowMs),
    slots: slotsOf(state, spec),
    zones: spec.scaling?.zonePrices.length ?? 1,
    hasReclaimable: spec.scaling?.reclaimablePriceShare !== undefined,
  });
  const held = state.heldNeeds.get(service) ?? startNeed();
  holdFigure(held.usual, usual, step.nowMs, HOLD_USUAL_MS);
  holdFigure(held.least, least, step.nowMs, HOLD_LEAST_MS);
  state.heldNeeds.set(service, held);
  const atLeast = isLoadKnown(state, step) ? 0 : startingCount(state, spec);
  return { usual: Math.max(held.usual.value, atLeast), least: held.least.value };
}

/** Nothing is held yet. */
function startNeed(): HeldNeed {
  return { usual: { value: 0, untilMs: 0 }, least: { value: 0, untilMs: 0 } };
}

/** Before the load is known, what is there stays; at a first start, as many as the operators started with, and a few for each zone at least. */
function startingCount(state: GatewayState, service: ServiceSpec): number {
  const reclaimable = countReady(state, { service: service.name, reclaimable: true });
  const onDemand = countReady(state, { service: service.name, reclaimable: false });
  const stood = countStood(state, service);
  if (stood === 0 && onDemand <= reclaimable) return reclaimable;
  const zones = service.scaling?.zonePrices.length ?? 0;
  return Math.max(reclaimable, firstReclaimable(zones, stood));
}
