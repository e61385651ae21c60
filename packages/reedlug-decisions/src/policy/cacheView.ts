/**
 * Locations of cached prefixes, as far as this box knows them.
 *
 * Cache events arrive late and with gaps. A gap makes the locations at a server
 * uncertain; the cached tokens that an engine reports with each answer correct
 * this view. Without a known location, the first-ranked engine is expected to hold
 * the share of prompt tokens that earlier requests of this kind found in its cache.
 */
import type { EventOf } from '../types/event.js';
import type { CacheUpdate } from '../types/peer.js';
import type { RequestSpec } from '../types/request.js';
import type { BoxState } from '../state.js';
import type { ServerView } from '../types/views.js';

/** Maximum number of prefix locations kept; the oldest is dropped first. */
export const MAX_PREFIX_LOCATIONS = 20_000;
/** Maximum number of cache updates sent to peers per heartbeat. */
const MAX_PENDING_CACHE_UPDATES = 200;
/** Weight of the newest answer in the smoothed cache hit share. */
const HIT_SMOOTHING = 0.05;
/** Share of the expected tokens that counts if the server had a gap in its cache events. */
const UNCERTAIN_CREDIT = 0.5;

/** Returns the number of prompt tokens that a server is expected to find in its cache. */
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

/** Records that a server holds the prefix of a conversation, `tokens` long. */
export function recordPrefixLocation(
  state: BoxState,
  affinityHash: number,
  serverId: string,
  tokens: number,
): void {
  putBounded(state.prefixLocations, affinityHash, { serverId, tokens });
}

/** Sets an entry as the newest one and drops the oldest one above the limit. */
function putBounded<T>(entries: Map<number, T>, affinityHash: number, entry: T): void {
  entries.delete(affinityHash);
  entries.set(affinityHash, entry);
  if (entries.size <= MAX_PREFIX_LOCATIONS) return;
  const oldest = entries.keys().next();
  if (oldest.done !== true) entries.delete(oldest.value);
}

/**
 * Records where an answer of this box left a prefix, and queues an update for the peers
 * if they would expect the prefix at another server.
 */
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

/** Applies the cache updates of a peer. */
export function onCacheUpdates(state: BoxState, updates: readonly CacheUpdate[]): void {
  for (const { affinityHash, serverId, tokens } of updates) {
    recordPrefixLocation(state, affinityHash, serverId, tokens);
    putBounded(state.announcedPrefixServers, affinityHash, serverId);
  }
}

/** Corrects the view by the number of cached tokens that an engine reports with an answer. */
export function recordCacheHit(
  state: BoxState,
  params: { spec: RequestSpec; view: ServerView; cachedTokens: number; hadLocation: boolean },
): void {
  const { spec, view, cachedTokens, hadLocation } = params;
  if (hadLocation) {
    const location = state.prefixLocations.get(spec.affinityHash);
    view.cacheUncertain = location !== undefined && cachedTokens < location.tokens / 2;
    return;
  }
  if (spec.promptTokens === 0) return;
  const share = cachedTokens / spec.promptTokens;
  state.priorHitShare += HIT_SMOOTHING * (share - state.priorHitShare);
}

/** Applies a cache event. A jump in the sequence number means that events were missed. */
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

/** Drops all prefix locations at a server that is gone. */
export function forgetServerPrefixes(state: BoxState, serverId: string): void {
  for (const [affinityHash, location] of state.prefixLocations) {
    if (location.serverId === serverId) state.prefixLocations.delete(affinityHash);
  }
}
