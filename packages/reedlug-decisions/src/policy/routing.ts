/**
 * Selects a server for a request.
 *
 * `affinity` ranks the servers by the rendezvous hash of the conversation and selects
 * the one with the lowest expected cost: waiting time, uncached prompt work and
 * recomputed tokens, weighted by the settings. The other policies are baselines.
 */
import { rendezvousWeight } from 'reedlug-coordination';
import type { RequestRecord, RequestSpec } from '../types/request.js';
import { RequestClass, RoutingPolicy, ServerKind } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { ServerView } from '../types/views.js';
import { nextRandom, poolSiteKey, siteOfZone } from '../state.js';
import { serverAcceptsRequests } from '../slices/serverMembers.js';
import { rulesFor, serverAllowed, type ServerRules } from '../plans/rules.js';
import { expectedCachedTokens } from './cacheView.js';
import { otherBoxesLoad, spareCapacity } from './windows.js';

/** Number of top-ranked servers of a conversation whose costs are compared. */
const SHORTLIST_LENGTH = 16;
/** Maximum number of servers checked outside a shortlist without spare capacity. */
const MAX_FALLBACK_CANDIDATES = 64;
/** Factor of the waiting cost of an urgent request over that of a patient one. */
const URGENT_WAIT_FACTOR = 8;
/**
 * Waiting time added for the slower generation at a full engine, in ms. It grows with
 * the square of the load.
 */
const CROWDING_WAIT_MS = 400;

/** Returns the server for a request, or undefined if the request has to wait. */
export function chooseServer(
  state: BoxState,
  record: RequestRecord,
  nowMs: number,
): ServerView | undefined {
  const rules = rulesFor(state, record.spec);
  const listed = shortlistWithHolder(state, record.spec, rules);
  const candidates = candidatesFor(state, record, rules, listed, nowMs);
  if (candidates.length === 0) return undefined;
  const preferred = candidates.filter((view) => !record.avoidedServers.has(view.spec.id));
  return selectByPolicy(
    state,
    record,
    listed,
    preferred.length > 0 ? preferred : candidates,
    nowMs,
  );
}

/** Returns the servers with spare capacity, only those of the own zone if the settings prefer them. */
function candidatesFor(
  state: BoxState,
  record: RequestRecord,
  rules: ServerRules,
  listed: readonly ServerView[],
  nowMs: number,
): ServerView[] {
  const available = listed.filter((view) => hasSpareCapacity(state, record, view, nowMs));
  const found =
    available.length > 0 ? available : fallbackCandidates(state, record, rules, listed, nowMs);
  if (state.settings.policy.routeOverSite) return found;
  const own = found.filter((view) => view.spec.zone === state.settings.zone);
  return own.length > 0 ? own : found;
}

/**
 * Returns a server outside a shortlist that has no spare capacity: the first one with
 * spare capacity among a few servers from a random position on.
 */
function fallbackCandidates(
  state: BoxState,
  record: RequestRecord,
  rules: ServerRules,
  listed: readonly ServerView[],
  nowMs: number,
): ServerView[] {
  const pool = poolServers(state, record.spec, rules);
  if (pool.length <= listed.length) return [];
  const start = Math.floor(nextRandom(state) * pool.length);
  for (let step = 0; step < MAX_FALLBACK_CANDIDATES; step += 1) {
    const view = pool[(start + step) % pool.length];
    if (view === undefined || !isEligible(state, record.spec, rules, view)) continue;
    if (hasSpareCapacity(state, record, view, nowMs)) return [view];
  }
  return [];
}

function hasSpareCapacity(
  state: BoxState,
  record: RequestRecord,
  view: ServerView,
  nowMs: number,
): boolean {
  return spareCapacity(state, view, record.spec.requestClass, nowMs) > 0;
}

/** Returns the pool's servers at the own site, or at all sites if it has none here or is on a move. */
function poolServers(
  state: BoxState,
  spec: RequestSpec,
  rules: ServerRules,
): readonly ServerView[] {
  const all = state.serversByPool.get(spec.pool) ?? [];
  if (rules.move !== undefined) return all;
  const site = siteOfZone(state.settings, state.settings.zone);
  const own = state.serversByPoolSite.get(poolSiteKey(spec.pool, site)) ?? [];
  return own.some((view) => isEligible(state, spec, rules, view)) ? own : all;
}

function isEligible(
  state: BoxState,
  spec: RequestSpec,
  rules: ServerRules,
  view: ServerView,
): boolean {
  if (view.spec.kind !== spec.kind) return false;
  if (!serverAcceptsRequests(state, view) || !versionMatches(view, spec.version)) return false;
  return serverAllowed(state, view, rules);
}

/**
 * Returns the top-ranked servers that may run a request, best first, with or without
 * spare capacity. The length is limited so that the cost of routing does not grow with
 * the fleet.
 */
export function shortlist(state: BoxState, spec: RequestSpec, rules: ServerRules): ServerView[] {
  const weights: number[] = [];
  const views: ServerView[] = [];
  for (const view of poolServers(state, spec, rules)) {
    const weight = rendezvousWeight(spec.affinityHash, view.idHash);
    const isFull = views.length === SHORTLIST_LENGTH;
    if (isFull && weight <= (weights.at(-1) ?? 0)) continue;
    if (!isEligible(state, spec, rules, view)) continue;
    let at = views.length;
    while (at > 0 && weight > (weights[at - 1] ?? 0)) at -= 1;
    weights.splice(at, 0, weight);
    views.splice(at, 0, view);
    if (!isFull) continue;
    weights.pop();
    views.pop();
  }
  return views;
}

/** Returns the shortlist and the server where the conversation's prefix was last seen. */
function shortlistWithHolder(state: BoxState, spec: RequestSpec, rules: ServerRules): ServerView[] {
  const listed = shortlist(state, spec, rules);
  const location = state.prefixLocations.get(spec.affinityHash);
  if (location === undefined) return listed;
  const holder = state.servers.get(location.serverId);
  if (holder !== undefined && listed.includes(holder)) return listed;
  if (holder !== undefined && isEligible(state, spec, rules, holder)) {
    return [...listed, holder];
  }
  // A prefix at a server that cannot be used is dropped: with the location kept, no engine
  // would be expected to hold the prefix, and each box would choose a different engine.
  state.prefixLocations.delete(spec.affinityHash);
  return listed;
}

/** True if the engine runs the model version that the request names, or if it names none. */
export function versionMatches(view: ServerView, version: string): boolean {
  return version === '' || modelVersionOf(view) === version;
}

/** Returns the model version that an engine runs; empty if none is stated. */
export function modelVersionOf({ report, spec }: ServerView): string {
  return report?.version ?? spec.version;
}

function selectByPolicy(
  state: BoxState,
  record: RequestRecord,
  listed: readonly ServerView[],
  candidates: readonly ServerView[],
  nowMs: number,
): ServerView | undefined {
  switch (state.settings.policy.routing) {
    case RoutingPolicy.affinity:
      return cheapestServer(state, record, listed, candidates, nowMs);
    case RoutingPolicy.roundRobin:
      return nextInTurn(state, candidates);
    case RoutingPolicy.leastRequests:
      return leastLoaded(candidates, nowMs);
    case RoutingPolicy.stickyHash:
      return firstRanked(record.spec.affinityHash, candidates);
  }
}

function nextInTurn(state: BoxState, candidates: readonly ServerView[]): ServerView | undefined {
  state.roundRobinTurn += 1;
  return candidates[state.roundRobinTurn % candidates.length];
}

function leastLoaded(candidates: readonly ServerView[], nowMs: number): ServerView | undefined {
  return lowestCost(
    candidates,
    (view) => view.openAttempts.size + (otherBoxesLoad(view, nowMs) ?? 0),
  );
}

/** Returns the server with the highest rendezvous weight for a key. */
export function firstRanked(
  affinityHash: number,
  servers: readonly ServerView[],
): ServerView | undefined {
  return lowestCost(servers, (view) => -rendezvousWeight(affinityHash, view.idHash));
}

function cheapestServer(
  state: BoxState,
  record: RequestRecord,
  listed: readonly ServerView[],
  candidates: readonly ServerView[],
  nowMs: number,
): ServerView | undefined {
  if (record.spec.kind === ServerKind.service) {
    return lowestCost(candidates, (view) => serviceCost(state, view, nowMs));
  }
  const [first] = listed;
  const costOf = (view: ServerView): number =>
    engineCost(state, record, view, view === first, nowMs);
  const best = lowestCost(candidates, costOf);
  const bestCost = best === undefined ? Number.POSITIVE_INFINITY : costOf(best);
  const worthWaiting = listed.some(
    (view) =>
      !hasSpareCapacity(state, record, view, nowMs) &&
      costOf(view) + waitCost(state, record, view, nowMs) < bestCost,
  );
  return worthWaiting ? undefined : best;
}

/** Returns the cost of waiting for a slot at a full server; infinite once waiting is not allowed. */
function waitCost(state: BoxState, record: RequestRecord, view: ServerView, nowMs: number): number {
  if (record.phase.kind !== 'queued' || record.spec.requestClass === RequestClass.urgent) {
    return Number.POSITIVE_INFINITY;
  }
  const waitedMs = nowMs - record.phase.sinceMs;
  const { policy } = state.settings;
  if (waitedMs > policy.longestHoldMs) return Number.POSITIVE_INFINITY;
  const perTokenMs = view.interTokenMs > 0 ? view.interTokenMs : policy.interTokenMs;
  const runMs = record.spec.maxTokens * perTokenMs;
  const waitMs = runMs / Math.max(1, view.openAttempts.size);
  return (waitMs / 1000) * policy.weights.waitPerSecond;
}

function serviceCost(state: BoxState, view: ServerView, nowMs: number): number {
  const load = view.openAttempts.size + (otherBoxesLoad(view, nowMs) ?? 0);
  const crossZoneMs =
    view.spec.zone === state.settings.zone ? 0 : state.settings.policy.crossZoneMs * 2;
  return load + crossZoneMs;
}

/** Returns the expected cost of running a request at an engine, in the units of the weights. */
export function engineCost(
  state: BoxState,
  record: RequestRecord,
  view: ServerView,
  isFirstRanked: boolean,
  nowMs: number,
): number {
  const { policy } = state.settings;
  const { spec } = record;
  const cached = expectedCachedTokens(state, spec, view, isFirstRanked);
  const uncached = spec.promptTokens + record.ledger.tokens.length - cached;
  const load = view.openAttempts.size + (otherBoxesLoad(view, nowMs) ?? 0);
  const waitMs =
    (uncached + view.pendingPrefillTokens) / policy.prefillTokensPerMs +
    crowdingMs(load, view.spec.slots) +
    (view.spec.zone === state.settings.zone ? 0 : policy.crossZoneMs * 2);
  const urgency = spec.requestClass === RequestClass.urgent ? URGENT_WAIT_FACTOR : 1;
  const { waitPerSecond, recomputePerThousandTokens } = policy.weights;
  return (waitMs / 1000) * waitPerSecond * urgency + (uncached / 1000) * recomputePerThousandTokens;
}

function crowdingMs(load: number, slots: number): number {
  const share = load / Math.max(1, slots);
  return CROWDING_WAIT_MS * share * share;
}

function lowestCost(
  views: readonly ServerView[],
  costOf: (view: ServerView) => number,
): ServerView | undefined {
  let best: ServerView | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const view of views) {
    const cost = costOf(view);
    if (cost >= bestCost) continue;
    best = view;
    bestCost = cost;
  }
  return best;
}
