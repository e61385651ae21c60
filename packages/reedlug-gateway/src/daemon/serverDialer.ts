/**
 * Opens connections to servers: directly, or through peers while this box does not reach a server.
 *
 * Nothing is sent on a connection before it is open, so several attempts may run at the same time; the
 * first that opens is used.
 */
import { connectPlan, peerPatienceMs } from '../policy/connectPlan.js';
import { connectingPeers } from '../slices/peers/connectingPeers.js';
import type { GatewayState } from '../state.js';
import type { PeerAddress } from '../types/peer.js';
import { ConnectOutcome, type ConnectionPath, type ConnectionTry } from '../types/serverLink.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';
import {
  openSocket,
  type OpenedSocket,
  type ServerSocket,
  type SocketAttempt,
} from './openSocket.js';
import { openTunnel } from './tunnels/openTunnel.js';
import { startTimeLimit, type TimeLimit } from './timeLimit.js';
import type { ConnectFailure } from './tunnels/tunnelWire.js';

/**
 * Time within which a connection has to come up on any path, in ms: the deadline that the server is told
 * is that of the start.
 */
const DIAL_TIMEOUT_MS = 450;
/** Largest number of peers that try to connect at the same time for one connection. */
const MAX_PEERS_TRYING = 3;
/** Largest number of peers that are asked for one connection; one that can't help says so in a round trip. */
const MAX_PEERS_ASKED = 12;
/** Peers that the server has to refuse until it counts as gone; one of them may have lost its link. */
const REFUSALS_TO_FAIL = 2;

/** A server to connect to, and the request for which it is done. */
export interface DialTarget {
  serverId: string;
  address: HostPort;
  requestId: string;
}

/** An open connection and its path, or how all attempts failed. */
export type DialResult =
  | { outcome: typeof ConnectOutcome.opened; socket: ServerSocket; path: ConnectionPath }
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
  /** Called for a connection that came up on no path, with the attempts that ended. */
  onFailed: (target: DialTarget, attempts: readonly ConnectionTry[]) => void;
}

/** What is tried for one connection. */
interface DialPlan {
  isDirectTried: boolean;
  /** Whether the connection waits for the attempts. */
  isAwaited: boolean;
  /** Returns the best peer that was not asked for this connection yet. */
  findPeer: (asked: readonly PeerAddress[]) => PeerAddress | undefined;
  /** Time after which the first is asked, in ms; undefined if none is. */
  peersAfterMs: number | undefined;
}

/** Creates a dialer. */
export function createServerDialer(context: DialerContext): ServerDialer {
  /** Servers to which a direct connection is being tried. */
  const trials = new Set<string>();

  const startDirect = (
    { serverId, address }: DialTarget,
    report: (result: OpenedSocket) => void,
  ): void => {
    trials.add(serverId);
    openSocket(address, CONNECT_TIMEOUT_MS, (result) => {
      trials.delete(serverId);
      report(result);
    });
  };

  return {
    dial(target, callback) {
      const plan = planDial(context, target, trials);
      raceAttempts(context, { target, plan, startDirect }, callback);
    },
  };
}

function planDial(
  { state, nowMs }: DialerContext,
  { serverId }: DialTarget,
  trials: ReadonlySet<string>,
): DialPlan {
  const view = state.servers.get(serverId);
  // A server that has left the registry since is tried directly, in case it still serves.
  if (view === undefined) {
    const shared = { isDirectTried: true, isAwaited: true };
    return { ...shared, findPeer: () => undefined, peersAfterMs: undefined };
  }
  const findPeer = (asked: readonly PeerAddress[]): PeerAddress | undefined =>
    connectingPeers(state, view, { nowMs: nowMs(), asked })[0];
  const { link } = view;
  // While a link is up its connections hardly ever need peers.
  const hasPeers = link === undefined ? state.peers.size > 0 : findPeer([]) !== undefined;
  const plan = connectPlan({ link, links: state.serverLinks, hasPeers, nowMs: nowMs() });
  const isTrial = link !== undefined && (plan.peersAfterMs !== undefined || !plan.isAwaited);
  return {
    isDirectTried: plan.isDirectTried && !(isTrial && trials.has(serverId)),
    isAwaited: plan.isAwaited,
    findPeer: plan.peersAfterMs === undefined ? () => undefined : findPeer,
    peersAfterMs: plan.peersAfterMs,
  };
}

/** An attempt through a peer in progress. */
interface PeerAttempt {
  attempt: SocketAttempt;
  startedAtMs: number;
}

/** Runs the attempts of a plan; a direct one goes on after a peer has connected, to learn whether the link is up. */
function raceAttempts(
  { state, nowMs, onTried, onFailed }: DialerContext,
  params: {
    target: DialTarget;
    plan: DialPlan;
    startDirect: (target: DialTarget, report: (result: OpenedSocket) => void) => void;
  },
  callback: (result: DialResult) => void,
): void {
  const { target, plan, startDirect } = params;
  const { findPeer, peersAfterMs } = plan;
  const tunnels = new Map<string, PeerAttempt>();
  const patienceMs = peerPatienceMs(state.serverLinks);
  const asked: PeerAddress[] = [];
  const ended: ConnectionTry[] = [];
  let isDirectRunning = plan.isDirectTried;
  let isSettled = false;
  let refusalsByPeers = 0;
  let failure: ConnectFailure = ConnectOutcome.unavailable;
  let nextPeerLimit: TimeLimit | undefined;
  const limit = startTimeLimit(DIAL_TIMEOUT_MS, () => settle({ outcome: failure }));

  const askNextPeerAfter = (delayMs: number): void => {
    nextPeerLimit = startTimeLimit(delayMs, askNextPeer);
  };

  const settle = (result: DialResult): void => {
    if (isSettled) return;
    isSettled = true;
    nextPeerLimit?.cancel();
    limit.cancel();
    // Attempts that nobody waits for go on, to learn whether a path is up.
    if (plan.isAwaited) cancelTunnels();
    if (result.outcome !== ConnectOutcome.opened) onFailed(target, ended);
    callback(result);
  };

  const cancelTunnels = (): void => {
    for (const [boxId, { attempt, startedAtMs }] of tunnels) {
      attempt.cancel();
      const tookMs = nowMs() - startedAtMs;
      if (tookMs < patienceMs) continue;
      // One that others overtook is asked after them from now on.
      const path = { kind: 'peer', boxId } as const;
      onTried({ ...target, path, outcome: ConnectOutcome.unavailable, tookMs, peerReason: 'late' });
    }
  };

  const onAttemptEnded = (path: ConnectionPath, result: OpenedSocket): void => {
    const { outcome, tookMs } = result;
    const peerReason = 'peerReason' in result ? result.peerReason : undefined;
    const attempt = { ...target, path, outcome, tookMs, peerReason };
    ended.push(attempt);
    onTried(attempt);
    if (result.outcome === ConnectOutcome.opened) {
      if (isSettled) return void result.socket.destroy();
      return settle({ outcome: result.outcome, socket: result.socket, path });
    }
    // What is known of the server itself says more than a peer that could not try.
    if (result.outcome !== ConnectOutcome.unavailable) failure = result.outcome;
    if (path.kind === 'peer' && outcome === ConnectOutcome.refused) refusalsByPeers += 1;
    if (refusalsByPeers >= REFUSALS_TO_FAIL) return settle({ outcome: failure });
    askNextPeer();
    if (!isDirectRunning && tunnels.size === 0) settle({ outcome: failure });
  };

  const askNextPeer = (): void => {
    nextPeerLimit?.cancel();
    if (isSettled || tunnels.size >= MAX_PEERS_TRYING || asked.length >= MAX_PEERS_ASKED) return;
    const peer = findPeer(asked);
    if (peer === undefined) return;
    asked.push(peer);
    const { boxId } = peer;
    const attempt = askPeer(state, { peer, target }, (result) => {
      tunnels.delete(boxId);
      onAttemptEnded({ kind: 'peer', boxId }, result);
    });
    tunnels.set(boxId, { attempt, startedAtMs: nowMs() });
    askNextPeerAfter(patienceMs);
  };

  if (plan.isDirectTried) {
    startDirect(target, (result) => {
      isDirectRunning = false;
      onAttemptEnded({ kind: 'direct' }, result);
    });
  }
  if (peersAfterMs === 0) askNextPeer();
  else if (peersAfterMs !== undefined) askNextPeerAfter(peersAfterMs);
  // The connection pool does not expect an answer before `dial` returns.
  const isAwaited = plan.isAwaited && (isDirectRunning || tunnels.size > 0);
  if (!isAwaited) setImmediate(() => settle({ outcome: failure }));
}

function askPeer(
  { settings }: GatewayState,
  { peer, target }: { peer: PeerAddress; target: DialTarget },
  report: (result: OpenedSocket) => void,
): SocketAttempt {
  const { serverId, requestId } = target;
  const { id: boxId, ip: boxHost } = settings.box;
  const timeoutMs = CONNECT_TIMEOUT_MS;
  return openTunnel({ peer, serverId, requestId, boxId, boxHost, timeoutMs }, report);
}
