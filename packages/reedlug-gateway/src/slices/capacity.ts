/**
 * Engines ordered from the platform, by the holder of the duty lease.
 *
 * Reclaimable engines carry the load. On-demand ones are kept only while the
 * reclaimable ones are not all there: at the start, and after a reclaim.
 */
import {
  LimitUnit,
  type ScalingSpec,
  type ServiceSpec,
  type WorkspaceSpec,
} from '../types/configuration.js';
import {
  enginesNeeded,
  firstReclaimable,
  spreadEngines,
  type EngineNeed,
  type ServiceLoad,
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
/** Part of all workspaces' limits that callers are taken to use before any load is known: on the users' sites, about half. */
const EXPECTED_OF_LIMITS = 0.5;
/** The most engines that are ordered for it, as a share of those that the zones may hold: limits may be far above what is asked. */
const MOST_EXPECTED_SHARE = 0.5;
/** Time from this box's start up to which it may be a first start, in ms: of 55 engines the last entered itself after 5.9 s. */
const FIRST_START_MS = 7000;

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
    if (isBeforeLoad(state, step)) noteFirstOnDemand(state, service.name);
    // At a first start the engines that stand cost their full price: nothing is awaited.
    const isFirst = fence === FIRST_FENCE && isBeforeLoad(state, step);
    // Every box follows the need, so that a new holder knows it.
    const need = steadyNeed(state, step, service, isFirst);
    if (fence === undefined) continue;
    if (isFirst || !registryFills(state, step)) planService(state, step, { service, need, fence });
  }
}

function sinceStartMs(state: GatewayState, step: Step): number {
  return step.nowMs - state.startedAtMs;
}

/** True while entries may still be missing from the registry after this box's start. */
function registryFills(state: GatewayState, step: Step): boolean {
  return sinceStartMs(state, step) < REGISTRY_FILLS_MS;
}

/** True right after this box's start while nobody has asked anything. */
function isBeforeLoad(state: GatewayState, step: Step): boolean {
  return sinceStartMs(state, step) < FIRST_START_MS && state.loadSinceMs === undefined;
}

/** Remembers the engines that the operators started with: so many are likely to be needed. */
function noteFirstOnDemand(state: GatewayState, service: string): void {
  // With reclaimable ones there, it is no first start: then on-demand ones only stand in.
  if (countReady(state, { service, reclaimable: true }) > 0) return;
  const seen = state.firstOnDemand.get(service) ?? new Set();
  state.firstOnDemand.set(service, seen);
  for (const { entry } of state.servers.values()) {
    if (entry.service === service && !entry.reclaimable) seen.add(entry.id);
  }
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
function steadyNeed(
  state: GatewayState,
  step: Step,
  spec: ServiceSpec,
  isFirst: boolean,
): EngineNeed {
  const service = spec.name;
  const { usual, least } = needFor(state, step, spec, loadOf(state, service));
  const held = state.heldNeeds.get(service) ?? startNeed();
  holdFigure(held.usual, usual, step.nowMs, HOLD_USUAL_MS);
  holdFigure(held.least, least, step.nowMs, HOLD_LEAST_MS);
  state.heldNeeds.set(service, held);
  const atLeast = isLoadKnown(state, step) ? 0 : startingCount(state, step, spec, isFirst);
  return { usual: Math.max(held.usual.value, atLeast), least: held.least.value };
}

function needFor(
  state: GatewayState,
  step: Step,
  spec: ServiceSpec,
  load: ServiceLoad,
): EngineNeed {
  return enginesNeeded({
    load,
    model: modelOf(state, spec.name, step.nowMs),
    slots: slotsOf(state, spec),
    zones: spec.scaling?.zonePrices.length ?? 1,
    hasReclaimable: spec.scaling?.reclaimablePriceShare !== undefined,
  });
}

/** Nothing is held yet. */
function startNeed(): HeldNeed {
  return { usual: { value: 0, untilMs: 0 }, least: { value: 0, untilMs: 0 } };
}

/**
 * Before the load is known, what is there or was ordered stays; at a first start, as many as the
 * limits let expect, as far as seen as many as the operators started with, and a few
 * for each zone at least.
 */
function startingCount(
  state: GatewayState,
  step: Step,
  service: ServiceSpec,
  isFirst: boolean,
): number {
  const reclaimable = countReady(state, { service: service.name, reclaimable: true });
  const onDemand = countReady(state, { service: service.name, reclaimable: false });
  const stood = state.firstOnDemand.get(service.name)?.size ?? 0;
  const zones = service.scaling?.zonePrices ?? [];
  const ordered = zones.reduce(
    (sum, { zone }) => sum + lastOrdered(state, service.name, zone, true),
    0,
  );
  if (isFirst && reclaimable === 0) {
    const expected = Math.max(stood, expectedByLimits(state, step, service));
    return Math.max(ordered, firstReclaimable(zones.length, expected));
  }
  if (stood === 0 && onDemand <= reclaimable) return ordered;
  return Math.max(ordered, firstReclaimable(zones.length, stood));
}

/** Engines for the part of all limits that callers are likely to use; none where a workspace has no limit in tokens. */
function expectedByLimits(state: GatewayState, step: Step, service: ServiceSpec): number {
  const { workspaces = [] } = state.active?.configuration ?? {};
  const hasLimit = ({ unit, ratePerSecond }: WorkspaceSpec): boolean =>
    unit === LimitUnit.tokens && ratePerSecond > 0;
  if (workspaces.length === 0 || !workspaces.every(hasLimit)) return 0;
  const allowed = workspaces.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
  const load = { openRequests: 0, tokensPerSecond: allowed * EXPECTED_OF_LIMITS };
  const { maxPerZone = 0, zonePrices = [] } = service.scaling ?? {};
  const most = maxPerZone * zonePrices.length * MOST_EXPECTED_SHARE;
  return Math.min(most, needFor(state, step, service, load).usual);
}
