/**
 * Where cached prefixes are, as far as this box has seen.
 *
 * Cache events are late and have gaps. A gap makes a server's sights
 * uncertain; the cached tokens that an engine reports with each answer correct
 * the view. Without a sight, the first-ranked engine is credited with the
 * share of prompt tokens that such requests were found to hit.
 */
import type { EventOf } from '../types/event.js';
import type { CacheUpdate } from '../types/peer.js';
import type { RequestSpec } from '../types/request.js';
import type { BoxState, ServerView } from '../state.js';

/** Sights kept; the oldest goes first. */
export const MAX_PREFIX_LOCATIONS = 20_000;
/** News of prefixes sent in one heartbeat at most. */
const MAX_PENDING_CACHE_UPDATES = 200;
/** Weight of the newest answer in the smoothed hit share. */
const HIT_SMOOTHING = 0.05;
/** Credit of a sight whose server had a gap in its cache events. */
const UNCERTAIN_CREDIT = 0.5;

/** Prompt tokens that a server is expected to find in its cache. */
export function expectedCachedTokens(
  state: BoxState,
  spec: RequestSpec,
  view: ServerView,
  isFirstRanked: boolean,
): number {
  const location = state.prefixLocations.get(spec.affinityHash);
  if (location === undefined) {
    return isFirstRanked ? spec.promptTokens * state.priorHitShare : 0;
  }
  if (location.serverId !== view.spec.id) return 0;
  const credit = view.cacheUncertain ? UNCERTAIN_CREDIT : 1;
  return Math.min(spec.promptTokens, location.tokens) * credit;
}

/** Notes that a server now holds the conversation's prefix up to `tokens`. */
export function recordPrefixLocation(
  state: BoxState,
  affinityHash: number,
  serverId: string,
  tokens: number,
): void {
  putBounded(state.prefixLocations, affinityHash, { serverId, tokens });
}

/** Puts an entry as the newest; the oldest goes when there are too many. */
function putBounded<T>(entries: Map<number, T>, affinityHash: number, entry: T): void {
  entries.delete(affinityHash);
  entries.set(affinityHash, entry);
  if (entries.size <= MAX_PREFIX_LOCATIONS) return;
  const oldest = entries.keys().next();
  if (oldest.done !== true) entries.delete(oldest.value);
}

/** Notes where this box's own answer left a prefix, and has peers told if they would look elsewhere. */
export function recordOwnPrefixLocation(
  state: BoxState,
  update: CacheUpdate,
  firstRankedId: string | undefined,
): void {
  const { affinityHash, serverId, tokens } = update;
  recordPrefixLocation(state, affinityHash, serverId, tokens);
  const expectedServerId = state.announcedPrefixServers.get(affinityHash) ?? firstRankedId;
  if (expectedServerId === serverId) return;
  recordAnnounced(state, affinityHash, serverId, firstRankedId);
  if (state.pendingCacheUpdates.length < MAX_PENDING_CACHE_UPDATES)
    state.pendingCacheUpdates.push(update);
}

function recordAnnounced(
  state: BoxState,
  affinityHash: number,
  serverId: string,
  firstRankedId: string | undefined,
): void {
  if (serverId === firstRankedId) state.announcedPrefixServers.delete(affinityHash);
  else putBounded(state.announcedPrefixServers, affinityHash, serverId);
}

/** Takes a peer's news of prefixes. */
export function onCacheUpdates(state: BoxState, updates: readonly CacheUpdate[]): void {
  for (const { affinityHash, serverId, tokens } of updates) {
    recordPrefixLocation(state, affinityHash, serverId, tokens);
    putBounded(state.announcedPrefixServers, affinityHash, serverId);
  }
}

/** Learns from an engine's report of cached tokens how far the view can be trusted. */
export function recordCacheHit(
  state: BoxState,
  params: { spec: RequestSpec; view: ServerView; cachedTokens: number; hadLocation: boolean },
): void {
  const { spec, view, cachedTokens, hadLocation } = params;
  if (hadLocation) {
    const sight = state.prefixLocations.get(spec.affinityHash);
    view.cacheUncertain = sight !== undefined && cachedTokens < sight.tokens / 2;
    return;
  }
  if (spec.promptTokens === 0) return;
  const share = cachedTokens / spec.promptTokens;
  state.priorHitShare += HIT_SMOOTHING * (share - state.priorHitShare);
}

/** Takes a cache event; a jump in its sequence number is a gap. */
export function onCacheChanged(state: BoxState, event: EventOf<'cacheChanged'>): void {
  const view = state.servers.get(event.serverId);
  if (view === undefined || event.sequence <= view.cacheSequence) return;
  if (view.cacheSequence !== 0 && event.sequence > view.cacheSequence + 1) {
    view.cacheUncertain = true;
  }
  view.cacheSequence = event.sequence;
  for (const affinityHash of event.evicted) {
    const location = state.prefixLocations.get(affinityHash);
    if (location?.serverId === event.serverId) state.prefixLocations.delete(affinityHash);
  }
}

/** Forgets every sight of a server that is gone. */
export function forgetServerPrefixes(state: BoxState, serverId: string): void {
  for (const [affinityHash, location] of state.prefixLocations) {
    if (location.serverId === serverId) state.prefixLocations.delete(affinityHash);
  }
}
