/** Other sources of a newer configuration when the box that announced it does not send it. */
import { hashString } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import type { HostPort } from '../../types/server.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { hubMembers, isFreshPeer, isSeed, knownGroups, ownAddress, usesHubs } from './fleet.js';

/**
 * Time for which a newer version may be announced without being in force at this box, as a share of
 * the users' bound. After it, this box reads the store itself. It leaves the transfers within a
 * hub's group time to finish, and the rest of the bound for the store's response.
 */
const OVERDUE_SHARE = 0.6;

/**
 * Returns whether this box should read the store for the configuration, although its hub does so.
 */
export function isConfigurationOverdue(state: GatewayState, nowMs: number): boolean {
  const overdueAfterMs = state.settings.bounds.configurationMs * OVERDUE_SHARE;
  for (const peer of state.peers.values()) {
    const { behindConfiguration: behind } = peer;
    if (behind === undefined || !isFreshPeer(peer, nowMs)) continue;
    if (isNewer(state, peer.message?.configurationVersion ?? 0)) {
      if (behind.hasFailed || nowMs - behind.sinceMs > overdueAfterMs) return true;
    }
  }
  return false;
}

/** Returns the members of this box, a hub, that have its configuration. */
export function configurationHolders(state: GatewayState, nowMs: number): readonly HostPort[] {
  const ownVersion = state.active?.configuration.version ?? 0;
  return hubMembers(state, nowMs)
    .filter(({ message }) => (message?.configurationVersion ?? 0) >= ownVersion)
    .map(({ address }) => address);
}

/** Returns whether an address is that of a box which this one knows. */
export function isKnownBox(state: GatewayState, address: HostPort): boolean {
  return [...state.peers.values()].some((peer) => isSame(peer.address, address));
}

function isNewer(state: GatewayState, version: number): boolean {
  return version > (state.active?.configuration.version ?? 0);
}

/**
 * Requests the version from another box; the store is read as well, see `isConfigurationOverdue`.
 */
export function onConfigurationTransferFailed(
  state: GatewayState,
  step: Step,
  event: EventOf<'configurationTransferFailed'>,
): void {
  const { peer: failed, version, reason } = event;
  const announcer = [...state.peers.values()].find(({ address }) => isSame(address, failed));
  const behind = announcer?.behindConfiguration;
  // A member that was asked in place of the announcer may not have the version yet. The announcer's
  // next gossip message repeats the request.
  if (behind !== undefined) behind.hasFailed = true;
  const next = behind === undefined ? undefined : otherSource(state, step, failed, version);
  const fields = { peer: announcer?.boxId ?? failed.host, version, reason };
  log(step, 'configurationTransferFailed', { ...fields, next: next?.boxId ?? '' });
  if (!isNewer(state, version) || next === undefined) return;
  const effect = { type: 'askPeer' as const, withServers: false, configurationVersion: version };
  step.effects.push({ ...effect, peer: next });
}

/** Returns another box that has announced the version, or else one of this box's group. */
function otherSource(
  state: GatewayState,
  step: Step,
  failed: HostPort,
  version: number,
): (HostPort & { boxId: string }) | undefined {
  const others = [...state.peers.values()].filter(({ address }) => !isSame(address, failed));
  // Two announcers that refuse connections would otherwise be asked in turn without a pause.
  const announcer = others.find((peer) => {
    const hasVersion = (peer.message?.configurationVersion ?? 0) >= version;
    return (
      hasVersion && isFreshPeer(peer, step.nowMs) && peer.behindConfiguration?.hasFailed !== true
    );
  });
  if (announcer !== undefined) return announcer.address;
  if (!usesHubs(state)) return undefined;
  const own = ownAddress(state);
  const members = knownGroups(state).own.filter(
    (box) => box.boxId !== own.boxId && !isSame(box, failed) && !isUnusable(state, box.boxId),
  );
  // Each member asks a different one, and another one each time.
  const index = (hashString(own.boxId) + Math.floor(step.nowMs)) % Math.max(1, members.length);
  return members[index];
}

function isUnusable(state: GatewayState, boxId: string): boolean {
  const peer = state.peers.get(boxId);
  return peer === undefined || peer.isSuspected || isSeed(peer);
}

function isSame(a: HostPort, b: HostPort): boolean {
  return a.host === b.host && a.port === b.port;
}
