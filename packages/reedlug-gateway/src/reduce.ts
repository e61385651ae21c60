/**
 * Reducer of the gateway, which dispatches events to the slices.
 *
 * It modifies the state in place and returns the requested side effects as data.
 */
import type { EventOf, GatewayEvent } from './types/event.js';
import type { Effect } from './types/effect.js';
import type { GatewayState, Step } from './state.js';
import { runPart } from './stepFaults.js';
import { runTick } from './tick.js';
import { repairAfterFaults } from './slices/lifecycle/faultRepair.js';
import { recordDeliveryTime } from './slices/requests/answerTimes.js';
import { onConfigurationRead } from './slices/store/configuration.js';
import { onAnswerBegun, onAttemptAnswered, onAttemptEnded } from './slices/requests/attempts.js';
import { onAttemptHeld, onEventsRelayed } from './slices/requests/streamAttempts.js';
import { refuseHeldTooLong } from './slices/requests/lateRefusals.js';
import { onAttemptLost, onAttemptNotSent } from './slices/requests/lostAttempts.js';
import { onCrashSuspects } from './slices/crashes/crashGossip.js';
import { onCrashRow } from './slices/crashes/crashRow.js';
import { liftVerdict } from './slices/crashes/crashSuspects.js';
import { onOrderAnswered } from './slices/engines/engineOrders.js';
import { onClockRow, onStoreClock } from './slices/store/clock.js';
import { onLeaseRow } from './slices/store/dutyLease.js';
import { onServerProbed } from './slices/crashes/lostServers.js';
import { onConfigurationTransferFailed } from './slices/peers/configurationSources.js';
import { onTunnel } from './slices/peers/tunnels.js';
import { onPeerMessage, onPeersListed, onPeerUsage } from './slices/peers/peers.js';
import {
  pendingRequestsTick,
  onCallerGone,
  onRequestArrived,
  resumedStreamsTick,
} from './slices/requests/requests.js';
import { onRolloutRow } from './slices/rollouts/rolloutRecords.js';
import { onRolloutOrdered } from './slices/rollouts/rollouts.js';
import { onServerStatements } from './slices/statements/statementGossip.js';
import { onServersRead, onStoreContact } from './slices/servers/servers.js';
import { onConnectionTried } from './slices/servers/serverLinks.js';
import { onStoreEra } from './slices/store/storeEra.js';
import { onStopAsked } from './slices/lifecycle/shutdown.js';
import { checkWallClock, recordStall } from './slices/lifecycle/suspension.js';
import { onUnitsAsked, onUnitsReturned } from './slices/limits/unitLoans.js';
import { onLimitReserveRow } from './slices/limits/restartReserve.js';
import { onUnitsLent } from './slices/limits/waitingSends.js';
import {
  onStreamStartAnswered,
  onStreamStartAsked,
  onStreamStarts,
} from './slices/streamVersions/startGossip.js';
import { onAttemptConfirmed } from './slices/streamVersions/attemptConfirmations.js';
import { listingWaitsTick, onListingAwaited } from './slices/streamVersions/listingWaits.js';
import { onStreamRows } from './slices/streamVersions/streamRows.js';
import { onStreamRoutesKnown, onVersionsListed } from './slices/streamVersions/versionsRow.js';
import { onCheckpointRow, onUsageAnswered, onUsageRow } from './slices/usage/usage.js';

/** Effects that a step requested, and exceptions of its parts. */
export type StepOutcome = Pick<Step, 'effects' | 'faults'>;

/** Handles an event and returns the requested effects; throws the first exception of the step. */
export function reduce(state: GatewayState, event: GatewayEvent): Effect[] {
  const { effects, faults } = reduceStep(state, event);
  const [fault] = faults;
  if (fault !== undefined) throw fault.error;
  return effects;
}

/** Handles an event. Exceptions end parts of the step; the state is repaired afterwards, and the effects are to be performed. */
export function reduceStep(state: GatewayState, event: GatewayEvent): StepOutcome {
  const { nowMs, wallClockMs } = event;
  const step: Step = { nowMs, wallClockMs, effects: [], faults: [] };
  const firstAttemptId = state.nextAttemptId;
  const exchangeId = 'exchangeId' in event ? event.exchangeId : undefined;
  runPart(step, () => checkWallClock(state, step));
  runPart(step, () => recordStall(state, nowMs));
  runPart(step, () => handle(state, step, event), exchangeId);
  if (step.faults.length > 0) repairAfterFaults(state, step, firstAttemptId);
  return step;
}

function handle(state: GatewayState, step: Step, event: GatewayEvent): void {
  switch (event.type) {
    case 'tick':
      return runTick(state, step, event);
    case 'requestArrived':
      return onRequestArrived(state, step, event);
    case 'requestHeldTooLong':
      return refuseHeldTooLong(step, event);
    case 'callerGone':
      return onCallerGone(state, step, event);
    case 'connectionTried':
      return onConnectionTried(state, step, event);
    case 'tunnelRefused':
    case 'tunnelOpened':
    case 'tunnelClosed':
      return onTunnel(state, step, event);
    case 'attemptNotSent':
      return onAttemptNotSent(state, step, event);
    case 'answerBegun':
      return onAnswerBegun(state, step, event);
    case 'attemptAnswered':
      return onAttemptAnswered(state, step, event);
    case 'eventsRelayed':
      return onEventsRelayed(state, step, event);
    case 'attemptHeld':
      return onAttemptHeld(state, step, event);
    case 'attemptConfirmed':
      return onAttemptConfirmed(state, step, event);
    case 'answerDelivered':
      return recordDeliveryTime(state, event);
    case 'attemptEnded':
      return onAttemptEnded(state, step, event);
    case 'attemptLost':
      return onAttemptLost(state, step, event);
    case 'serverProbed':
      return onServerProbed(state, step, event);
    case 'crashSuspects':
      return onCrashSuspects(state, step, event);
    case 'verdictLifted':
      return liftVerdict(state, step, event.key);
    case 'serverStatements':
      return onServerStatements(state, step, event);
    case 'configurationRead':
      onConfigurationRead(state, step, event);
      onStreamRoutesKnown(state, step);
      return pendingRequestsTick(state, step);
    case 'configurationTransferFailed':
      return onConfigurationTransferFailed(state, step, event);
    case 'rolloutOrdered':
      return onRolloutOrdered(state, step, event);
    case 'serversRead':
      onServersRead(state, step, event);
      return pendingRequestsTick(state, step);
    case 'storeContact':
      return onStoreContact(state, step, event);
    case 'storeEra':
      return onStoreEra(state, step, { era: event.era, source: 'store' });
    case 'tableAnswered':
      return onTableAnswered(state, step, event);
    case 'cloudAnswered':
      return onCloudAnswered(state, step, event);
    case 'storeClock':
      return onStoreClock(state, step, event);
    case 'peerMessage':
      return onPeerMessage(state, step, event);
    case 'peerUsage':
      return onPeerUsage(state, step, event);
    case 'streamStarts':
      return onStreamStarts(state, step, event) ? resumedStreamsTick(state, step) : undefined;
    case 'streamStartAsked':
      return onStreamStartAsked(state, step, event);
    case 'streamStartAnswered':
      // A look-up that this answer does not end ends with a later one, or with a tick.
      return onStreamStartAnswered(state, step, event)
        ? resumedStreamsTick(state, step)
        : undefined;
    case 'versionsListed':
      onVersionsListed(state, step, event);
      return listingWaitsTick(state, step);
    case 'listingAwaited':
      onListingAwaited(state, step, event);
      return listingWaitsTick(state, step);
    case 'unitsAsked':
      return onUnitsAsked(state, step, event);
    case 'unitsLent':
      return onUnitsLent(state, step, event);
    case 'unitsReturned':
      return onUnitsReturned(state, step, event);
    case 'peersListed':
      return onPeersListed(state, step, event);
    case 'stopAsked':
      return onStopAsked(state, step);
  }
}

function onTableAnswered(state: GatewayState, step: Step, event: EventOf<'tableAnswered'>): void {
  switch (event.purpose.kind) {
    case 'lease':
      return onLeaseRow(state, step, event);
    case 'clock':
      return onClockRow(state, step, event);
    case 'usage':
      return onUsageRow(state, step, event, event.purpose.window);
    case 'checkpoint':
      return onCheckpointRow(state, step, event);
    case 'crashSuspects':
      return onCrashRow(state, step, event, event.purpose);
    case 'streamRows':
      onStreamRows(state, step, event, event.purpose);
      listingWaitsTick(state, step);
      return resumedStreamsTick(state, step);
    case 'rollout':
      return onRolloutRow(state, step, event, event.purpose);
    case 'limitReserve':
      return onLimitReserveRow(state, step, event, event.purpose);
  }
}

function onCloudAnswered(state: GatewayState, step: Step, event: EventOf<'cloudAnswered'>): void {
  if (onOrderAnswered(state, step, event)) return;
  onUsageAnswered(state, step, event);
}
