/** Handles gossip from peers: totals, versions, addresses. */
import type { EventOf } from '../../types/event.js';
import { GossipScope, type PeerAddress, type PeerMessage } from '../../types/peer.js';
import { createReceivedTotals, log, type GatewayState, type Step } from '../../state.js';
import type { PeerView } from '../../types/views.js';
import { adoptClockOffset } from '../store/clock.js';
import {
  hasReadRegistry,
  isFreshPeer,
  isCounted,
  PEER_GONE_AFTER_MS,
  usesHubs,
  type PeerWithMessage,
} from './fleet.js';
import { recordCutOffGossip } from './cutOffBoxes.js';
import { recordLifeEnd } from './lifeEnds.js';
import { recordBoxesListed } from '../limits/limitShare.js';
import { mergeRolloutGossip } from '../rollouts/rollouts.js';
import { nextRegistryUpdate } from './registryGossip.js';
import { mergeSpeedGossip } from '../serverSpeeds/speedSums.js';
import { mergeBrittleGossip } from '../statements/brittleServices.js';
import { recordIfUninformed } from '../statements/statementGossip.js';
import { applyHubChanges } from '../servers/servers.js';
import { mayShowBackup, onPeerEra } from '../store/storeEra.js';
import { recordUsageReceived } from '../usage/lateCounts.js';
import { mergeDecisions, mergeUsage } from '../usage/usage.js';

/** Time for which a peer's newer configuration may be known before it is requested, in ms: the store's feed usually brings it sooner. */
const CONFIGURATION_GRACE_MS = 200;
/** The same for a newer registry, in ms: a box reads it again 0.2 s after its last changes. */
const REGISTRY_GRACE_MS = 250;
/** Interval between requests to one peer for newer versions, in ms. */
const STATE_REQUEST_INTERVAL_MS = 400;

/** Handles a peer's gossip message. */
export function onPeerMessage(
  state: GatewayState,
  step: Step,
  event: EventOf<'peerMessage'>,
): void {
  const { message } = event;
  if (message.boxId === state.settings.box.id) return;
  const { boxId, host, port, zone, processorCores } = message;
  const peer = getOrCreatePeer(state, step, { boxId, host, port, zone, processorCores });
  const before = peer.message;
  if (before !== undefined && isOutdated(message, before, isFreshPeer(peer, step.nowMs))) return;
  recordIfUninformed(state, step, peer, message.incarnation);
  const isNextLife = before !== undefined && before.incarnation !== message.incarnation;
  if (isNextLife) recordLifeEnd(state, step.nowMs);
  peer.lastReceivedAtMs = step.nowMs;
  peer.isSuspected = false;
  peer.message = message;
  recordCutOffGossip(state, step, { message, before });
  peer.requestedUnits.clear();
  recordStoreContact(state, step, message);
  if (message.storeEra !== undefined) {
    onPeerEra(state, step, { era: message.storeEra, source: boxId });
  }
  addReceivedTotals(state, step, peer as PeerWithMessage, before);
  mergeUsage(state, `${message.boxId}/${message.incarnation}`, message.usage);
  // In a fleet with hubs, counts come in messages of their own.
  if (message.scope === GossipScope.box && !usesHubs(state)) {
    recordUsageReceived(state, boxId, step.nowMs);
  }
  if (message.clockOffsetMs !== undefined) adoptClockOffset(state, step, message.clockOffsetMs);
  if (message.decisions !== undefined) mergeDecisions(state, step, message.decisions);
  if (message.rollouts !== undefined) mergeRolloutGossip(state, step, boxId, message.rollouts);
  if (message.brittle !== undefined) {
    mergeBrittleGossip(state, step, { boxId, brittle: message.brittle });
  }
  mergeSpeedGossip(state, step, message);
  if (peer.boxId === state.hubId) followHub(state, step, peer as PeerWithMessage);
  recordNewerState(state, step, peer, message);
}

/** Follows the registry through the hub's changes. */
function followHub(state: GatewayState, step: Step, hub: PeerWithMessage): void {
  const { message } = hub;
  const { incarnation, registry, serversRevision, serversRevisionMax = serversRevision } = message;
  // A box that does not act as a hub yet sends none of its changes.
  if (registry === undefined) return;
  const isUpToDate = state.serversKnown && state.serversReadTo >= serversRevisionMax;
  const next = nextRegistryUpdate(
    hub,
    { incarnation, registry },
    {
      isUpToDate,
      readsStore: hasReadRegistry(state, step.nowMs),
    },
  );
  switch (next.kind) {
    case 'apply':
      return applyHubChanges(state, step, {
        changes: next.changes,
        revision: serversRevision,
        revisionMax: serversRevisionMax,
      });
    case 'readStore':
      return;
    case 'askWhole':
      return requestState(step, hub, true);
  }
}

/** Merges the usage counts that a box sends to the holder of the lease. */
export function onPeerUsage(state: GatewayState, step: Step, event: EventOf<'peerUsage'>): void {
  const { boxId, incarnation, usage } = event.message;
  recordUsageReceived(state, boxId, step.nowMs);
  mergeUsage(state, `${boxId}/${incarnation}`, usage);
}

/**
 * Returns whether a message was overtaken by a later one. Incarnations are numbered by the wall
 * clock, which may be set back between two of them: once the known incarnation is silent, a
 * lower number belongs to the next one.
 */
function isOutdated(message: PeerMessage, known: PeerMessage, isKnownFresh: boolean): boolean {
  if (message.incarnation === known.incarnation) return message.sequence <= known.sequence;
  return isKnownFresh && message.incarnation < known.incarnation;
}

function getOrCreatePeer(state: GatewayState, step: Step, address: PeerAddress): PeerView {
  const known = state.peers.get(address.boxId);
  if (known !== undefined) {
    known.address = address;
    return known;
  }
  // A seed is stored under its address until its id is known.
  state.peers.delete(address.host);
  const peer: PeerView = {
    boxId: address.boxId,
    address,
    listed: false,
    lastReceivedAtMs: step.nowMs,
    message: undefined,
    contribution: createReceivedTotals(),
    requestedUnits: new Map(),
    registryNumber: undefined,
    registryIncarnation: undefined,
    ahead: undefined,
    behindConfiguration: undefined,
    gossipSentAtMs: Number.NEGATIVE_INFINITY,
    connectFailedAtMs: Number.NEGATIVE_INFINITY,
    connectedAtMs: Number.NEGATIVE_INFINITY,
    isSuspected: false,
    stateRequestedAtMs: Number.NEGATIVE_INFINITY,
  };
  state.peers.set(address.boxId, peer);
  log(step, 'peerAdded', { peer: address.boxId });
  return peer;
}

function recordStoreContact(state: GatewayState, step: Step, message: PeerMessage): void {
  if (message.storeContactAgeMs === undefined) return;
  const contactAtMs = step.nowMs - message.storeContactAgeMs;
  state.storeContactByPeerAtMs = Math.max(state.storeContactByPeerAtMs, contactAtMs);
}

/**
 * Adds the growth of a peer's totals. The first message of a peer or with another scope, and a
 * hub's first one of a new incarnation, are skipped, since there is nothing to compare them
 * with: their totals may date from long ago.
 */
function addReceivedTotals(
  state: GatewayState,
  step: Step,
  peer: PeerWithMessage,
  before: PeerMessage | undefined,
): void {
  const { message } = peer;
  if (before?.scope !== message.scope || !isCounted(state, peer, step.nowMs)) return;
  const isSameIncarnation = before.incarnation === message.incarnation;
  if (!isSameIncarnation && message.scope !== GossipScope.box) return;
  const isFromBox = message.scope === GossipScope.box;
  const totals = isFromBox ? state.totalsFromBoxes : state.totalsFromHubs;
  for (const [workspace, admitted] of Object.entries(message.admitted)) {
    const units = admitted - (isSameIncarnation ? (before.admitted[workspace] ?? 0) : 0);
    if (units <= 0) continue;
    totals.admitted.set(workspace, (totals.admitted.get(workspace) ?? 0) + units);
    peer.contribution.admitted.set(
      workspace,
      (peer.contribution.admitted.get(workspace) ?? 0) + units,
    );
  }
  const tokens = message.workTokens - (isSameIncarnation ? before.workTokens : 0);
  if (tokens <= 0) return;
  totals.workTokens += tokens;
  peer.contribution.workTokens += tokens;
}

/** Records whether a peer has versions that this box lacks, and requests them from its hub at once. */
function recordNewerState(
  state: GatewayState,
  step: Step,
  peer: PeerView,
  { configurationVersion, serversRevision }: PeerMessage,
): void {
  const announced = { configurationVersion, serversRevision };
  if (lacksConfiguration(state, announced)) {
    peer.behindConfiguration ??= { sinceMs: step.nowMs, hasFailed: false };
  } else {
    peer.behindConfiguration = undefined;
  }
  if (peer.ahead !== undefined && !lacksAny(state, peer.ahead)) peer.ahead = undefined;
  if (peer.ahead === undefined && lacksAny(state, announced)) {
    peer.ahead = { sinceMs: step.nowMs, ...announced };
  }
  requestNewerState(state, step, peer);
}

/** Requests what peers announced a while ago and the store has not sent to this box. */
export function newerStateTick(state: GatewayState, step: Step): void {
  for (const peer of state.peers.values()) {
    if (isFreshPeer(peer, step.nowMs)) requestNewerState(state, step, peer);
  }
}

function requestNewerState(state: GatewayState, step: Step, peer: PeerView): void {
  const { ahead } = peer;
  if (ahead === undefined || !lacksAny(state, ahead)) return;
  const aheadMs = step.nowMs - ahead.sinceMs;
  const mayWait = peer.boxId !== state.hubId && state.storeReachable;
  const graceMs = lacksConfiguration(state, ahead) ? configurationGraceMs(peer) : REGISTRY_GRACE_MS;
  if (mayWait && aheadMs < graceMs) return;
  requestState(step, peer, lacksServers(state, peer.message ?? ahead));
}

/** Returns how long the store's answer with a peer's version is waited for, in ms; not at all if the peer itself missed it. */
function configurationGraceMs({ message }: PeerView): number {
  return message?.isConfigurationLate === true ? 0 : CONFIGURATION_GRACE_MS;
}

type Versions = Pick<PeerMessage, 'configurationVersion' | 'serversRevision'>;

function lacksConfiguration(state: GatewayState, { configurationVersion }: Versions): boolean {
  return configurationVersion > (state.active?.configuration.version ?? 0);
}

function lacksServers(state: GatewayState, { serversRevision }: Versions): boolean {
  return serversRevision > state.serversRevision;
}

function lacksAny(state: GatewayState, versions: Versions): boolean {
  return lacksConfiguration(state, versions) || lacksServers(state, versions);
}

function requestState(step: Step, peer: PeerView, withServers: boolean): void {
  if (step.nowMs - peer.stateRequestedAtMs < STATE_REQUEST_INTERVAL_MS) return;
  peer.stateRequestedAtMs = step.nowMs;
  const configurationVersion = peer.message?.configurationVersion ?? 0;
  step.effects.push({ type: 'askPeer', peer: peer.address, withServers, configurationVersion });
}

/** Handles addresses from the settings or the store. */
export function onPeersListed(
  state: GatewayState,
  step: Step,
  event: EventOf<'peersListed'>,
): void {
  // A box that the backup lacks registers itself again: until then its share of the limits is still its own.
  const isComplete = event.whole === true && !mayShowBackup(state, step.nowMs);
  if (isComplete) for (const peer of state.peers.values()) peer.listed = false;
  for (const { boxId, address } of event.changes) {
    const known = state.peers.get(boxId);
    if (address === undefined) {
      if (known !== undefined) known.listed = false;
      continue;
    }
    const isOwn = boxId === state.settings.box.id || address.host === state.settings.box.ip;
    if (isOwn) continue;
    const isSeedOfKnown = boxId === address.host && knowsHost(state, address.host);
    if (!isSeedOfKnown) getOrCreatePeer(state, step, address).listed = boxId !== address.host;
  }
  recordBoxesListed(state, step, event);
}

function knowsHost(state: GatewayState, host: string): boolean {
  return [...state.peers.values()].some((peer) => peer.address.host === host);
}

/** Removes peers that have been silent for long; a listed box stays known by its address, since it may be partitioned. */
export function forgetGonePeers(state: GatewayState, step: Step): void {
  for (const peer of state.peers.values()) {
    if (step.nowMs - peer.lastReceivedAtMs < PEER_GONE_AFTER_MS) continue;
    if (peer.message !== undefined) {
      log(step, 'peerGone', { peer: peer.boxId });
      recordLifeEnd(state, step.nowMs);
    }
    peer.message = undefined;
    if (!peer.listed) forget(state, peer);
  }
}

function forget(state: GatewayState, peer: PeerView): void {
  state.peers.delete(peer.boxId);
  state.usageReceivedAtMs.delete(peer.boxId);
  // Its contribution is no longer subtracted from the sum of the others that is sent to it, so it must not be in that sum.
  for (const [workspace, units] of peer.contribution.admitted) {
    const { admitted } = state.totalsFromBoxes;
    admitted.set(workspace, (admitted.get(workspace) ?? 0) - units);
  }
  state.totalsFromBoxes.workTokens -= peer.contribution.workTokens;
}
