/**
 * Placement: the lease holder keeps each pool of engines at its target size.
 *
 * Offers are ranked by effective price: the price plus the cost of expected reclaims.
 * Engines are spread over zones. When a start is refused, its offer is backed off and
 * the next one is tried.
 */
import { backoffMs, MemberSource, MemberState } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { CloudRequest } from '../types/order.js';
import {
  PlacementPolicy,
  ServerKind,
  SizingPolicy,
  type OfferSpec,
  type PoolSpec,
  type ServerSpec,
} from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import type { PendingStart, ServerView } from '../types/views.js';
import { nextId, nextRandom, siteOfZone } from '../state.js';
import { reclaimableAllowed } from '../plans/rules.js';
import { fenceFor } from './orders.js';
import { log } from './log.js';
import { poolLoads } from './probes.js';
import { applyServerStatement } from './servers.js';
import { serverMember } from './serverMembers.js';

/** Weight of the newest load in the smoothed load. */
const LOAD_SMOOTHING = 0.05;
/** Share of the current load that a pool is sized for at once, before the smoothed load follows. */
const GROWTH_SHARE = 0.8;
/** An engine is replaced if its price exceeds that of the best offer by this factor. */
const SWAP_FACTOR = 1.3;
/** Time without reclaims or refused starts before engines are stopped, in ms. */
const SCALE_DOWN_COOLDOWN_MS = 90_000;
/** Time after which a stop without visible effect is requested again, in ms. */
const STOP_RETRY_MS = 10_000;
/** Time after which a start that is not in the box list is given up, in ms. */
const START_TIMEOUT_MS = 60_000;
/** Maximum back-off of a refused offer, in ms. */
const MAX_BACKOFF_MS = 120_000;
/** Cost of one reclaim, in hours of the machine's price. */
const RECLAIM_COST_HOURS = 0.25;

/** The engines of a pool that are not draining, and those being started. */
interface PoolCount {
  pool: PoolSpec;
  engines: ServerView[];
  starting: PendingStart[];
}

/** Adjusts the size of the pools when due, if this box holds the lease. */
export function placementTick(state: BoxState, step: Step): void {
  expirePendingStarts(state, step.nowMs);
  if (step.nowMs < state.nextPlacementAtMs) return;
  state.nextPlacementAtMs = step.nowMs + state.settings.control.placementEveryMs;
  const fence = fenceFor(state, step.nowMs, true);
  if (fence === undefined) return;
  stopRetired(state, step, fence);
  for (const pool of state.settings.pools) sizePool(state, step, pool, fence);
}

function expirePendingStarts(state: BoxState, nowMs: number): void {
  for (const [askId, start] of state.pendingStarts) {
    if (nowMs - start.sentAtMs > START_TIMEOUT_MS) state.pendingStarts.delete(askId);
  }
}

function sizePool(state: BoxState, step: Step, pool: PoolSpec, fence: number): void {
  const count = countPool(state, pool);
  const wanted = wantedEngines(state, pool);
  const have = count.engines.length + count.starting.length;
  if (have < wanted) startEngine(state, step, count, fence);
  else if (inScaleDownCooldown(state, step.nowMs)) return;
  else if (have > wanted) retireMostExpensive(state, step, count);
  else startCheaperEngine(state, step, count, fence);
}

/** True for a while after reclaims and refused starts, during which no engine is stopped. */
function inScaleDownCooldown(state: BoxState, nowMs: number): boolean {
  for (const { untilMs } of state.offerBackoff.values()) {
    if (untilMs + SCALE_DOWN_COOLDOWN_MS > nowMs) return true;
  }
  return nowMs < state.lastReclaimAtMs + SCALE_DOWN_COOLDOWN_MS;
}

function countPool(state: BoxState, pool: PoolSpec): PoolCount {
  const site = siteOfZone(state.settings, state.settings.zone);
  const engines = (state.serversByPool.get(pool.model) ?? []).filter((view) => {
    if (view.spec.kind !== ServerKind.engine) return false;
    if (siteOfZone(state.settings, view.spec.zone) !== site) return false;
    return isLiveOrListed(state, view);
  });
  const known = new Set(engines.map((view) => view.spec.id));
  const starting = [...state.pendingStarts.values()].filter(
    (start) => start.pool === pool.model && !known.has(start.askId),
  );
  return { pool, engines, starting };
}

function isLiveOrListed(state: BoxState, view: ServerView): boolean {
  const member = serverMember(state, view.spec.id);
  if (member === undefined) return false;
  return member.state === MemberState.live || member.state === MemberState.listed;
}

/** Returns the target size: as listed in the settings, or by the load that the boxes report. */
function wantedEngines(state: BoxState, pool: PoolSpec): number {
  switch (state.settings.policy.sizing) {
    case SizingPolicy.fixed:
      return configuredEngines(state, pool);
    case SizingPolicy.byLoad:
      return enginesForLoad(state, pool);
  }
}

function configuredEngines(state: BoxState, pool: PoolSpec): number {
  const { settings } = state;
  const site = siteOfZone(settings, settings.zone);
  const listed = settings.servers.filter(
    (spec) => spec.pool === pool.model && siteOfZone(settings, spec.zone) === site,
  );
  return clamp(listed.length, pool);
}

/** Returns the size for the load: it grows with the current load and shrinks with the smoothed one. */
function enginesForLoad(state: BoxState, pool: PoolSpec): number {
  const busy = siteLoad(state, pool);
  const smoothed = state.smoothedPoolLoad.get(pool.model) ?? busy;
  const next = smoothed + LOAD_SMOOTHING * (busy - smoothed);
  state.smoothedPoolLoad.set(pool.model, next);
  const perEngine = pool.slotsPerEngine * state.settings.policy.targetUse;
  return clamp(Math.ceil(Math.max(busy * GROWTH_SHARE, next) / perEngine), pool);
}

function clamp(count: number, pool: PoolSpec): number {
  return Math.min(pool.maxEngines, Math.max(pool.minEngines, count));
}

/** Returns the number of requests running or waiting at the site; each is reported by one box. */
function siteLoad(state: BoxState, pool: PoolSpec): number {
  const { settings } = state;
  const site = siteOfZone(settings, settings.zone);
  const reported = [...state.peers.values()].flatMap((peer) => peer.poolLoads);
  let busy = 0;
  for (const load of [...reported, ...poolLoads(state)]) {
    if (load.pool === pool.model && siteOfZone(settings, load.zone) === site) busy += load.busy;
  }
  return busy;
}

function startEngine(state: BoxState, step: Step, count: PoolCount, fence: number): void {
  const offer = bestOffer(state, step.nowMs, count);
  if (offer === undefined) {
    log(step, 'noOffer', { pool: count.pool.model });
    return;
  }
  const askId = nextId(state, 'start');
  const { zone, machineClass, reclaimable } = offer;
  const pool = count.pool.model;
  state.pendingStarts.set(askId, {
    askId,
    sentAtMs: step.nowMs,
    zone,
    machineClass,
    reclaimable,
    pool,
  });
  const ask: CloudRequest = {
    kind: 'start',
    zone,
    machineClass,
    reclaimable,
    pool,
    startToken: askId,
    fence,
  };
  step.effects.push({ type: 'askCloud', askId, ask });
}

/** Returns the allowed offer with the lowest effective price, leaving out backed-off offers. */
export function bestOffer(state: BoxState, nowMs: number, count: PoolCount): OfferSpec | undefined {
  let best: OfferSpec | undefined;
  let bestPrice = Number.POSITIVE_INFINITY;
  for (const offer of allowedOffers(state, nowMs, count)) {
    const price = effectivePrice(state, offer, count);
    if (price >= bestPrice) continue;
    best = offer;
    bestPrice = price;
  }
  return best;
}

function allowedOffers(state: BoxState, nowMs: number, count: PoolCount): OfferSpec[] {
  const { settings } = state;
  const site = siteOfZone(settings, settings.zone);
  const onDemand =
    count.engines.filter((view) => !view.spec.reclaimable).length +
    count.starting.filter((start) => !start.reclaimable).length;
  const onDemandOnly =
    settings.policy.placement === PlacementPolicy.onDemandOnly ||
    !reclaimableAllowed(state) ||
    (settings.policy.placement === PlacementPolicy.effectivePrice &&
      onDemand < count.pool.onDemandFloor);
  const available = settings.offers.filter((offer) => {
    if (siteOfZone(settings, offer.zone) !== site) return false;
    if (onDemandOnly && offer.reclaimable) return false;
    return (state.offerBackoff.get(offerKey(offer))?.untilMs ?? 0) <= nowMs;
  });
  if (settings.policy.placement === PlacementPolicy.cheapestFirst) return available;
  const spread = available.filter(
    ({ zone }) => shareInZone(zone, count) < maxZoneShare(state, site),
  );
  return spread.length > 0 ? spread : available;
}

/** Returns the maximum share of a pool in one zone, which limits what the loss of a zone costs. */
function maxZoneShare(state: BoxState, site: string): number {
  const zones = state.settings.zones.filter((zone) => zone.site === site).length;
  return 1 / Math.max(1, zones);
}

function effectivePrice(state: BoxState, offer: OfferSpec, count: PoolCount): number {
  const { placement } = state.settings.policy;
  if (placement === PlacementPolicy.cheapestFirst) return offer.pricePerHour;
  const reclaimCost = offer.reclaimsPerHour * RECLAIM_COST_HOURS;
  const zoneShare = shareInZone(offer.zone, count);
  return offer.pricePerHour * (1 + reclaimCost) * (1 + zoneShare);
}

/** Returns the share of the pool that is already in a zone. */
function shareInZone(zone: string, count: PoolCount): number {
  const total = count.engines.length + count.starting.length;
  if (total === 0) return 0;
  const engines = count.engines.filter((view) => view.spec.zone === zone).length;
  const starting = count.starting.filter((start) => start.zone === zone).length;
  return (engines + starting) / total;
}

/** Retires the most expensive engine: its streams finish or move, then it is stopped. */
function retireMostExpensive(state: BoxState, step: Step, count: PoolCount): void {
  if (isAnyRetiring(state, count.pool)) return;
  const candidate = mostExpensiveEngine(state, count);
  if (candidate !== undefined) announceRetirement(state, step, candidate);
}

/** Starts a cheaper engine; the most expensive one is retired once there are too many. */
function startCheaperEngine(state: BoxState, step: Step, count: PoolCount, fence: number): void {
  if (state.settings.policy.sizing === SizingPolicy.fixed || count.starting.length > 0) return;
  if (isAnyRetiring(state, count.pool)) return;
  const mostExpensive = mostExpensiveEngine(state, count);
  const offer = bestOffer(state, step.nowMs, count);
  if (mostExpensive === undefined || offer === undefined) return;
  const isWorthSwapping =
    pricePerHourOf(state, mostExpensive.spec) > effectivePrice(state, offer, count) * SWAP_FACTOR;
  if (isWorthSwapping) startEngine(state, step, count, fence);
}

function isAnyRetiring(state: BoxState, pool: PoolSpec): boolean {
  const views = state.serversByPool.get(pool.model) ?? [];
  return views.some(({ spec }) => serverMember(state, spec.id)?.state === MemberState.leaving);
}

function mostExpensiveEngine(state: BoxState, count: PoolCount): ServerView | undefined {
  const stoppable = count.engines.filter((view) => mayStop(view, count));
  return stoppable.sort((a, b) => pricePerHourOf(state, b.spec) - pricePerHourOf(state, a.spec))[0];
}

function announceRetirement(state: BoxState, step: Step, view: ServerView): void {
  const statement = {
    kind: 'leaving',
    incarnation: serverMember(state, view.spec.id)?.incarnation ?? 0,
    leavesAtMs: step.nowMs + state.settings.control.retireMs,
    source: MemberSource.notice,
  } as const;
  log(step, 'engineRetired', { server: view.spec.id });
  applyServerStatement(state, step, view.spec.id, statement, true);
}

/**
 * Stops draining engines whose stop time has passed, also those whose retirement an
 * earlier lease holder announced.
 */
function stopRetired(state: BoxState, step: Step, fence: number): void {
  for (const view of state.servers.values()) {
    const member = serverMember(state, view.spec.id);
    if (member?.state !== MemberState.leaving || view.spec.kind !== ServerKind.engine) continue;
    if (member.leavesAtMs === undefined || step.nowMs < member.leavesAtMs) continue;
    const askedAtMs = state.stopsRequestedAtMs.get(view.spec.id) ?? Number.NEGATIVE_INFINITY;
    if (step.nowMs - askedAtMs < STOP_RETRY_MS) continue;
    state.stopsRequestedAtMs.set(view.spec.id, step.nowMs);
    const ask: CloudRequest = { kind: 'stop', serverId: view.spec.id, fence };
    step.effects.push({ type: 'askCloud', askId: nextId(state, 'stop'), ask });
  }
}

function mayStop(view: ServerView, count: PoolCount): boolean {
  if (view.spec.reclaimable) return true;
  const onDemand = count.engines.filter((other) => !other.spec.reclaimable).length;
  return onDemand > count.pool.onDemandFloor;
}

function pricePerHourOf(state: BoxState, spec: ServerSpec): number {
  const { zone, machineClass, reclaimable } = spec;
  const offer = state.settings.offers.find(
    (item) =>
      item.zone === zone && item.machineClass === machineClass && item.reclaimable === reclaimable,
  );
  return offer?.pricePerHour ?? 0;
}

function offerKey(offer: { zone: string; machineClass: string; reclaimable: boolean }): string {
  return `${offer.zone}/${offer.machineClass}/${offer.reclaimable ? 'reclaimable' : 'onDemand'}`;
}

/** Handles the answer of the cloud: a refusal backs the offer off, `unknown` waits for the box list. */
export function onCloudAnswered(
  state: BoxState,
  step: Step,
  event: EventOf<'cloudAnswered'>,
): void {
  const start = state.pendingStarts.get(event.askId);
  if (start === undefined) return;
  if (event.answer.kind !== 'refused') return;
  state.pendingStarts.delete(event.askId);
  const key = offerKey(start);
  const refusals = (state.offerBackoff.get(key)?.refusals ?? 0) + 1;
  const delayMs = backoffMs({
    tries: refusals,
    baseMs: state.settings.control.startBackoffMs,
    capMs: MAX_BACKOFF_MS,
    random: nextRandom(state),
  });
  state.offerBackoff.set(key, { untilMs: step.nowMs + delayMs, refusals });
  state.nextPlacementAtMs = step.nowMs;
  log(step, 'startRefused', { offer: key, againInMs: Math.round(delayMs) });
}

/** Ends the start of a listed server. The id of a started machine is its start token. */
export function removePendingStart(state: BoxState, serverId: string): void {
  state.pendingStarts.delete(serverId);
}
