/**
 * Whether a server still runs the life that its registry entry describes.
 *
 * A server may end and come back under its id and address with another version, and accepts whatever
 * names its id. Its next life writes a new entry at once, which a box sees only while the registry that it
 * knows is that of the store.
 */
import type { GatewayState } from '../../state.js';
import type { ServerView } from '../../types/views.js';
import { isStoreAwayForAll } from '../peers/storeLoss.js';
import { registryKnownAtMs } from '../store/feedAges.js';
import { StoreFeed } from '../../types/storeFeed.js';

/** Time without an answer of the store after which a registry entry may be out of date, in ms: longer than a long poll. */
const REGISTRY_TRUSTED_MS = 2500;
/** Time after connections were refused by which the entry of a server that has ended is gone or that of its next life, in ms. */
const ENDED_SERVER_MS = 5000;
/** Time after the process stood still within which what arrives may have been sent meanwhile, in ms. */
const STALL_SETTLE_MS = 300;

/** Servers whose entries describe the life that they run. */
export interface KnownLives {
  has: (view: ServerView) => boolean;
}

/**
 * Returns the servers that are known to run the life of their entry. One whose port refuses connections has
 * ended. While the registry may be out of date, an attempt that is open at a life shows that it goes on,
 * and so does each attempt that began beside it.
 */
export function knownLives(state: GatewayState, nowMs: number): KnownLives {
  return livesIn(state, nowMs, isRegistryCurrent(state, nowMs));
}

/**
 * Returns the servers that probably run the life of their entry, so that an answer of theirs is worth confirming. A poll that
 * failed, or a time for which the box stood still, does not speak against that.
 */
export function confirmableLives(state: GatewayState, nowMs: number): KnownLives {
  return livesIn(state, nowMs, isRegistryRecent(state, nowMs));
}

/**
 * Returns whether servers may have begun a next life of which this box can not know: it has not known the registry for long, and
 * the store is not away for all boxes.
 */
export function isCutOffFromRegistry(state: GatewayState, nowMs: number): boolean {
  return !isRegistryRecent(state, nowMs) && !isStoreAwayForAll(state, nowMs);
}

function livesIn(state: GatewayState, nowMs: number, isRegistryBelieved: boolean): KnownLives {
  const lives = isRegistryBelieved ? undefined : livesOfOpenAttempts(state);
  return {
    has: ({ life, endSuspectedAtMs }) =>
      nowMs - endSuspectedAtMs >= ENDED_SERVER_MS && (lives === undefined || lives.has(life)),
  };
}

function isRegistryCurrent(state: GatewayState, nowMs: number): boolean {
  const confirmedAtMs = registryConfirmedAtMs(state);
  if (confirmedAtMs < state.stalledAtMs + STALL_SETTLE_MS) return false;
  if (confirmedAtMs <= lastFailureAtMs(state)) return false;
  return isRegistryRecent(state, nowMs);
}

function isRegistryRecent(state: GatewayState, nowMs: number): boolean {
  return nowMs - registryConfirmedAtMs(state) <= REGISTRY_TRUSTED_MS;
}

function registryConfirmedAtMs(state: GatewayState): number {
  return Math.max(state.startedAtMs, registryKnownAtMs(state));
}

/** Returns when this box last failed to reach the store; a peer may have shown since then that its registry is current. */
function lastFailureAtMs({ storeReachable, storeLostAtMs, failedFeeds }: GatewayState): number {
  const lostAtMs = storeReachable ? Number.NEGATIVE_INFINITY : storeLostAtMs;
  return Math.max(lostAtMs, failedFeeds.get(StoreFeed.servers) ?? Number.NEGATIVE_INFINITY);
}

function livesOfOpenAttempts({ requests }: GatewayState): ReadonlySet<number> {
  const lives = new Set<number>();
  for (const { attempts } of requests.values()) {
    for (const { open, isAtKnownLife, life } of attempts)
      if (open && isAtKnownLife) lives.add(life);
  }
  return lives;
}
