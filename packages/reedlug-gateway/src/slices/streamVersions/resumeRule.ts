/** Decides which servers may go on with a stream that has begun. */
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { RolloutPhase } from '../../types/rollout.js';
import type { ServerView } from '../../types/views.js';
import { isFreshPeer } from '../peers/fleet.js';
import { isBlockedVersion, isTargetVersion } from '../rollouts/versionRule.js';
import { softwareVersionOf } from './servedVersions.js';

/** Time without an answer of the store after which a registry entry may be out of date, in ms: longer than a long poll. */
const REGISTRY_TRUSTED_MS = 2500;

/** Time after connections were refused by which the entry of a server that has ended is gone or that of its next life, in ms. */
const ENDED_SERVER_MS = 5000;
/** Time after the process stood still within which what arrives may have been sent meanwhile, in ms. */
const STALL_SETTLE_MS = 300;

/** Returns whether a server may go on with a stream; undefined for a request of which no event has been relayed. */
export function resumeRule(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): ((view: ServerView) => boolean) | undefined {
  const { beganAtVersion } = record;
  if (beganAtVersion === undefined) return undefined;
  return (view) =>
    softwareVersionOf(view.entry) === beganAtVersion &&
    isOpenToStreams(state, view) &&
    isVersionCurrent(state, view, nowMs);
}

/** Whether a roll-out lets streams that have begun at a server's version go on there. */
function isOpenToStreams(state: GatewayState, { entry }: ServerView): boolean {
  const view = state.rollouts.get(entry.service);
  if (view === undefined) return true;
  if (isBlockedVersion(view, entry)) return false;
  if (!isTargetVersion(view, entry)) return true;
  switch (view.phase) {
    case RolloutPhase.held:
    case RolloutPhase.rolledBack:
      return false;
    case RolloutPhase.sampling:
      return view.sampleServers.has(entry.id);
    case RolloutPhase.widened:
      return view.widenedServers.has(entry.id);
    case RolloutPhase.shifted:
    case RolloutPhase.completed:
      return true;
  }
}

/**
 * Whether a server still runs the version of its entry. One whose port refuses connections has ended,
 * and runs any version once it accepts again; its next life writes a new entry. One that has only broken
 * connections may have started again unseen while nobody had an answer of the store.
 */
function isVersionCurrent(state: GatewayState, view: ServerView, nowMs: number): boolean {
  if (nowMs - view.endSuspectedAtMs < ENDED_SERVER_MS) return false;
  const confirmedAtMs = registryConfirmedAtMs(state, nowMs);
  if (confirmedAtMs < state.stalledAtMs + STALL_SETTLE_MS) return false;
  if (state.storeReachable && nowMs - confirmedAtMs <= REGISTRY_TRUSTED_MS) return true;
  return view.connectionLostAtMs <= confirmedAtMs;
}

/** Returns when the registry that this box knows was last that of the store, by its own or a peer's contact. */
function registryConfirmedAtMs(state: GatewayState, nowMs: number): number {
  let confirmedAtMs = state.storeContactAtMs ?? 0;
  for (const peer of state.peers.values()) {
    const { message, lastReceivedAtMs } = peer;
    if (message?.storeContactAgeMs === undefined || !isFreshPeer(peer, nowMs)) continue;
    if (message.serversRevision > state.serversRevision) continue;
    confirmedAtMs = Math.max(confirmedAtMs, lastReceivedAtMs - message.storeContactAgeMs);
  }
  return confirmedAtMs;
}

/** Whether any server of a stream's version is there to go on with it, now or once it accepts requests again. */
export function hasServersOfVersion(
  state: GatewayState,
  { service, beganAtVersion }: RequestRecord,
): boolean {
  for (const { entry, leaving } of state.servers.values()) {
    const isOfService = entry.service === service && !leaving;
    if (isOfService && softwareVersionOf(entry) === beganAtVersion) return true;
  }
  return false;
}
