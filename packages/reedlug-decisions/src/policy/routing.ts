/**
 * Choice of a server for a request.
 *
 * `affinity` ranks the servers by rendezvous hash of the conversation and takes
 * the cheapest by one figure: waiting, prompt work not in the cache, and the
 * recomputed tokens, weighed by the settings. The other policies are baselines.
 */
import { rendezvousWeight } from 'reedlug-coordination';
import type { RequestRecord, RequestSpec } from '../types/request.js';
import { RequestClass, RoutingPolicy, ServerKind } from '../types/settings.js';
import type { BoxState, ServerView } from '../state.js';
import { serverTakesWork } from '../slices/servers.js';
import { serverAllowed } from '../plans/rules.js';
import { expectedCachedTokens } from './cacheView.js';
import { othersAt, roomAt } from './windows.js';

/** A second of waiting of an urgent request weighs this many times a patient one's. */
const URGENT_WAIT_FACTOR = 8;
/** Slowdown of generation at a full engine, as a share of one second's wait per slot share. */
const CROWDING_WAIT_MS = 400;

/** The server for a request, or undefined when none has room. */
export function chooseServer(
  state: BoxState,
  record: RequestRecord,
  nowMs: number,
): ServerView | undefined {
  const candidates = candidatesFor(state, record, nowMs);
  if (candidates.length === 0) return undefined;
  const preferred = candidates.filter((view) => !record.avoid.has(view.spec.id));
  return pick(state, record, preferred.length > 0 ? preferred : candidates, nowMs);
}

/** Servers of the request's pool that take work and have room; own zone first where settings say so. */
function candidatesFor(state: BoxState, record: RequestRecord, nowMs: number): ServerView[] {
  const open = usableServers(state, record.spec).filter((view) =>
    hasRoom(state, record, view, nowMs),
  );
  if (state.settings.policy.routeOverSite) return open;
  const own = open.filter((view) => view.spec.zone === state.settings.zone);
  return own.length > 0 ? own : open;
}

function hasRoom(state: BoxState, record: RequestRecord, view: ServerView, nowMs: number): boolean {
  return roomAt(state, view, record.spec.requestClass, nowMs) > 0;
}

/** Servers that may run a request, with room or without. */
export function usableServers(state: BoxState, spec: RequestSpec): ServerView[] {
  const pool = state.serversByPool.get(spec.pool) ?? [];
  return pool.filter((view) => {
    if (view.spec.kind !== spec.kind) return false;
    if (!serverTakesWork(state, view) || !versionFits(view, spec.version)) return false;
    return serverAllowed(state, view, spec);
  });
}

/** A request that names a version goes only to engines that report it. */
function versionFits(view: ServerView, version: string): boolean {
  if (version === '') return true;
  return (view.report?.version ?? view.spec.version) === version;
}

function pick(
  state: BoxState,
  record: RequestRecord,
  candidates: readonly ServerView[],
  nowMs: number,
): ServerView | undefined {
  switch (state.settings.policy.routing) {
    case RoutingPolicy.affinity:
      return cheapest(state, record, candidates, nowMs);
    case RoutingPolicy.roundRobin:
      return inTurn(state, candidates);
    case RoutingPolicy.leastRequests:
      return leastLoaded(candidates, nowMs);
    case RoutingPolicy.stickyHash:
      return firstRanked(record.spec.affinityHash, candidates);
  }
}

function inTurn(state: BoxState, candidates: readonly ServerView[]): ServerView | undefined {
  state.roundRobinTurn += 1;
  return candidates[state.roundRobinTurn % candidates.length];
}

function leastLoaded(candidates: readonly ServerView[], nowMs: number): ServerView | undefined {
  return lowest(candidates, (view) => view.openAttempts.size + (othersAt(view, nowMs) ?? 0));
}

/** The server with the highest rendezvous weight for a key. */
export function firstRanked(
  affinityHash: number,
  servers: readonly ServerView[],
): ServerView | undefined {
  return lowest(servers, (view) => -rendezvousWeight(affinityHash, view.idHash));
}

function cheapest(
  state: BoxState,
  record: RequestRecord,
  candidates: readonly ServerView[],
  nowMs: number,
): ServerView | undefined {
  if (record.spec.kind === ServerKind.service) {
    return lowest(candidates, (view) => serviceCost(state, view, nowMs));
  }
  const { spec } = record;
  const usable = usableServers(state, spec);
  const first = firstRanked(spec.affinityHash, usable);
  const costOf = (view: ServerView): number =>
    engineCost(state, record, view, view === first, nowMs);
  const best = lowest(candidates, costOf);
  const bestCost = best === undefined ? Number.POSITIVE_INFINITY : costOf(best);
  const worthWaiting = usable.some(
    (view) =>
      !hasRoom(state, record, view, nowMs) &&
      costOf(view) + waitCost(state, record, view, nowMs) < bestCost,
  );
  return worthWaiting ? undefined : best;
}

/** Cost of waiting until a full server has a place, less what was waited already. */
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
  const load = view.openAttempts.size + (othersAt(view, nowMs) ?? 0);
  const awayMs = view.spec.zone === state.settings.zone ? 0 : state.settings.policy.crossZoneMs * 2;
  return load + awayMs;
}

/** The expected cost of running a request at an engine, in the units of the settings' weights. */
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
  const load = view.openAttempts.size + (othersAt(view, nowMs) ?? 0);
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

function lowest(
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
