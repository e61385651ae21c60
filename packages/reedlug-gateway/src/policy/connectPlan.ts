/**
 * Decides how a connection to a server is opened: by this box itself, through other boxes, or both.
 *
 * A box may lose its links to servers that other boxes reach. Nothing is sent on a connection that
 * never came up, so the paths are tried at the same time, and the first that opens is used.
 */
import {
  ConnectOutcome,
  type ConnectTimes,
  type ServerLink,
  type ServerLinks,
} from '../types/serverLink.js';

/** Shortest and longest time for which a direct connection is tried alone, in ms. */
const MIN_PATIENCE_MS = 60;
const MAX_PATIENCE_MS = 200;
/**
 * Shortest and longest time for which one peer is waited for alone, in ms. Callers of a box without links are to wait at most 50 ms
 * longer than those of others, and a peer whose process does not run for a moment opens nothing meanwhile.
 */
const MIN_PEER_PATIENCE_MS = 30;
const MAX_PEER_PATIENCE_MS = 120;
/** Multiple of the deviation that is added to the usual time to connect, as for TCP retransmissions. */
const DEVIATION_FACTOR = 4;
/**
 * Interval at which a direct connection to a server is tried again while its link is down, in ms: the
 * link is in use again within a second of its return.
 */
const TRIAL_INTERVAL_MS = 500;
/** Time for which peers are not asked again after they failed to connect to a server, in ms. */
const PEERS_RETRY_MS = 500;
/** Number of servers out of reach from which the cause is not taken to be one of them. */
const MIN_SERVERS_FAILED = 2;

/** How to open a connection. */
export interface ConnectPlan {
  isDirectTried: boolean;
  /** Whether the connection waits for the attempts; otherwise they only show whether a path is up again. */
  isAwaited: boolean;
  /** Time after which peers are asked, in ms; undefined if they aren't. */
  peersAfterMs: number | undefined;
}

/** Returns how to open a connection to a server. */
export function connectPlan(params: {
  /** Undefined unless the last direct connection failed. */
  link: ServerLink | undefined;
  links: ServerLinks;
  /** Whether there are peers to ask. */
  hasPeers: boolean;
  nowMs: number;
}): ConnectPlan {
  const { link, links, hasPeers, nowMs } = params;
  const isCut = isCutOff(links);
  if (link === undefined) {
    const afterMs = isCut ? 0 : patienceMs(links);
    const peersAfterMs = hasPeers ? afterMs : undefined;
    return { isDirectTried: true, isAwaited: !isNoneReached(links), peersAfterMs };
  }
  const isTrialDue = nowMs - link.triedAtMs >= TRIAL_INTERVAL_MS;
  const peersAfterMs = hasPeers && !arePeersFailing(link, nowMs) ? 0 : undefined;
  // Neither this box nor its peers reach the server. A connection that hangs would only delay the refusal.
  const arePeersWithoutPath = !hasPeers || link.failedByPeersAtMs > link.openedByPeerAtMs;
  const isHopeless =
    isNoneReached(links) ||
    (link.failure === ConnectOutcome.silent && reachesNone(links) && arePeersWithoutPath);
  if (isHopeless) return { isDirectTried: isTrialDue, isAwaited: false, peersAfterMs };
  const isDirectTried = isTrialDue || peersAfterMs === undefined;
  return { isDirectTried, isAwaited: true, peersAfterMs };
}

/** Returns whether the server itself, and not this box's link to it, is why connections fail. */
export function isServerAtFault(
  link: ServerLink | undefined,
  links: ServerLinks,
  nowMs: number,
): boolean {
  if (link === undefined || arePeersFailing(link, nowMs)) return true;
  return link.openedByPeerAtMs === Number.NEGATIVE_INFINITY && !isCutOff(links);
}

function arePeersFailing(
  { openedByPeerAtMs, failedByPeersAtMs }: ServerLink,
  nowMs: number,
): boolean {
  return failedByPeersAtMs > openedByPeerAtMs && nowMs - failedByPeersAtMs < PEERS_RETRY_MS;
}

/** Returns whether a direct connection hung so recently that another would as well. */
export function isLinkHanging(link: ServerLink | undefined, nowMs: number): boolean {
  if (link?.failure !== ConnectOutcome.silent) return false;
  return nowMs - link.triedAtMs < TRIAL_INTERVAL_MS;
}

/** Returns whether an attempt that was sent, and last heard of, at these times is on a link of this box that hangs. */
export function isOnHangingLink(
  links: ServerLinks,
  { sentAtMs, lastActivityAtMs }: { sentAtMs: number; lastActivityAtMs: number },
): boolean {
  if (links.failure !== ConnectOutcome.silent || !isCutOff(links)) return false;
  // Later ones go through peers.
  return Math.max(sentAtMs, lastActivityAtMs) < links.cutOffAtMs;
}

/** Returns how long a direct connection is tried alone, in ms. */
export function patienceMs(links: ConnectTimes): number {
  return Math.min(MAX_PATIENCE_MS, Math.max(MIN_PATIENCE_MS, usualMs(links)));
}

/** Returns after how long without an answer of a peer another one is asked as well, in ms. */
export function peerPatienceMs({ throughPeers }: ServerLinks): number {
  if (throughPeers === undefined) return MAX_PEER_PATIENCE_MS;
  return Math.min(MAX_PEER_PATIENCE_MS, Math.max(MIN_PEER_PATIENCE_MS, usualMs(throughPeers)));
}

/** Returns the time in which nearly all connections come up, in ms. */
function usualMs({ connectMs, deviationMs }: ConnectTimes): number {
  return connectMs + DEVIATION_FACTOR * deviationMs;
}

/**
 * Returns whether a box seems to have lost its own links: direct connections to several servers failed,
 * none came up since, and peers have not failed to reach these servers.
 */
export function isCutOff({ failedSinceOpen }: ServerLinks): boolean {
  let unconfirmed = 0;
  for (const { isConfirmed } of failedSinceOpen.values()) {
    if (!isConfirmed) unconfirmed += 1;
    if (unconfirmed >= MIN_SERVERS_FAILED) return true;
  }
  return false;
}

/** Returns whether connections of this box hang, and peers have not reached any of these servers either. */
function isNoneReached(links: ServerLinks): boolean {
  if (links.failure !== ConnectOutcome.silent) return false;
  const failures = [...links.failedSinceOpen.values()];
  const confirmed = failures.filter(({ isConfirmed }) => isConfirmed).length;
  return confirmed >= MIN_SERVERS_FAILED && !failures.some((failure) => failure.isReachedByPeer);
}

/** Returns whether direct connections to several servers failed and none came up since. */
function reachesNone({ failedSinceOpen }: ServerLinks): boolean {
  return failedSinceOpen.size >= MIN_SERVERS_FAILED;
}
