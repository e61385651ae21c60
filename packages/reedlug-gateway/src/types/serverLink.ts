/** Connections of a box to servers: how they are opened and how that ends. */
import type { HostPort } from './server.js';

/** How a connection to a server is opened: by this box itself, or through another box. */
export type ConnectionPath = { kind: 'direct' } | { kind: 'peer'; boxId: string };

/** How an attempt to open a connection ended. */
export const ConnectOutcome = {
  opened: 'opened',
  /** The server's host refused or reset the connection. */
  refused: 'refused',
  /** There was no response in time. */
  silent: 'silent',
  /** The other box did not try: it can't reach the server either, or serves too many others. */
  unavailable: 'unavailable',
} as const;
export type ConnectOutcome = (typeof ConnectOutcome)[keyof typeof ConnectOutcome];

/** Whether a box's own links to servers are up. */
export const LinkState = {
  up: 'up',
  /** Connections to no server come up. */
  down: 'down',
  /** There is no other server to which a connection could show it. */
  unknown: 'unknown',
} as const;
export type LinkState = (typeof LinkState)[keyof typeof LinkState];

/** Reason of a request that was not sent because its server refused the connection. */
export const CONNECTION_REFUSED_REASON = 'connectionRefused';

/** A finished attempt to open a connection to a server. */
export interface ConnectionTry {
  serverId: string;
  address: HostPort;
  path: ConnectionPath;
  outcome: ConnectOutcome;
  /** Time from the start of the attempt to its end, in ms. */
  tookMs: number;
  /** Request for which the connection is opened; empty for a check. */
  requestId: string;
  /** Why a peer did not try, as it said; undefined otherwise, and for older boxes. */
  peerReason?: string | undefined;
}

/** What this box knows of its link to a server since a direct connection last failed. */
export interface ServerLink {
  /** Time of the first direct connection that failed since the last one that came up. */
  downSinceMs: number;
  /** How the latest direct connection failed. */
  failure: ConnectOutcome;
  /** Time at which a direct connection was last tried. */
  triedAtMs: number;
  /** Time at which a peer last opened a connection to the server. */
  openedByPeerAtMs: number;
  /** Peers that lately failed to, though their own links are up. */
  peerFailures: readonly PeerFailure[];
  /** Time at which there were last enough of them to take the server for down. */
  failedByPeersAtMs: number;
}

/** A peer whose own links are up and that did not reach a server. */
export interface PeerFailure {
  boxId: string;
  atMs: number;
}

/** Moving averages of the time in which connections come up, and of its deviation. */
export interface ConnectTimes {
  connectMs: number;
  deviationMs: number;
}

/** What this box knows of its links to all servers; the times are those of direct connections. */
export interface ServerLinks extends ConnectTimes {
  /**
   * Servers to which direct connections failed since one to any server came up, and whether peers did
   * not reach the server either, or did.
   */
  failedSinceOpen: Map<string, { isConfirmed: boolean; isReachedByPeer: boolean }>;
  /** Time at which a direct connection last came up, and how the last failed one did. */
  openedAtMs: number;
  failure: ConnectOutcome | undefined;
  /** Time at which this box last lost its links, after a connection had come up. */
  cutOffAtMs: number;
  /** Times of the last check of the links, and of the last news that other boxes have lost theirs. */
  checkedAtMs: number;
  doubtedAtMs: number;
  /** Times of connections through peers; undefined before the first. */
  throughPeers: ConnectTimes | undefined;
}

/** Returns the links of a box that has opened no connection. */
export function createServerLinks(): ServerLinks {
  return {
    failedSinceOpen: new Map(),
    openedAtMs: Number.NEGATIVE_INFINITY,
    failure: undefined,
    cutOffAtMs: Number.NEGATIVE_INFINITY,
    checkedAtMs: Number.NEGATIVE_INFINITY,
    doubtedAtMs: Number.NEGATIVE_INFINITY,
    throughPeers: undefined,
    connectMs: 0,
    deviationMs: 0,
  };
}
