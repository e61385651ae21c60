/** Heartbeats to peers, and their membership. */
import {
  membershipTick,
  MemberSource,
  MemberState,
  recordMemberStatement,
} from 'reedlug-coordination';
import type { PeerMessage } from '../types/peer.js';
import type { BoxState, Step } from '../state.js';
import { updateSharingBoxes } from '../policy/windows.js';
import { demandsOf, updateShares } from './limits.js';
import { poolLoads } from './probes.js';
import { otherSiteServerIds, serverUpdateFor } from './servers.js';
import { log } from './log.js';
import { measureDrain } from './queues.js';
import { sendToPeers } from './peerRecipients.js';

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
