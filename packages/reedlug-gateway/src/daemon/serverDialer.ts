/**
 * Opens connections to servers: directly, or through peers while this box does not reach a server.
 *
 * Nothing is sent on a connection before it is open, so several attempts may run at the same time; the
 * first that opens is used.
 */
import type { Socket } from 'node:net';
import { connectPlan } from '../policy/connectPlan.js';
import { connectingPeers } from '../slices/peers/connectingPeers.js';
import type { GatewayState } from '../state.js';
import type { PeerAddress } from '../types/peer.js';
import { ConnectOutcome, type ConnectionPath, type ConnectionTry } from '../types/serverLink.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';
import { openSocket, type OpenedSocket, type SocketAttempt } from './openSocket.js';
import { openTunnel } from './tunnels/openTunnel.js';
import type { ConnectFailure } from './tunnels/tunnelWire.js';

/** Time after which another peer is asked as well, in ms. */
const NEXT_PEER_MS = 120;
/**
 * Time within which a connection has to come up on any path, in ms: the deadline that the server is told
 * is that of the start.
 */
const DIAL_TIMEOUT_MS = 450;
/** Largest number of peers that are asked for one connection. */
const MAX_PEERS_ASKED = 3;
/** Peers that the server has to refuse until it counts as gone; one of them may have lost its link. */
const REFUSALS_TO_FAIL = 2;

/** A server to connect to, and the request for which it is done. */
export interface DialTarget {
  serverId: string;
  address: HostPort;
  requestId: string;
}

/** Receives an open connection and its path, or how all attempts failed. */
export type DialResult =
  | { outcome: typeof ConnectOutcome.opened; socket: Socket; path: ConnectionPath }
  | { outcome: ConnectFailure };

/** Opens connections to servers. */
export interface ServerDialer {
  /** Calls back once. */
  dial: (target: DialTarget, callback: (result: DialResult) => void) => void;
}

/** What the dialer reads and reports to. */
export interface DialerContext {
  state: GatewayState;
  nowMs: () => number;
  onTried: (attempt: ConnectionTry) => void;
}

/** Creates a dialer. */
export function createServerDialer(context: DialerContext): ServerDialer {
  /** Servers that are down for this box and to which it is trying a direct connection. */
  const trials = new Set<string>();
  return {
    dial(target, callback) {
      const plan = planDial(context, target, trials);
      startDial(context, { target, plan, trials }, callback);
    },
  };
}

/** What is tried for one connection. */
interface DialPlan {
  isDirectTried: boolean;
  /** Returns the peers to ask, in order. */
  findPeers: () => PeerAddress[];
  /** Time after which the first is asked, in ms; undefined if none is. */
  peersAfterMs: number | undefined;
}

function planDial(
  { state, nowMs }: DialerContext,
  { serverId }: DialTarget,
  trials: ReadonlySet<string>,
): DialPlan {
  const view = state.servers.get(serverId);
  // A server that has left the registry since is tried directly, in case it still serves.
  if (view === undefined) {
    return { isDirectTried: true, findPeers: () => [], peersAfterMs: undefined };
  }
  const now = nowMs();
  const findPeers = (): PeerAddress[] =>
    connectingPeers(state, view, nowMs()).slice(0, MAX_PEERS_ASKED);
  const { link } = view;
  // While a link is up its connections hardly ever need peers.
  const hasPeers = link === undefined ? state.peers.size > 0 : findPeers().length > 0;
  const plan = connectPlan({ link, links: state.serverLinks, hasPeers, nowMs: now });
  const isTrial = link !== undefined && plan.peersAfterMs !== undefined;
  return {
    isDirectTried: plan.isDirectTried && !(isTrial && trials.has(serverId)),
    findPeers: plan.peersAfterMs === undefined ? () => [] : findPeers,
    peersAfterMs: plan.peersAfterMs,
  };
}

function startDial(
  { state, onTried }: DialerContext,
  { target, plan, trials }: { target: DialTarget; plan: DialPlan; trials: Set<string> },
  callback: (result: DialResult) => void,
): void {
  const { serverId, address, requestId } = target;
  const { findPeers, peersAfterMs } = plan;
  let peers: PeerAddress[] | undefined;
  const openTunnels = new Set<SocketAttempt>();
  let isDirectOpen = plan.isDirectTried;
  let isSettled = false;
  let refusals = 0;
  let failure: ConnectFailure = ConnectOutcome.unavailable;
  let timer: NodeJS.Timeout | undefined;
  const timeout = setTimeout(() => settle({ outcome: failure }), DIAL_TIMEOUT_MS);

  const settle = (result: DialResult): void => {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    clearTimeout(timeout);
    for (const attempt of openTunnels) attempt.cancel();
    callback(result);
  };
  /** Uses the first socket that opens; later ones are closed. */
  const onEnded = (path: ConnectionPath, result: OpenedSocket): void => {
    const { outcome, tookMs } = result;
    onTried({ serverId, address, requestId, path, outcome, tookMs });
    if (result.outcome === ConnectOutcome.opened) {
      if (isSettled) return void result.socket.destroy();
      return settle({ outcome: result.outcome, socket: result.socket, path });
    }
    if (isSettled) return;
    // What is known of the server itself says more than a peer that could not try.
    if (result.outcome !== ConnectOutcome.unavailable) failure = result.outcome;
    if (path.kind === 'peer' && outcome === ConnectOutcome.refused) refusals += 1;
    if (refusals >= REFUSALS_TO_FAIL) return settle({ outcome: failure });
    askNextPeer();
    if (!isDirectOpen && openTunnels.size === 0) settle({ outcome: failure });
  };
  const askNextPeer = (): void => {
    clearTimeout(timer);
    peers ??= findPeers();
    const peer = peers.shift();
    if (peer === undefined || isSettled) return;
    openTunnels.add(askPeer(peer));
    timer = setTimeout(askNextPeer, NEXT_PEER_MS);
  };
  const askPeer = (peer: PeerAddress): SocketAttempt => {
    const attempt = openTunnel(
      { peer, serverId, requestId, boxId: state.settings.box.id, timeoutMs: CONNECT_TIMEOUT_MS },
      (result) => {
        openTunnels.delete(attempt);
        onEnded({ kind: 'peer', boxId: peer.boxId }, result);
      },
    );
    return attempt;
  };

  if (isDirectOpen) {
    trials.add(serverId);
    openSocket(address, CONNECT_TIMEOUT_MS, (result) => {
      isDirectOpen = false;
      trials.delete(serverId);
      onEnded({ kind: 'direct' }, result);
    });
  }
  if (peersAfterMs === 0) askNextPeer();
  if (!isDirectOpen && openTunnels.size === 0) {
    return void setImmediate(() => settle({ outcome: ConnectOutcome.unavailable }));
  }
  if (peersAfterMs === undefined || peersAfterMs === 0) return;
  // Sockets are read after timers: a connection that came up while the process stood still is not late.
  timer = setTimeout(() => setImmediate(askNextPeer), peersAfterMs);
}
