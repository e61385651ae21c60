/**
 * Placement: the lease holder keeps each pool at its size.
 *
 * Offers are ranked by effective price: the price plus what an expected reclaim
 * costs. Engines are spread over zones and machine classes; refused starts back
 * off per offer and the next one is tried.
 */
import { backoffMs, MemberState } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { CloudAsk } from '../types/order.js';
import { PlacementPolicy, ServerKind, type OfferSpec, type PoolSpec } from '../types/settings.js';
import type { BoxState, CloudAskOpen, ServerView, Step } from '../state.js';
import { nextId, nextRandom, siteOfZone } from '../state.js';
import { reclaimableAllowed } from '../plans/rules.js';
import { fenceFor } from './orders.js';
import { log } from './log.js';
import { serverMember } from './servers.js';

/** Share of a pool's slots that should be in use at most. */
const TARGET_USE = 0.75;
/** Below this share engines are given back. */
const LOW_USE = 0.3;
/** A start that has not shown in the box list after this long is forgotten, in ms. */
const START_FORGOTTEN_MS = 60_000;
/** Longest back-off of a refused offer, in ms. */
const BACKOFF_CAP_MS = 120_000;
/** Cost of one expected reclaim, as a share of an hour's price. */
const RECLAIM_COST_HOURS = 0.25;

/** Engines of a pool that stay, with those being started. */
interface PoolCount {
  pool: PoolSpec;
  engines: ServerView[];
  starting: CloudAskOpen[];
}

/** Brings pools to their size when this box holds the lease and it is time. */
export function placementTick(state: BoxState, step: Step): void {
  forgetOldAsks(state, step.nowMs);
  if (step.nowMs < state.nextPlacementAtMs) return;
  state.nextPlacementAtMs = step.nowMs + state.settings.control.placementEveryMs;
  const fence = fenceFor(state, step.nowMs, true);
  if (fence === undefined) return;
  for (const pool of state.settings.pools) sizePool(state, step, pool, fence);
}

function forgetOldAsks(state: BoxState, nowMs: number): void {
  for (const [askId, ask] of state.cloudAsks) {
    if (nowMs - ask.sentAtMs > START_FORGOTTEN_MS) state.cloudAsks.delete(askId);
  }
}

function sizePool(state: BoxState, step: Step, pool: PoolSpec, fence: number): void {
  const count = countPool(state, pool);
  const wanted = wantedEngines(state, pool);
  const have = count.engines.length + count.starting.length;
  if (have < wanted) startOne(state, step, count, fence);
  else if (have > wanted) stopOne(state, step, count, fence);
}

function countPool(state: BoxState, pool: PoolSpec): PoolCount {
  const site = siteOfZone(state.settings, state.settings.zone);
  const engines = (state.serversByPool.get(pool.model) ?? []).filter((view) => {
    if (view.spec.kind !== ServerKind.engine) return false;
    if (siteOfZone(state.settings, view.spec.zone) !== site) return false;
    return staysUp(state, view);
  });
  const known = new Set(engines.map((view) => view.spec.id));
  const starting = [...state.cloudAsks.values()].filter(
    (ask) => ask.pool === pool.model && !known.has(ask.askId),
  );
  return { pool, engines, starting };
}

function staysUp(state: BoxState, view: ServerView): boolean {
  const member = serverMember(state, view.spec.id);
  if (member === undefined) return false;
  return member.state === MemberState.live || member.state === MemberState.listed;
}

/** Engines wanted from the load that the zones' boxes have told. */
function wantedEngines(state: BoxState, pool: PoolSpec): number {
  const load = loadOf(state, pool);
  if (load.engines === 0) return pool.minEngines;
  const use = load.busy / Math.max(1, load.slots);
  const needed = Math.ceil(load.busy / (pool.slotsPerEngine * TARGET_USE));
  if (use > TARGET_USE) return clamp(Math.max(needed, load.engines + 1), pool);
  if (use < LOW_USE) return clamp(Math.max(needed, load.engines - 1), pool);
  return clamp(load.engines, pool);
}

function clamp(count: number, pool: PoolSpec): number {
  return Math.min(pool.maxEngines, Math.max(pool.minEngines, count));
}

function loadOf(state: BoxState, pool: PoolSpec): { engines: number; slots: number; busy: number } {
  const sum = { engines: 0, slots: 0, busy: 0 };
  for (const view of state.serversByPool.get(pool.model) ?? []) {
    if (!staysUp(state, view)) continue;
    sum.engines += 1;
    sum.slots += view.spec.slots;
    sum.busy += (view.report?.running ?? 0) + (view.report?.waiting ?? 0);
  }
  for (const peer of state.peers.values()) {
    for (const load of peer.poolLoads) {
      if (load.pool === pool.model) sum.busy += load.busy;
    }
  }
  return sum;
}

function startOne(state: BoxState, step: Step, count: PoolCount, fence: number): void {
  const offer = bestOffer(state, step.nowMs, count);
  if (offer === undefined) {
    log(step, 'noOffer', { pool: count.pool.model });
    return;
  }
  const askId = nextId(state, 'start');
  const { zone, machineClass, reclaimable } = offer;
  const pool = count.pool.model;
  state.cloudAsks.set(askId, {
    askId,
    sentAtMs: step.nowMs,
    zone,
    machineClass,
    reclaimable,
    pool,
    answered: false,
  });
  const ask: CloudAsk = {
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

/** The offer with the lowest effective price, spread over zones, that is not backed off. */
export function bestOffer(state: BoxState, nowMs: number, count: PoolCount): OfferSpec | undefined {
  let best: OfferSpec | undefined;
  let bestPrice = Number.POSITIVE_INFINITY;
  for (const offer of allowedOffers(state, nowMs, count)) {
    const price = offerPrice(state, offer, count);
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
    count.starting.filter((ask) => !ask.reclaimable).length;
  const onDemandOnly =
    settings.policy.placement === PlacementPolicy.onDemandOnly ||
    !reclaimableAllowed(state) ||
    (settings.policy.placement === PlacementPolicy.effectivePrice &&
      onDemand < count.pool.onDemandFloor);
  return settings.offers.filter((offer) => {
    if (siteOfZone(settings, offer.zone) !== site) return false;
    if (onDemandOnly && offer.reclaimable) return false;
    return (state.offerBackoff.get(offerKey(offer))?.untilMs ?? 0) <= nowMs;
  });
}

function offerPrice(state: BoxState, offer: OfferSpec, count: PoolCount): number {
  const { placement } = state.settings.policy;
  if (placement === PlacementPolicy.cheapestFirst) return offer.pricePerHour;
  const reclaimCost = offer.reclaimsPerHour * RECLAIM_COST_HOURS;
  const crowd = shareInZone(offer.zone, count);
  return offer.pricePerHour * (1 + reclaimCost) * (1 + crowd);
}

/** Share of the pool that already stands in a zone; losing it should hurt little. */
function shareInZone(zone: string, count: PoolCount): number {
  const total = count.engines.length + count.starting.length;
  if (total === 0) return 0;
  const engines = count.engines.filter((view) => view.spec.zone === zone).length;
  const starting = count.starting.filter((ask) => ask.zone === zone).length;
  return (engines + starting) / total;
}

/** Gives back the dearest idle engine. */
function stopOne(state: BoxState, step: Step, count: PoolCount, fence: number): void {
  const idle = count.engines.filter(
    (view) => view.openAttempts.size === 0 && view.report?.running === 0 && mayStop(view, count),
  );
  const dearest = idle.sort((a, b) => priceOf(state, b) - priceOf(state, a))[0];
  if (dearest === undefined) return;
  const askId = nextId(state, 'stop');
  const ask: CloudAsk = { kind: 'stop', serverId: dearest.spec.id, fence };
  step.effects.push({ type: 'askCloud', askId, ask });
}

function mayStop(view: ServerView, count: PoolCount): boolean {
  if (view.spec.reclaimable) return true;
  const onDemand = count.engines.filter((other) => !other.spec.reclaimable).length;
  return onDemand > count.pool.onDemandFloor;
}

function priceOf(state: BoxState, view: ServerView): number {
  const { zone, machineClass, reclaimable } = view.spec;
  const offer = state.settings.offers.find(
    (item) =>
      item.zone === zone && item.machineClass === machineClass && item.reclaimable === reclaimable,
  );
  return offer?.pricePerHour ?? 0;
}

function offerKey(offer: { zone: string; machineClass: string; reclaimable: boolean }): string {
  return `${offer.zone}/${offer.machineClass}/${offer.reclaimable ? 'reclaimable' : 'onDemand'}`;
}

/** Takes the cloud's answer; a refusal backs the offer off, an unknown waits for the box list. */
export function onCloudAnswered(
  state: BoxState,
  step: Step,
  event: EventOf<'cloudAnswered'>,
): void {
  const ask = state.cloudAsks.get(event.askId);
  if (ask === undefined) return;
  ask.answered = true;
  if (event.answer.kind !== 'refused') return;
  state.cloudAsks.delete(event.askId);
  const key = offerKey(ask);
  const refusals = (state.offerBackoff.get(key)?.refusals ?? 0) + 1;
  const delayMs = backoffMs({
    tries: refusals,
    baseMs: state.settings.control.startBackoffMs,
    capMs: BACKOFF_CAP_MS,
    random: nextRandom(state),
  });
  state.offerBackoff.set(key, { untilMs: step.nowMs + delayMs, refusals });
  state.nextPlacementAtMs = step.nowMs;
  log(step, 'startRefused', { offer: key, againInMs: Math.round(delayMs) });
}

/** A started box carries its start token as its id; once listed, its start is over. */
export function noteStarted(state: BoxState, serverId: string): void {
  state.cloudAsks.delete(serverId);
}
