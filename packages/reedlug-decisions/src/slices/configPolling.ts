/**
 * Polling of the configuration: two readers per zone poll the revision log. Heartbeats carry the
 * revision, and a box that is behind requests the missing deltas from a peer.
 */
import { liveInZone } from 'reedlug-coordination';
import type { PeerMessage } from '../types/peer.js';
import type { BoxState, Step } from '../state.js';
import { pendingConfirmsTick } from '../plans/confirm.js';
import { moveWatchTick } from '../plans/moveWatch.js';
import { scanLog } from './config.js';

/** Number of boxes per zone that poll the table. */
const READERS_PER_ZONE = 2;

/** Polls the log when due, if this box is a reader of its zone. */
export function configTick(state: BoxState, step: Step): void {
  pendingConfirmsTick(state, step);
  moveWatchTick(state, step);
  requestMissingDeltas(state, step);
  if (step.nowMs < state.nextConfigPollAtMs || state.configScanInFlight) return;
  state.nextConfigPollAtMs = step.nowMs + state.settings.control.configPollMs;
  if (isReader(state)) scanLog(state, step);
}

/** True for the first live boxes of the zone, and for a box that does not count as live itself. */
function isReader(state: BoxState): boolean {
  const { boxId, zone } = state.settings;
  const rank = liveInZone(state.boxMembers, zone).indexOf(boxId);
  return rank < READERS_PER_ZONE;
}

/** Requests deltas from a peer that is ahead, if this box is behind the highest known revision. */
function requestMissingDeltas(state: BoxState, step: Step): void {
  if (state.config.revision >= state.config.highestKnownRevision) return;
  if (step.nowMs < state.nextCatchUpAtMs) return;
  state.nextCatchUpAtMs = step.nowMs + state.settings.control.configPollMs / 4;
  for (const [boxId, peer] of state.peers) {
    if (peer.revision <= state.config.revision) continue;
    const message: PeerMessage = { kind: 'configAsk', afterRevision: state.config.revision };
    step.effects.push({ type: 'sendPeer', boxId, message });
    return;
  }
}
