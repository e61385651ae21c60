/**
 * Engines ordered from the platform, by the holder of the duty lease.
 *
 * Reclaimable engines carry the load. On-demand ones are kept only while the
 * reclaimable ones are not all there: at the start, and after a reclaim.
 */
import type { ScalingSpec, ServiceSpec } from '../types/configuration.js';
import {
  spreadEngines,
  type EngineNeed,
  type ZoneOffer,
  type ZoneWanted,
} from '../policy/engineTarget.js';
import { log, type GatewayState, type Step } from '../state.js';
import { dutyFence } from './dutyLease.js';
import { isBeforeLoad, noteFirstOnDemand, steadyNeed } from './engineNeed.js';
import {
  BOOT_MARGIN_MS,
  countLost,
  countReady,
  grantedEngines,
  lastOrdered,
  noteDry,
  orderEngines,
  orderKey,
  zoneKey,
} from './engineOrders.js';
import { measureLoad } from './serviceLoad.js';
import { isRollingOut } from './versionRule.js';

/** Pause between plans, in ms: an engine takes seconds to start, a reclaim gives two. */
const PLAN_EVERY_MS = 250;
/** How long after a reclaim more of them are expected, in ms: in logs of zones taken back in turn, the next one went 6 to 10 s later. */
const RECLAIMS_EXPECTED_MS = 12_000;
/** The fence of the first holder of all: nobody has ordered anything before. */
const FIRST_FENCE = 1;
/** Time from this box's start until it plans, in ms: two heartbeats, in which the registry fills. */
const REGISTRY_FILLS_MS = 3500;

/** Plans and orders, while this box holds the lease. */
export function capacityTick(state: GatewayState, step: Step): void {
  if (step.nowMs - state.plannedAtMs < PLAN_EVERY_MS) return;
  const elapsedMs = step.nowMs - state.plannedAtMs;
  state.plannedAtMs = step.nowMs;
  measureLoad(state, elapsedMs, step.nowMs);
  if (state.settings.cloud?.ordersEngines !== true) return;
  if (state.active === undefined || !state.serversKnown) return;
  const fence = dutyFence(state, step.nowMs);
  for (const service of state.active.configuration.services) {
    if (service.scaling === undefined) continue;
    if (isBeforeLoad(state, step)) noteFirstOnDemand(state, service.name);
    // At a first start the engines that stand cost their full price: nothing is awaited.
    const isFirst = fence === FIRST_FENCE && isBeforeLoad(state, step);
    // Every box follows the need, so that a new holder knows it.
    const need = steadyNeed(state, step, service, isFirst);
    if (fence === undefined) continue;
    if (isFirst || !registryFills(state, step)) planService(state, step, { service, need, fence });
  }
}

/** True while entries may still be missing from the registry after this box's start. */
function registryFills(state: GatewayState, step: Step): boolean {
  return step.nowMs - state.startedAtMs < REGISTRY_FILLS_MS;
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
    const dryUntilMs = state.outOfCapacityUntilMs.get(zoneKey(service.name, zone)) ?? 0;
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
  const spread = spreadEngines({
    need,
    zones: zoneOffers(state, step, service, scaling),
    maxPerZone: scaling.maxPerZone,
    hasReclaimable: scaling.reclaimablePriceShare !== undefined,
    keepReserve: step.nowMs < (state.reclaimsExpectedUntilMs.get(service.name) ?? 0),
  });
  const plan = isRollingOut(state, service.name) ? spread.map(keepOrdered(state, service)) : spread;
  orderEngines(state, step, { service, plan, fence });
}

/** While two versions stand, none is given up: the platform may take the ones that came last, all of the new version. */
function keepOrdered(state: GatewayState, { name }: ServiceSpec) {
  return ({ zone, reclaimable, onDemand }: ZoneWanted): ZoneWanted => ({
    zone,
    reclaimable: Math.max(reclaimable, lastOrdered(state, name, zone, true)),
    onDemand: Math.max(onDemand, lastOrdered(state, name, zone, false)),
  });
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
  const isTakenBack = isBeingTakenBack(state, zone);
  // In a reclaim those that were still to come there go with the others.
  order.granted = isTakenBack ? zone.ready : Math.max(zone.ready, order.granted - lost);
  if (isTakenBack) noteReclaim(state, step, zone);
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
  state.reclaimsExpectedUntilMs.set(zone.service, step.nowMs + RECLAIMS_EXPECTED_MS);
  log(step, 'enginesTakenBack', { service: zone.service, zone: zone.name, left: zone.ready });
}
