/** Heartbeats to peers, their membership, and the choice of peers that receive a message. */
import {
  liveInZone,
  membershipTick,
  MemberSource,
  MemberState,
  recordMemberStatement,
} from 'reedlug-coordination';
import type { PeerMessage } from '../types/peer.js';
import type { BoxState, Step } from '../state.js';
import { siteOfZone } from '../state.js';
import { updateSharingBoxes } from '../policy/windows.js';
import { demandsOf, updateShares } from './limits.js';
import { poolLoads } from './probes.js';
import { otherSiteServerIds, serverUpdateFor } from './servers.js';
import { log } from './log.js';
import { measureDrain } from './queues.js';

/** Number of boxes of each other site to which a box sends heartbeats. */
const PEERS_PER_OTHER_SITE = 2;

/** Returns the ids of the other boxes in the settings. */
export function otherBoxIds(state: BoxState): string[] {
  const { boxes, boxId } = state.settings;
  return boxes.filter((box) => box.id !== boxId).map((box) => box.id);
}

/** Sends a message to every peer that receives heartbeats from this box. */
export function sendToPeers(state: BoxState, step: Step, message: PeerMessage): void {
  for (const boxId of heartbeatPeerIds(state))
    step.effects.push({ type: 'sendPeer', boxId, message });
}

/** Sends a message to the other boxes of the own zone. */
export function sendToZone(state: BoxState, step: Step, message: PeerMessage): void {
  const { boxes, boxId, zone } = state.settings;
  for (const box of boxes) {
    if (box.zone !== zone || box.id === boxId) continue;
    step.effects.push({ type: 'sendPeer', boxId: box.id, message });
  }
}

/**
 * Returns all boxes of the own site and a few of each other site, so that the traffic
 * between sites does not grow with the fleet.
 */
export function heartbeatPeerIds(state: BoxState): string[] {
  const { settings } = state;
  const ownSite = siteOfZone(settings, settings.zone);
  const perSite = new Map<string, number>();
  const ids: string[] = [];
  const rank = Math.max(0, liveInZone(state.boxMembers, settings.zone).indexOf(settings.boxId));
  for (const box of rotated(settings.boxes, rank)) {
    if (box.id === settings.boxId) continue;
    const site = siteOfZone(settings, box.zone);
    const count = perSite.get(site) ?? 0;
    if (site !== ownSite && count >= PEERS_PER_OTHER_SITE) continue;
    perSite.set(site, count + 1);
    ids.push(box.id);
  }
  return ids;
}

function rotated<T>(items: readonly T[], by: number): T[] {
  return [...items.slice(by), ...items.slice(0, by)];
}

/** Sends the heartbeat when due and marks peers without heartbeats as suspect or dead. */
export function peersTick(state: BoxState, step: Step): void {
  if (step.nowMs < state.nextHeartbeatAtMs) return;
  state.nextHeartbeatAtMs = step.nowMs + state.settings.control.heartbeatMs;
  for (const member of membershipTick(state.boxMembers, step.nowMs)) {
    log(step, 'peerChanged', { box: member.id, state: member.state });
  }
  updateShares(state, step.nowMs);
  recordSelf(state, step.nowMs);
  updateSharingBoxes(state);
  measureDrain(state, state.settings.control.heartbeatMs);
  sendCacheUpdates(state, step);
  sendToPeers(state, step, heartbeatMessage(state));
}

/** Sends the locations of prefixes that peers would expect at another server. */
function sendCacheUpdates(state: BoxState, step: Step): void {
  if (state.pendingCacheUpdates.length === 0) return;
  const news = state.pendingCacheUpdates;
  state.pendingCacheUpdates = [];
  sendToPeers(state, step, { kind: 'cacheNews', news });
}

function recordSelf(state: BoxState, nowMs: number): void {
  const { boxId, incarnation, zone } = state.settings;
  recordMemberStatement(state.boxMembers, boxId, { kind: 'heard', incarnation, zone }, nowMs);
}

function heartbeatMessage(state: BoxState): PeerMessage {
  const { incarnation, zone, control } = state.settings;
  state.heartbeatCount += 1;
  const includesDemands = state.heartbeatCount % control.demandsEveryHeartbeats === 0;
  return {
    kind: 'heartbeat',
    incarnation,
    zone,
    revision: state.config.revision,
    draining: state.draining !== undefined,
    demands: includesDemands ? demandsOf(state) : undefined,
    poolLoads: poolLoads(state),
  };
}

/** Applies a heartbeat, and sends the known servers to a box that is new or was silent. */
export function onHeartbeat(
  state: BoxState,
  step: Step,
  from: string,
  message: Extract<PeerMessage, { kind: 'heartbeat' }>,
): void {
  const known = state.boxMembers.members.get(from);
  const isNew = known === undefined || known.incarnation < message.incarnation;
  const wasSilent = known !== undefined && known.state !== MemberState.live;
  const { incarnation, zone } = message;
  if (known !== undefined && incarnation < known.incarnation) return;
  recordMemberStatement(state.boxMembers, from, { kind: 'heard', incarnation, zone }, step.nowMs);
  if (message.draining) recordDraining(state, from, incarnation, step.nowMs);
  state.peers.set(from, {
    revision: message.revision,
    draining: message.draining,
    demands: message.demands ?? state.peers.get(from)?.demands ?? [],
    poolLoads: message.poolLoads,
  });
  if (isNew || wasSilent) sendKnownServers(state, step, from);
}

function recordDraining(state: BoxState, from: string, incarnation: number, nowMs: number): void {
  const statement = {
    kind: 'leaving',
    incarnation,
    leavesAtMs: undefined,
    source: MemberSource.direct,
  } as const;
  recordMemberStatement(state.boxMembers, from, statement, nowMs);
}

/** Sends a box the servers probed here, the draining ones and those of other sites. */
function sendKnownServers(state: BoxState, step: Step, boxId: string): void {
  const ids = new Set(state.probedServers.views.map(({ spec }) => spec.id));
  for (const id of state.drainingServers) ids.add(id);
  for (const id of otherSiteServerIds(state)) ids.add(id);
  const news = [...ids].flatMap((id) => {
    const member = state.serverMembers.members.get(id);
    const update = member === undefined ? undefined : serverUpdateFor(member, step.nowMs);
    return update === undefined ? [] : [update];
  });
  if (news.length === 0) return;
  step.effects.push({ type: 'sendPeer', boxId, message: { kind: 'serverNews', news } });
}

/** Returns the live peers, those of the own zone first. */
export function livePeerIds(state: BoxState): string[] {
  const { boxId, zone } = state.settings;
  const own: string[] = [];
  const other: string[] = [];
  for (const member of state.boxMembers.members.values()) {
    if (member.id === boxId || member.state !== MemberState.live) continue;
    (member.zone === zone ? own : other).push(member.id);
  }
  return [...own.sort(), ...other.sort()];
}
