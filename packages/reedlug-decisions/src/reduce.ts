/**
 * The reducer, which passes each event to the slice that handles it.
 *
 * The state is mutated in place; requested actions are returned as data (effects).
 */
import type { Effect } from './types/effect.js';
import type { BoxEvent, EventOf } from './types/event.js';
import type { PeerMessage } from './types/peer.js';
import type { BoxState, Step } from './state.js';
import { onConfirmAnswered, onOperatorAsked } from './plans/confirm.js';
import { onCacheChanged, onCacheUpdates } from './policy/cacheView.js';
import { onRequestArrived } from './slices/admission.js';
import { onAttemptLost, onAttemptRefused } from './slices/failedAttempts.js';
import { onServiceAnswered } from './slices/serviceAttempts.js';
import { onAttemptEnded, onAttemptProgress } from './slices/streamAttempts.js';
import { onClaimsAnswered } from './slices/claimWrites.js';
import { onOutcomesAnswered, sendOutcomes } from './slices/claimOutcomes.js';
import {
  recordPeerRevision,
  onConfigAsk,
  onConfigDeltas,
  onConfigScanned,
  onConfigSnapshot,
} from './slices/config.js';
import { configTick } from './slices/configPolling.js';
import {
  onClaimReread,
  onFollowAsked,
  onLookup,
  onNotHere,
  onRequestSnapshot,
} from './slices/following.js';
import {
  drainTick,
  onBoxReclaimNoticed,
  onHandover,
  onHandoverTaken,
  onStopAsked,
} from './slices/handover.js';
import { onLeaseAnswered, onOrderAnswered, ordersTick } from './slices/orders.js';
import { onHeartbeat, peersTick } from './slices/peerLinks.js';
import { onCloudAnswered, placementTick } from './slices/placement.js';
import { onCacheMoved, onKvExported } from './slices/reclaim.js';
import { forgetSettled } from './slices/requests.js';
import {
  registerConfiguredServers,
  onReclaimNoticed,
  onServerUpdates,
  onServerReported,
} from './slices/servers.js';
import { onBoxListRead } from './slices/boxList.js';
import { probeServers } from './slices/probes.js';
import { onCallerGone, requestsTick } from './slices/timers.js';

/** Applies an event to the state and returns the resulting effects. */
export function reduce(state: BoxState, event: BoxEvent): Effect[] {
  state.nowMs = Math.max(state.nowMs, event.nowMs);
  const step: Step = { nowMs: state.nowMs, effects: [] };
  handleEvent(state, step, event);
  return step.effects;
}

function handleEvent(state: BoxState, step: Step, event: BoxEvent): void {
  switch (event.type) {
    case 'tick':
      return onTick(state, step, event);
    case 'requestArrived':
      return onRequestArrived(state, step, event);
    case 'callerGone':
      return onCallerGone(state, step, event);
    case 'followAsked':
      return onFollowAsked(state, step, event);
    case 'attemptRefused':
      return onAttemptRefused(state, step, event);
    case 'attemptProgress':
      return onAttemptProgress(state, step, event);
    case 'attemptEnded':
      return onAttemptEnded(state, step, event);
    case 'attemptLost':
      return onAttemptLost(state, step, event);
    case 'serviceAnswered':
      return onServiceAnswered(state, step, event);
    case 'kvExported':
      return onKvExported(state, step, event);
    case 'tableAnswered':
      return onTableAnswered(state, step, event);
    case 'snapshotRead':
      return onConfigSnapshot(state, step, event.snapshot);
    case 'peerMessage':
      return onPeerMessage(state, step, event.from, event.message);
    case 'reclaimNoticed':
      return onReclaimNoticed(state, step, event);
    case 'boxReclaimNoticed':
      return onBoxReclaimNoticed(state, step, event);
    case 'boxListRead':
      return onBoxListRead(state, step, event);
    case 'serverReported':
      return onServerReported(state, step, event);
    case 'cacheChanged':
      return onCacheChanged(state, event);
    case 'cacheMoved':
      return onCacheMoved(state, event);
    case 'orderAnswered':
      return onOrderAnswered(state, step, event);
    case 'cloudAnswered':
      return onCloudAnswered(state, step, event);
    case 'operatorAsked':
      return onOperatorAsked(state, step, event);
    case 'stopAsked':
      return onStopAsked(state, step);
  }
}

function onTick(state: BoxState, step: Step, event: EventOf<'tick'>): void {
  if (state.servers.size === 0) registerConfiguredServers(state, step.nowMs);
  state.epochMs = event.epochMs;
  peersTick(state, step);
  probeServers(state, step);
  configTick(state, step);
  ordersTick(state, step);
  placementTick(state, step);
  requestsTick(state, step);
  sendOutcomes(state, step);
  drainTick(state, step);
  forgetSettled(state, step);
}

function onTableAnswered(state: BoxState, step: Step, event: EventOf<'tableAnswered'>): void {
  const purpose = state.tableOps.get(event.opId);
  if (purpose === undefined) return;
  state.tableOps.delete(event.opId);
  const { answer } = event;
  switch (purpose.kind) {
    case 'claims':
      return onClaimsAnswered(state, step, purpose.group, answer);
    case 'claimOutcomes':
      return onOutcomesAnswered(state, step, purpose.requestIds, answer);
    case 'claimReread':
      return onClaimReread(state, step, purpose.requestId, answer);
    case 'lease':
      return onLeaseAnswered(state, step, purpose.sentAtMs, answer);
    case 'configScan':
      return onConfigScanned(state, step, answer);
    case 'confirm':
      return onConfirmAnswered(state, step, purpose, answer);
  }
}

function onPeerMessage(state: BoxState, step: Step, from: string, message: PeerMessage): void {
  switch (message.kind) {
    case 'heartbeat':
      onHeartbeat(state, step, from, message);
      return recordPeerRevision(state, message.revision);
    case 'serverNews':
      return onServerUpdates(state, step, from, message.news);
    case 'cacheNews':
      return onCacheUpdates(state, message.news);
    case 'configDeltas':
      return onConfigDeltas(state, step, message);
    case 'configAsk':
      return onConfigAsk(state, step, from, message.afterRevision);
    case 'configSnapshot':
      return onConfigSnapshot(state, step, message.snapshot);
    case 'lookup':
      return onLookup(state, step, from, message);
    case 'sight':
      return onRequestSnapshot(state, step, from, message.sight);
    case 'notHere':
      return onNotHere(state, step, from, message.requestId);
    case 'handover':
      return onHandover(state, step, from, message);
    case 'handoverTaken':
      return onHandoverTaken(state, step, from, message.requestId);
  }
}
