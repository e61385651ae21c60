/** Orders of engines to the platform: what was ordered last, and what came of it. */
import type { EventOf } from '../types/event.js';
import type { ServiceSpec } from '../types/configuration.js';
import type { ZoneWanted } from '../policy/engineTarget.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { EngineOrder } from '../types/views.js';
import { modelOf } from './engineModels.js';
import { loadOf } from './serviceLoad.js';
import { carriesLoad } from './versionRule.js';

/** Pause before an order that was refused or lost is sent again, in ms. */
const ORDER_RETRY_MS = 1000;
/** How long a zone is taken to have no reclaimable engines, in ms: the users' zones run dry for 5 to 14 s. */
const OUT_OF_CAPACITY_MS = 5000;

/** Time from an order until an engine that it gives up says that it leaves, in ms: three heartbeats and the store's delay. */
const MAX_DRAIN_DELAY_MS = 4500;
/**
 * How much later than its usual start an engine may be seen, in ms: a heartbeat of 1.2 s
 * until it enters itself, 0.8 s of the store, 0.4 s through a hub, and a slow box. With 2 s,
 * engines were taken for late and given up while they were entering themselves.
 */
export const BOOT_MARGIN_MS = 3500;

/** Names a zone of a service. */
export function zoneKey(service: string, zone: string): string {
  return `${service} ${zone}`;
}

/** Names the orders of one kind of engines in a zone. */
export function orderKey(service: string, zone: string, reclaimable: boolean): string {
  return `${zoneKey(service, zone)} ${reclaimable ? 'reclaimable' : 'onDemand'}`;
}

/** Engines last ordered; before the first order of this box, those that are there. */
export function lastOrderedCount(
  state: GatewayState,
  service: string,
  zone: string,
  reclaimable: boolean,
): number {
  const last = state.orders.get(orderKey(service, zone, reclaimable));
  return last?.call.wanted ?? countReady(state, { service, zone, reclaimable });
}

/**
 * Reclaimable engines of a zone that are there, or on their way as the platform
 * granted them: an order for more that is refused takes nothing of those. Counting
 * only those that are there cancelled 36 of 64 engines half a second before they
 * came, when one zone was taken back (195 boxes).
 */
export function countGranted(
  state: GatewayState,
  params: { service: string; zone: string; ready: number; bootMs: number; nowMs: number },
): number {
  const { service, zone, ready, bootMs, nowMs } = params;
  const order = state.orders.get(orderKey(service, zone, true));
  if (order === undefined || nowMs > order.grantedAtMs + bootMs + BOOT_MARGIN_MS) return ready;
  return Math.max(ready, order.granted);
}

/** No further reclaimable engines are to be had in a zone for a while. */
export function recordOutOfCapacity(
  state: GatewayState,
  step: Step,
  service: string,
  zone: string,
): void {
  state.outOfCapacityUntilMs.set(zoneKey(service, zone), step.nowMs + OUT_OF_CAPACITY_MS);
}

/** Engines of one kind that take work, in one zone or in all; while two versions stand, those of the one that carries the load. */
export function countReady(
  state: GatewayState,
  params: { service: string; reclaimable: boolean; zone?: string },
): number {
  const { service, reclaimable, zone } = params;
  let count = 0;
  for (const { entry, leaving } of state.servers.values()) {
    if (entry.service !== service || leaving || !carriesLoad(state, entry)) continue;
    if (zone !== undefined && entry.zone !== zone) continue;
    if (entry.reclaimable === reclaimable) count += 1;
  }
  return count;
}

/** Orders what a plan wants, zone by zone; what is ordered already is not sent again. */
export function orderEngines(
  state: GatewayState,
  step: Step,
  params: { service: ServiceSpec; plan: readonly ZoneWanted[]; fence: number },
): void {
  const { service, plan, fence } = params;
  for (const { zone, reclaimable, onDemand } of plan) {
    if (service.scaling?.reclaimablePriceShare !== undefined) {
      sendOrder(
        state,
        step,
        { service: service.name, zone, wanted: reclaimable, reclaimable: true },
        fence,
      );
    }
    sendOrder(
      state,
      step,
      { service: service.name, zone, wanted: onDemand, reclaimable: false },
      fence,
    );
  }
}

function sendOrder(
  state: GatewayState,
  step: Step,
  wanted: Omit<EngineOrder['call'], 'kind'>,
  fence: number,
): void {
  const key = orderKey(wanted.service, wanted.zone, wanted.reclaimable);
  const last = state.orders.get(key);
  const isSame = last?.call.wanted === wanted.wanted && last.fence === fence;
  if (isSame && (last.taken || step.nowMs < last.notBeforeMs)) return;
  const callId = state.nextCallId;
  state.nextCallId += 1;
  const call: EngineOrder['call'] = { kind: 'orderEngines', ...wanted };
  const notBeforeMs = step.nowMs + ORDER_RETRY_MS;
  const sentAtMs = step.nowMs;
  const { granted, grantedAtMs } = last ?? { granted: 0, grantedAtMs: Number.NEGATIVE_INFINITY };
  // The platform counts those that have not entered themselves yet, and may take others for them.
  const knownEngines = Math.max(countReady(state, wanted), granted);
  const surplus = Math.max(0, knownEngines - wanted.wanted);
  const releasedEngines = Math.max(surplus, stillDraining(last, step.nowMs));
  state.orders.set(key, {
    call,
    fence,
    taken: false,
    granted,
    grantedAtMs,
    releasedEngines,
    callId,
    sentAtMs,
    notBeforeMs,
  });
  step.effects.push({ type: 'callCloud', callId, call, fence });
  log(step, 'enginesOrdered', {
    ...wanted,
    fence,
    ...describeNeed(state, step, wanted.service),
  });
}

/** Engines that were given up a moment ago and may still be on their way out. */
function stillDraining(order: EngineOrder | undefined, nowMs: number): number {
  if (order === undefined || nowMs - order.sentAtMs > MAX_DRAIN_DELAY_MS) return 0;
  return order.releasedEngines;
}

/**
 * Takes engines that went from those that orders have given up; returns how many
 * went by themselves. An engine of its own orders taken for a reclaim made a holder
 * keep a reserve of on-demand ones for 12 s, and call the zone dry.
 */
export function countLost(order: EngineOrder, gone: number, nowMs: number): number {
  const released = Math.min(gone, stillDraining(order, nowMs));
  order.releasedEngines -= released;
  return gone - released;
}

/** The figures that decided an order. */
function describeNeed(state: GatewayState, step: Step, service: string) {
  const load = loadOf(state, service);
  const model = modelOf(state, service, step.nowMs);
  return {
    loadTokensPerSecond: Math.round(load.tokensPerSecond),
    openRequests: Math.round(load.openRequests),
    readTokensPerMs: Math.round(model.tokensPerMs),
    stayMs: Math.round(model.stayMs),
    sends: Math.round(model.sends),
  };
}

/** Takes the platform's answer to an order; false when the call was no order. */
export function onOrderAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'cloudAnswered'>,
): boolean {
  for (const order of state.orders.values()) {
    if (order.callId !== event.callId) continue;
    order.taken = event.outcome === 'done';
    if (order.taken) {
      order.granted = order.call.wanted;
      order.grantedAtMs = order.sentAtMs;
    }
    if (!order.taken) {
      const { service, zone, wanted, reclaimable } = order.call;
      if (reclaimable && event.outcome === 'refused')
        recordOutOfCapacity(state, step, service, zone);
      log(step, 'orderNotTaken', { zone, wanted, reclaimable, outcome: event.outcome });
    }
    return true;
  }
  return false;
}
