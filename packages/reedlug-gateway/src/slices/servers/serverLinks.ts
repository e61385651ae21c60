/** What attempts to open connections show of this box's links to the servers. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import {
  ConnectOutcome,
  type ConnectionPath,
  type ConnectionTry,
  type ConnectTimes,
  type PeerFailure,
  type ServerLink,
  type ServerLinks,
} from '../../types/serverLink.js';
import { isCutOff } from '../../policy/connectPlan.js';
import { connectingPeers, mayPeerConnect } from '../peers/connectingPeers.js';
import { announceCutOff } from '../peers/cutOffBoxes.js';
import { requestLinkCheck } from './linkChecks.js';
import type { ServerView } from '../../types/views.js';

/** Weight of one connection in the moving average of the time to connect, and in its deviation. */
const CONNECT_TIME_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
/** Peers that must not reach a server until it counts as down, and time for which their word counts, in ms. */
const MIN_PEER_FAILURES = 2;
const PEER_FAILURE_MS = 1000;

/** Records how an attempt to open a connection to a server ended. */
export function onConnectionTried(
  state: GatewayState,
  step: Step,
  event: EventOf<'connectionTried'>,
): void {
  const view = viewOf(state, event.attempt);
  if (view === undefined) return;
  const { path } = event.attempt;
  const wasCutOff = isCutOff(state.serverLinks);
  switch (path.kind) {
    case 'direct':
      recordDirect(state, step, view, event.attempt);
      break;
    case 'peer':
      recordByPeer(state, step, { view, peerId: path.boxId, attempt: event.attempt });
  }
  const isCut = isCutOff(state.serverLinks);
  if (isCut === wasCutOff) return;
  if (isCut) recordCutOff(state.serverLinks, step.nowMs);
  log(step, isCut ? 'linksLost' : 'linksRegained', { server: view.entry.id });
  announceCutOff(state);
}

/** Returns whether an idle connection to a server may carry a request. */
export function isConnectionUsable(
  state: GatewayState,
  { serverId, path }: { serverId: string; path: ConnectionPath },
  nowMs: number,
): boolean {
  const link = state.servers.get(serverId)?.link;
  const { serverLinks: links } = state;
  switch (path.kind) {
    case 'direct': {
      // Where new connections are refused, open ones may live on; where they hang, open ones hang too.
      const failure = link?.failure ?? (isCutOff(links) ? links.failure : undefined);
      return failure !== ConnectOutcome.silent;
    }
    case 'peer': {
      const peer = state.peers.get(path.boxId);
      // A box that stops waits for its connections, so it gets no further requests on them.
      if (link === undefined || peer === undefined || peer.message?.leaving === true) return false;
      return mayPeerConnect(state, peer, nowMs);
    }
  }
}

function recordByPeer(
  state: GatewayState,
  step: Step,
  { view, peerId, attempt }: { view: ServerView; peerId: string; attempt: ConnectionTry },
): void {
  const { outcome, tookMs, requestId } = attempt;
  const { link } = view;
  const peer = state.peers.get(peerId);
  switch (outcome) {
    case ConnectOutcome.unavailable: {
      if (peer !== undefined) peer.connectFailedAtMs = step.nowMs;
      return;
    }
    case ConnectOutcome.refused:
    case ConnectOutcome.silent:
      if (outcome === ConnectOutcome.refused) view.endSuspectedAtMs = step.nowMs;
      return recordPeerFailure(state, view, { boxId: peerId, atMs: step.nowMs });
    case ConnectOutcome.opened: {
      const fields = { server: view.entry.id, peer: peerId, tookMs: Math.round(tookMs) };
      log(step, 'serverReachedByPeer', { ...fields, request: requestId });
      if (peer !== undefined) peer.connectedAtMs = step.nowMs;
      recordTimeThroughPeer(state.serverLinks, tookMs);
      confirmFailure(state, view, false);
      if (link === undefined) return;
      link.openedByPeerAtMs = step.nowMs;
      // The failures were those of this box's link.
      view.failureScore = 0;
    }
  }
}

/** Records the start of a partition; what peers say of servers may end and resume it before a connection comes up. */
function recordCutOff(links: ServerLinks, nowMs: number): void {
  if (links.openedAtMs >= links.cutOffAtMs) links.cutOffAtMs = nowMs;
}

/** Takes a server for down once enough peers whose own links are up do not reach it. */
function recordPeerFailure(state: GatewayState, view: ServerView, failure: PeerFailure): void {
  const { link } = view;
  if (link === undefined) return;
  const { boxId, atMs } = failure;
  const others = link.peerFailures.filter(
    (other) => other.boxId !== boxId && atMs - other.atMs < PEER_FAILURE_MS,
  );
  link.peerFailures = [...others, failure];
  const peers = connectingPeers(state, view, { nowMs: atMs }).length;
  if (link.peerFailures.length < Math.min(MIN_PEER_FAILURES, peers)) return;
  link.failedByPeersAtMs = atMs;
  confirmFailure(state, view, true);
}

/** Returns the server to which a connection was opened; undefined if another one has its address. */
function viewOf(state: GatewayState, { serverId, address }: ConnectionTry): ServerView | undefined {
  const view = state.servers.get(serverId);
  const known = view?.entry.address;
  return known?.host === address.host && known.port === address.port ? view : undefined;
}

function recordDirect(
  state: GatewayState,
  step: Step,
  view: ServerView,
  { outcome, tookMs, requestId }: ConnectionTry,
): void {
  const { serverLinks: links } = state;
  const { id: server } = view.entry;
  if (outcome === ConnectOutcome.opened) {
    links.openedAtMs = step.nowMs;
    links.failedSinceOpen.clear();
    recordConnectTime(links, tookMs);
    if (view.link === undefined) return;
    const downMs = Math.round(step.nowMs - view.link.downSinceMs);
    log(step, 'serverLinkUp', { server, downMs, tookMs: Math.round(tookMs), request: requestId });
    view.link = undefined;
    return;
  }
  links.failure = outcome;
  // A check is itself an attempt without a request.
  if (requestId !== '' && links.openedAtMs < step.nowMs - tookMs) requestLinkCheck(state, step);
  const lastOpenedMs = Math.round(step.nowMs - links.openedAtMs);
  if (view.link === undefined) {
    const fields = { server, outcome, tookMs: Math.round(tookMs), lastOpenedMs };
    log(step, 'serverLinkDown', { ...fields, request: requestId });
  }
  view.link = { ...(view.link ?? createLink(step.nowMs)), failure: outcome, triedAtMs: step.nowMs };
  if (!links.failedSinceOpen.has(server)) {
    links.failedSinceOpen.set(server, { isConfirmed: false, isReachedByPeer: false });
  }
}

function createLink(nowMs: number): ServerLink {
  return {
    downSinceMs: nowMs,
    failure: ConnectOutcome.silent,
    triedAtMs: nowMs,
    openedByPeerAtMs: Number.NEGATIVE_INFINITY,
    peerFailures: [],
    failedByPeersAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** As in RFC 6298, the first time stands for the average, and half of it for its deviation. */
function recordTimeThroughPeer(links: ServerLinks, tookMs: number): void {
  if (links.throughPeers === undefined) {
    links.throughPeers = { connectMs: tookMs, deviationMs: tookMs / 2 };
  } else recordConnectTime(links.throughPeers, tookMs);
}

function recordConnectTime(times: ConnectTimes, tookMs: number): void {
  const differenceMs = tookMs - times.connectMs;
  times.connectMs += differenceMs * CONNECT_TIME_WEIGHT;
  times.deviationMs += (Math.abs(differenceMs) - times.deviationMs) * DEVIATION_WEIGHT;
}

/** Records whether peers reach a server to which this box's direct connections fail. */
function confirmFailure(
  { serverLinks }: GatewayState,
  { entry }: ServerView,
  isConfirmed: boolean,
): void {
  const failure = serverLinks.failedSinceOpen.get(entry.id);
  if (failure === undefined) return;
  failure.isConfirmed = isConfirmed;
  failure.isReachedByPeer = !isConfirmed;
}

/** Forgets the links to servers that are gone. */
export function serverLinksTick({ serverLinks, servers }: GatewayState): void {
  for (const id of serverLinks.failedSinceOpen.keys()) {
    if (!servers.has(id)) serverLinks.failedSinceOpen.delete(id);
  }
}
