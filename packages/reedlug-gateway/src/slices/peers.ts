/** News among boxes: load, limits, usage, versions. */
import type { EventOf } from '../types/event.js';
import type { PeerMessage, ServerLoad } from '../types/peer.js';
import type { HostPort } from '../types/server.js';
import { log, type GatewayState, type PeerView, type Step } from '../state.js';
import { agreeOnClock } from './clock.js';
import { dutyFence } from './duties.js';
import { PEER_GONE_AFTER_MS, takePeerUnits } from './quotas.js';
import { mergeUsage, ownUsage } from './usage.js';

/** Pause between messages, in ms: short against an engine's backlog, long against the price of a wake-up. */
const NEWS_EVERY_MS = 200;
/** How long a peer's newer configuration may be known before it is asked for, in ms: the store's feed usually brings it sooner. */
const BEHIND_MS = 300;
/** Pause between questions to one peer for newer versions, in ms. */
const ASK_PEER_EVERY_MS = 400;

/** Sends this box's news to all peers when it is time. */
export function peersTick(state: GatewayState, step: Step): void {
  if (step.nowMs - state.newsSentAtMs < NEWS_EVERY_MS) return;
  state.newsSentAtMs = step.nowMs;
  forgetGonePeers(state, step);
  if (state.peers.size === 0) return;
  const to = [...state.peers.values()].map((peer) => peer.address);
  step.effects.push({ type: 'sendPeers', message: ownNews(state, step), to });
}

function ownNews(state: GatewayState, step: Step): PeerMessage {
  const { box, listen } = state.settings;
  state.peerSequence += 1;
  return {
    boxId: box.id,
    incarnation: state.incarnation,
    sequence: state.peerSequence,
    zone: box.zone,
    host: box.ip,
    port: listen.peersPort,
    configurationVersion: state.active?.configuration.version ?? 0,
    serversRevision: state.serversRevision,
    storeContactAgeMs: ageOf(state.storeContactAtMs, step.nowMs),
    holdsLease: dutyFence(state, step.nowMs) !== undefined,
    leaving: state.stoppingSinceMs !== undefined,
    loads: ownLoads(state),
    admitted: Object.fromEntries([...state.quotas].map(([name, quota]) => [name, quota.admitted])),
    usage: ownUsage(state, step),
    workTokens: state.workTokens,
    clockOffsetMs: state.agreedClockOffsetMs,
  };
}

function ownLoads(state: GatewayState): Record<string, ServerLoad> {
  const loads: Record<string, ServerLoad> = {};
  for (const view of state.servers.values()) {
    const { running, prefillTokens } = view;
    if (running > 0) loads[view.entry.id] = { running, prefillTokens };
  }
  return loads;
}

/** Takes a peer's news. */
export function onPeerMessage(
  state: GatewayState,
  step: Step,
  event: EventOf<'peerMessage'>,
): void {
  const { message } = event;
  if (message.boxId === state.settings.box.id) return;
  const address = { host: message.host, port: message.port };
  const peer = peerOf(state, step, message.boxId, address);
  const before = peer.message;
  if (before !== undefined && isOlder(message, before)) return;
  peer.address = address;
  peer.heardAtMs = step.nowMs;
  peer.message = message;
  noteStoreSeen(state, step, message);
  takeAdmitted(state, step, message, before);
  mergeUsage(state, `${message.boxId}/${message.incarnation}`, message.usage);
  if (message.clockOffsetMs !== undefined) agreeOnClock(state, step, message.clockOffsetMs);
  askForNewer(state, step, peer, message);
}

function isOlder(message: PeerMessage, known: PeerMessage): boolean {
  if (message.incarnation !== known.incarnation) return message.incarnation < known.incarnation;
  return message.sequence <= known.sequence;
}

function peerOf(state: GatewayState, step: Step, boxId: string, address: HostPort): PeerView {
  const known = state.peers.get(boxId);
  if (known !== undefined) return known;
  const peer: PeerView = {
    boxId,
    address,
    heardAtMs: step.nowMs,
    message: undefined,
    workTokensSeen: undefined,
    askedAtMs: Number.NEGATIVE_INFINITY,
  };
  state.peers.set(boxId, peer);
  log(step, 'peerAdded', { peer: boxId });
  return peer;
}

function ageOf(atMs: number | undefined, nowMs: number): number | undefined {
  return atMs === undefined ? undefined : Math.round(nowMs - atMs);
}

function noteStoreSeen(state: GatewayState, step: Step, message: PeerMessage): void {
  if (message.storeContactAgeMs === undefined) return;
  const seenAtMs = step.nowMs - message.storeContactAgeMs;
  state.storeSeenByPeerAtMs = Math.max(state.storeSeenByPeerAtMs, seenAtMs);
}

/** Totals are compared with the last ones; a peer heard for the first time may have admitted long ago. */
function takeAdmitted(
  state: GatewayState,
  step: Step,
  message: PeerMessage,
  before: PeerMessage | undefined,
): void {
  if (before === undefined) return;
  const sameLife = before.incarnation === message.incarnation;
  for (const [workspace, admitted] of Object.entries(message.admitted)) {
    const units = admitted - (sameLife ? (before.admitted[workspace] ?? 0) : 0);
    if (units > 0) takePeerUnits(state, workspace, units, step.nowMs);
  }
}

/** Asks a peer for what the store does not give this box, or not in time. */
function askForNewer(state: GatewayState, step: Step, peer: PeerView, message: PeerMessage): void {
  const ownVersion = state.active?.configuration.version ?? 0;
  const isBehind = message.configurationVersion > ownVersion;
  if (!isBehind) state.behindSinceMs = undefined;
  else state.behindSinceMs ??= step.nowMs;
  const isLate = isBehind && step.nowMs - (state.behindSinceMs ?? step.nowMs) >= BEHIND_MS;
  const lacksServers = !state.storeReachable && message.serversRevision > state.serversRevision;
  if (!isLate && !lacksServers) return;
  if (step.nowMs - peer.askedAtMs < ASK_PEER_EVERY_MS) return;
  peer.askedAtMs = step.nowMs;
  step.effects.push({ type: 'askPeer', peer: peer.address });
}

/** Takes addresses from the settings or the store. */
export function onPeersListed(
  state: GatewayState,
  step: Step,
  event: EventOf<'peersListed'>,
): void {
  for (const { boxId, host, port } of event.peers) {
    const isOwn = boxId === state.settings.box.id || host === state.settings.box.ip;
    if (!isOwn) peerOf(state, step, boxId, { host, port });
  }
}

function forgetGonePeers(state: GatewayState, step: Step): void {
  for (const peer of state.peers.values()) {
    if (step.nowMs - peer.heardAtMs < PEER_GONE_AFTER_MS) continue;
    state.peers.delete(peer.boxId);
    log(step, 'peerGone', { peer: peer.boxId });
  }
}
