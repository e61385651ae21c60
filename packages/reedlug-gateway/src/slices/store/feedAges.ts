/** How old this box's knowledge of the store's collections is. */
import type { EventOf } from '../../types/event.js';
import type { PeerMessage } from '../../types/peer.js';
import { StoreFeed, type SharedFeed } from '../../types/storeFeed.js';
import { log, type GatewayState, type Step } from '../../state.js';

/** Returns the time up to which this box knows what a feed brings: by its own calls, or from a peer that knows nothing newer. */
export function feedKnownAtMs(
  { feedAnsweredAtMs, feedConfirmedAtMs }: GatewayState,
  feed: SharedFeed,
): number {
  return Math.max(feedAnsweredAtMs[feed] ?? Number.NEGATIVE_INFINITY, feedConfirmedAtMs[feed]);
}

/** Returns the time up to which this box knows the registry. */
export function registryKnownAtMs(state: GatewayState): number {
  return feedKnownAtMs(state, StoreFeed.servers);
}

/** Returns the age of this box's knowledge of the registry, in ms, for logs and metrics; -1 before it is known. */
export function registryAgeMs(state: GatewayState, nowMs: number): number {
  const ageMs = Math.round(nowMs - registryKnownAtMs(state));
  return Number.isFinite(ageMs) ? ageMs : -1;
}

/** Returns the time since the store last answered a feed of this box, in ms; -1 before. */
export function feedAgeMs(
  { feedAnsweredAtMs }: GatewayState,
  feed: StoreFeed,
  nowMs: number,
): number {
  const answeredAtMs = feedAnsweredAtMs[feed];
  return answeredAtMs === undefined ? -1 : Math.round(nowMs - answeredAtMs);
}

/**
 * Returns the age of what this box knows by its own feeds of configuration and registry, in ms, to be
 * sent to peers; undefined while its hub follows the store in its place, or before both are known.
 */
export function ownFeedAgeMs(
  { feedAnsweredAtMs: { operators, servers }, hubId }: GatewayState,
  nowMs: number,
): number | undefined {
  if (hubId !== undefined || operators === undefined || servers === undefined) return undefined;
  return Math.round(nowMs - Math.min(operators, servers));
}

/**
 * Returns the age of the moment up to which this box's configuration and registry were those of the store, in ms, to be sent
 * to peers; undefined while its hub follows the store in its place, or before both are known.
 */
export function knownAgeMs(state: GatewayState, nowMs: number): number | undefined {
  const knownAtMs = Math.min(
    feedKnownAtMs(state, StoreFeed.operators),
    feedKnownAtMs(state, StoreFeed.servers),
  );
  const isKnown = state.hubId === undefined && Number.isFinite(knownAtMs);
  return isKnown ? Math.round(nowMs - knownAtMs) : undefined;
}

/** Returns the age that a peer states of what it knows, by itself or from others, in ms. */
export function peerKnownAgeMs(message: PeerMessage): number | undefined {
  return message.knownAgeMs ?? peerFeedAgeMs(message);
}

/** Returns the age that a peer states of what it knows of the store, in ms; one of an older box is that of any contact. */
export function peerFeedAgeMs({ feedAgeMs, storeContactAgeMs }: PeerMessage): number | undefined {
  return feedAgeMs ?? storeContactAgeMs;
}

/** Records how a call of a feed ended. */
export function recordFeedContact(
  state: GatewayState,
  step: Step,
  event: EventOf<'storeContact'>,
): void {
  const { feed } = event;
  if (event.reachable) {
    if (feed === StoreFeed.servers) state.registryGapMs = registryAgeMs(state, step.nowMs);
    state.feedAnsweredAtMs[feed] = step.nowMs;
    const { readTo = 0 } = event;
    if (feed === StoreFeed.servers) state.serversReadTo = Math.max(state.serversReadTo, readTo);
    // Peers may have missed the same changes, so the next tick sends them the versions that follow.
    if (state.failedFeeds.delete(feed)) state.gossipSentAtMs = Number.NEGATIVE_INFINITY;
    return;
  }
  state.failedFeeds.set(feed, step.nowMs);
  const { reason, tookMs } = event;
  const ageMs = feedAgeMs(state, feed, step.nowMs);
  log(step, 'feedFault', { feed, reason, tookMs: Math.round(tookMs), ageMs });
}

/** Logs when the registry becomes older than the users' bound for draining servers, and when it no longer is. */
export function registryAgeTick(state: GatewayState, step: Step): void {
  const ageMs = registryAgeMs(state, step.nowMs);
  const isOverdue = ageMs > state.settings.bounds.drainMs;
  if (isOverdue === state.isRegistryOverdue) return;
  state.isRegistryOverdue = isOverdue;
  const feeds = Object.values(StoreFeed).map((feed) => [
    `${feed}AgeMs`,
    feedAgeMs(state, feed, step.nowMs),
  ]);
  const fields = { ageMs, hub: state.hubId ?? '', ...Object.fromEntries(feeds) };
  log(step, isOverdue ? 'registryOverdue' : 'registryCurrent', fields);
}
