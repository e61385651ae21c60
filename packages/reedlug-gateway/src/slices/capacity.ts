/**
 * Engines ordered from the platform, by the holder of the duty lease.
 *
 * Reclaimable engines carry the load. On-demand ones are kept only while the
 * reclaimable ones are not all there: at the start, and after a reclaim.
 */
import type { EventOf } from '../types/event.js';
import type { ServiceSpec } from '../types/configuration.js';
import { enginesWanted, spreadEngines } from '../policy/engineTarget.js';
import { log, type EngineOrder, type GatewayState, type Step } from '../state.js';
import { dutyFence } from './duties.js';

/** Pause between plans, in ms: an engine takes seconds to start, a reclaim gives two. */
const PLAN_EVERY_MS = 250;
/** Pause before an order that was refused or lost is sent again, in ms. */
const ORDER_RETRY_MS = 1000;
/** Time over which the load is averaged, in ms. */
const LOAD_SMOOTHING_MS = 4000;

/** Plans and orders, while this box holds the lease. */
export function capacityTick(state: GatewayState, step: Step): void {
  if (step.nowMs - state.planAtMs < PLAN_EVERY_MS) return;
  const elapsedMs = step.nowMs - state.planAtMs;
  state.planAtMs = step.nowMs;
  measureLoad(state, elapsedMs);
  if (state.settings.cloud?.ordersEngines !== true) return;
  const fence = dutyFence(state, step.nowMs);
  if (fence === undefined || state.active === undefined || !state.serversKnown) return;
  for (const service of state.active.configuration.services) {
    if (service.scaling !== undefined) planService(state, step, service, fence);
  }
}

/** Prompt tokens that all boxes sent to be read, a second, smoothed. */
function measureLoad(state: GatewayState, elapsedMs: number): void {
  let total = state.workTokens;
  for (const peer of state.peers.values()) total += peer.message?.workTokens ?? 0;
  const added = Math.max(0, total - state.workTokensSeen);
  state.workTokensSeen = total;
  const weight = Math.min(1, elapsedMs / LOAD_SMOOTHING_MS);
  const ratePerSecond = (added * 1000) / Math.max(1, elapsedMs);
  state.loadTokensPerSecond += (ratePerSecond - state.loadTokensPerSecond) * weight;
}

function planService(state: GatewayState, step: Step, service: ServiceSpec, fence: number): void {
  const { scaling } = service;
  if (scaling === undefined) return;
  const zones = scaling.zonePrices.map(({ zone, price }) => ({
    zone,
    price,
    readyReclaimable: countReady(state, service.name, zone),
  }));
  const plan = spreadEngines({
    wanted: Math.max(state.engineFloor, enginesWanted(state.loadTokensPerSecond)),
    zones,
    maxPerZone: scaling.maxPerZone,
    hasReclaimable: scaling.reclaimablePriceShare !== undefined,
  });
  for (const { zone, reclaimable, onDemand } of plan) {
    if (scaling.reclaimablePriceShare !== undefined) {
      order(
        state,
        step,
        { service: service.name, zone, wanted: reclaimable, reclaimable: true },
        fence,
      );
    }
    order(
      state,
      step,
      { service: service.name, zone, wanted: onDemand, reclaimable: false },
      fence,
    );
  }
}

function countReady(state: GatewayState, service: string, zone: string): number {
  let count = 0;
  for (const { entry, leaving } of state.servers.values()) {
    if (entry.service !== service || entry.zone !== zone) continue;
    if (entry.reclaimable && !leaving) count += 1;
  }
  return count;
}

function order(
  state: GatewayState,
  step: Step,
  wanted: Omit<EngineOrder['call'], 'kind'>,
  fence: number,
): void {
  const key = `${wanted.service} ${wanted.zone} ${wanted.reclaimable ? 'reclaimable' : 'onDemand'}`;
  const last = state.orders.get(key);
  const isSame = last?.call.wanted === wanted.wanted && last.fence === fence;
  if (isSame && (last.taken || step.nowMs < last.notBeforeMs)) return;
  const callId = state.nextCallId;
  state.nextCallId += 1;
  const call: EngineOrder['call'] = { kind: 'orderEngines', ...wanted };
  const notBeforeMs = step.nowMs + ORDER_RETRY_MS;
  state.orders.set(key, { call, fence, taken: false, callId, notBeforeMs });
  step.effects.push({ type: 'callCloud', callId, call, fence });
  log(step, 'enginesOrdered', {
    ...wanted,
    fence,
    loadTokensPerSecond: Math.round(state.loadTokensPerSecond),
  });
}

/** Takes the platform's answer to an order; false when the call was no order. */
export function onOrderAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'cloudAnswered'>,
): boolean {
  for (const entry of state.orders.values()) {
    if (entry.callId !== event.callId) continue;
    entry.taken = event.outcome === 'done';
    if (!entry.taken) {
      const { zone, wanted, reclaimable } = entry.call;
      log(step, 'orderNotTaken', { zone, wanted, reclaimable, outcome: event.outcome });
    }
    return true;
  }
  return false;
}
