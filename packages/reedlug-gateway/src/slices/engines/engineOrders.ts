/** Orders of engines to the platform, its answers, and the engines that each order granted or released. */
import type { EventOf } from '../../types/event.js';
import type { ServiceSpec } from '../../types/configuration.js';
import type { ZoneTarget } from '../../policy/engineTarget.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { EngineOrder } from '../../types/views.js';
import { meanSpeedOf } from '../serverSpeeds/speedOf.js';
import { modelOf } from './engineModels.js';
import { loadOf } from './serviceLoad.js';
import { carriesLoad } from '../rollouts/versionRule.js';

/** Time until an order that was refused or lost is sent again, in ms. */
const ORDER_RETRY_MS = 1000;
/** How long a zone is considered out of reclaimable engines, in ms: zones run out of them for 5 to 14 s at a time. */
const OUT_OF_CAPACITY_MS = 5000;

/** Longest time from an order until an engine that it releases announces that it drains, in ms: three heartbeats and the store's delay. */
const MAX_DRAIN_DELAY_MS = 4500;
/**
 * How much later than its usual start time an engine may appear, in ms: a heartbeat of 1.2 s
 * until it registers, 0.8 s in the store, 0.4 s through a hub, and a slow box. With 2 s,
 * engines were considered late and released while they were registering.
 */
export const BOOT_MARGIN_MS = 3500;

/** Returns the key of a zone of a service. */
export function zoneKey(service: string, zone: string): string {
  return `${service} ${zone}`;
}

/** Returns the key of the orders for one kind of engine in a zone. */
export function orderKey(service: string, zone: string, reclaimable: boolean): string {
  return `${zoneKey(service, zone)} ${reclaimable ? 'reclaimable' : 'onDemand'}`;
}

/** Returns the number of engines last ordered; before this box's first order, the number that is ready. */
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
 * Returns the reclaimable engines of a zone that are ready, or starting because the platform
 * granted them: a refused order for more does not revoke those. Counting only the ready ones
 * cancelled 36 of 64 engines half a second before they were ready, when one zone was
 * reclaimed on a site of 195 boxes.
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

/** Records that a zone has no further reclaimable engines for a while. */
export function recordOutOfCapacity(
  state: GatewayState,
  step: Step,
  service: string,
  zone: string,
): void {
  state.outOfCapacityUntilMs.set(zoneKey(service, zone), step.nowMs + OUT_OF_CAPACITY_MS);
}

/** Counts the engines of one kind that accept requests, in one zone or in all; while two versions run, those of the version that carries the load. */
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

/** Orders the engines of a plan, zone by zone; an order that was sent already is not repeated. */
export function orderEngines(
  state: GatewayState,
  step: Step,
  params: { service: ServiceSpec; plan: readonly ZoneTarget[]; fence: number },
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
  target: Omit<EngineOrder['call'], 'kind'>,
  fence: number,
): void {
  const key = orderKey(target.service, target.zone, target.reclaimable);
  const last = state.orders.get(key);
  const isUnchanged = last?.call.wanted === target.wanted && last.fence === fence;
  if (isUnchanged && (last.taken || step.nowMs < last.notBeforeMs)) return;
  const callId = state.nextCallId;
  state.nextCallId += 1;
  const call: EngineOrder['call'] = { kind: 'orderEngines', ...target };
  const notBeforeMs = step.nowMs + ORDER_RETRY_MS;
  const sentAtMs = step.nowMs;
  const { granted, grantedAtMs } = last ?? { granted: 0, grantedAtMs: Number.NEGATIVE_INFINITY };
  // The platform also counts engines that have not registered yet, and may stop others instead of them.
  const knownEngines = Math.max(countReady(state, target), granted);
  const surplus = Math.max(0, knownEngines - target.wanted);
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
    ...target,
    fence,
    ...describeNeed(state, step, target.service),
  });
}

/** Returns how many engines were released so recently that they may still be draining. */
function stillDraining(order: EngineOrder | undefined, nowMs: number): number {
  if (order === undefined || nowMs - order.sentAtMs > MAX_DRAIN_DELAY_MS) return 0;
  return order.releasedEngines;
}

/**
 * Matches engines that disappeared with those that orders released, and returns how many
 * were lost otherwise. When a lease holder mistook an engine that it had released for a
 * reclaim, it kept a reserve of on-demand engines for 12 s and considered the zone out of
 * capacity.
 */
export function countLost(order: EngineOrder, gone: number, nowMs: number): number {
  const released = Math.min(gone, stillDraining(order, nowMs));
  order.releasedEngines -= released;
  return gone - released;
}

/** Returns the load and model values that decided an order, for the log. */
function describeNeed(state: GatewayState, step: Step, service: string) {
  const load = loadOf(state, service);
  const model = modelOf(state, service, step.nowMs);
  const meanSpeed = meanSpeedOf(state, service, step.nowMs);
  return {
    ...(meanSpeed === 1 ? {} : { meanSpeed: meanSpeed.toFixed(2) }),
    loadTokensPerSecond: Math.round(load.tokensPerSecond),
    openRequests: Math.round(load.openRequests),
    readTokensPerMs: Math.round(model.tokensPerMs),
    stayMs: Math.round(model.stayMs),
    sends: Math.round(model.sends),
  };
}

/** Handles the platform's answer to an order; returns false if the call was not an order. */
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
