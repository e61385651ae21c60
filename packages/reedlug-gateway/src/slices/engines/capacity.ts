/**
 * Plans how many engines to order from the platform. Only the holder of the duty lease orders,
 * which is one box at a time.
 *
 * Reclaimable engines carry the load. On-demand engines are kept only while reclaimable
 * ones are missing: at the start, and after a reclaim.
 */
import type { ScalingSpec, ServiceSpec } from '../../types/configuration.js';
import {
  spreadEngines,
  type EngineNeed,
  type ZoneOffer,
  type ZoneTarget,
} from '../../policy/engineTarget.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { dutyFence } from '../store/dutyLease.js';
import { isBeforeFirstLoad, recordInitialOnDemand, stabilizedNeed } from './engineNeed.js';
import {
  BOOT_MARGIN_MS,
  countLost,
  countReady,
  countGranted,
  lastOrderedCount,
  recordOutOfCapacity,
  orderEngines,
  orderKey,
  zoneKey,
} from './engineOrders.js';
import { measureLoad } from './serviceLoad.js';
import { isRollingOut } from '../rollouts/versionRule.js';

/** Interval between plans, in ms: an engine takes seconds to start, and a reclaim is announced two seconds ahead. */
const PLAN_INTERVAL_MS = 250;
/** How long after a reclaim further ones are expected, in ms: when zones are reclaimed in turn, the next one follows 6 to 10 s later. */
const RECLAIMS_EXPECTED_MS = 12_000;
/** Fence (a number that grows with each lease holder) of the very first one: no box has ordered anything before it. */
const FIRST_FENCE = 1;
/** Time from this box's start until it plans, in ms: two heartbeats, during which the registry fills. */
const REGISTRY_FILL_MS = 3500;

/** Measures the load, and plans and orders engines while this box holds the duty lease. */
export function capacityTick(state: GatewayState, step: Step): void {
  if (step.nowMs - state.plannedAtMs < PLAN_INTERVAL_MS) return;
  const elapsedMs = step.nowMs - state.plannedAtMs;
  state.plannedAtMs = step.nowMs;
  measureLoad(state, elapsedMs, step.nowMs);
  if (state.settings.cloud?.ordersEngines !== true) return;
  if (state.active === undefined || !state.serversKnown) return;
  const fence = dutyFence(state, step.nowMs);
  for (const service of state.active.configuration.services) {
    if (service.scaling === undefined) continue;
    if (isBeforeFirstLoad(state, step)) recordInitialOnDemand(state, service.name);
    // At a first start the on-demand engines already running cost their full price, so planning does not wait.
    const isFirstStart = fence === FIRST_FENCE && isBeforeFirstLoad(state, step);
    // Every box tracks the need, so that a new lease holder knows it.
    const need = stabilizedNeed(state, step, service, isFirstStart);
    if (fence === undefined) continue;
    if (isFirstStart || !isRegistryFilling(state, step))
      planService(state, step, { service, need, fence });
  }
}

/** Whether entries may still be missing from the registry after this box's start. */
function isRegistryFilling(state: GatewayState, step: Step): boolean {
  return step.nowMs - state.startedAtMs < REGISTRY_FILL_MS;
}

/** Returns the engines that are ready and those that were ordered, by zone. */
function zoneOffers(
  state: GatewayState,
  step: Step,
  service: ServiceSpec,
  scaling: ScalingSpec,
): ZoneOffer[] {
  return scaling.zonePrices.map(({ zone, price }) => {
    const ready = countReady(state, { service: service.name, zone, reclaimable: true });
    const { bootMs } = scaling;
    recordLosses(state, step, { service: service.name, name: zone, ready, bootMs });
    const { nowMs } = step;
    const granted = countGranted(state, { service: service.name, zone, ready, bootMs, nowMs });
    const outOfCapacityUntilMs = state.outOfCapacityUntilMs.get(zoneKey(service.name, zone)) ?? 0;
    return {
      zone,
      price,
      readyReclaimable: ready,
      granted,
      reclaimable: lastOrderedCount(state, service.name, zone, true),
      onDemand: lastOrderedCount(state, service.name, zone, false),
      isOutOfCapacity: step.nowMs < outOfCapacityUntilMs,
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

/** Never lowers an order while two versions run: the platform may stop the newest engines, which all run the new version. */
function keepOrdered(state: GatewayState, { name }: ServiceSpec) {
  return ({ zone, reclaimable, onDemand }: ZoneTarget): ZoneTarget => ({
    zone,
    reclaimable: Math.max(reclaimable, lastOrderedCount(state, name, zone, true)),
    onDemand: Math.max(onDemand, lastOrderedCount(state, name, zone, false)),
  });
}

/**
 * Detects zones that are out of capacity: reclaimable engines disappeared there that this
 * box did not release, or did not arrive in time after an accepted order.
 */
function recordLosses(
  state: GatewayState,
  step: Step,
  zone: { service: string; name: string; ready: number; bootMs: number },
): void {
  const key = zoneKey(zone.service, zone.name);
  const previouslyReady = state.readyReclaimable.get(key) ?? 0;
  state.readyReclaimable.set(key, zone.ready);
  const order = state.orders.get(orderKey(zone.service, zone.name, true));
  if (order === undefined) return;
  const dueMs = order.sentAtMs + zone.bootMs + BOOT_MARGIN_MS;
  const isLate = order.taken && step.nowMs > dueMs;
  const lost = countLost(order, Math.max(0, previouslyReady - zone.ready), step.nowMs);
  if (zone.ready >= order.call.wanted) return;
  const isLoss = lost > 0;
  if (isLoss || isLate) recordOutOfCapacity(state, step, zone.service, zone.name);
  if (!isLoss) return;
  const isReclaimed = isBeingReclaimed(state, zone);
  // A reclaim also takes the engines that were still starting in the zone.
  order.granted = isReclaimed ? zone.ready : Math.max(zone.ready, order.granted - lost);
  if (isReclaimed) recordReclaim(state, step, zone);
}

/** Whether engines of a zone are draining: reclaimed engines announce that, crashed ones just disappear. */
function isBeingReclaimed(state: GatewayState, zone: { service: string; name: string }): boolean {
  return [...state.servers.values()].some(
    ({ entry, leaving }) =>
      leaving && entry.reclaimable && entry.service === zone.service && entry.zone === zone.name,
  );
}

function recordReclaim(
  state: GatewayState,
  step: Step,
  zone: { service: string; name: string; ready: number },
): void {
  state.reclaimsExpectedUntilMs.set(zone.service, step.nowMs + RECLAIMS_EXPECTED_MS);
  log(step, 'enginesTakenBack', { service: zone.service, zone: zone.name, left: zone.ready });
}
