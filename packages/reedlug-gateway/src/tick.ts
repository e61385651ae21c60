/** Periodic parts of the reducer, in the order in which a tick runs them. */
import type { GatewayState, Step } from './state.js';
import type { EventOf } from './types/event.js';
import { runPart } from './stepFaults.js';
import { capacityTick } from './slices/engines/capacity.js';
import { overloadTick } from './slices/lifecycle/overload.js';
import { crashGossipTick } from './slices/crashes/crashGossip.js';
import { crashRowTick } from './slices/crashes/crashRow.js';
import { crashSuspectsTick } from './slices/crashes/crashSuspects.js';
import { clockTick } from './slices/store/clock.js';
import { dutyLeaseTick } from './slices/store/dutyLease.js';
import { limitShareTick } from './slices/limits/limitShare.js';
import { lostServersTick } from './slices/crashes/lostServers.js';
import { newerStateTick } from './slices/peers/peers.js';
import {
  pendingRequestsTick,
  requestsTick,
  resumedStreamsTick,
} from './slices/requests/requests.js';
import { rolloutRecordsTick } from './slices/rollouts/rolloutRecords.js';
import { rolloutEvaluationTick } from './slices/rollouts/rolloutEvaluation.js';
import { brittleServicesTick } from './slices/statements/brittleServices.js';
import { statementsTick } from './slices/statements/statementGossip.js';
import { serversTick } from './slices/servers/servers.js';
import { linkChecksTick } from './slices/servers/linkChecks.js';
import { serverLinksTick } from './slices/servers/serverLinks.js';
import { silentServersTick } from './slices/servers/silentServers.js';
import { shutdownTick } from './slices/lifecycle/shutdown.js';
import { serverSpeedsTick } from './slices/serverSpeeds/serverSpeeds.js';
import { gossipTick, sendLastGossip } from './slices/peers/sendGossip.js';
import { restartReserveTick } from './slices/limits/restartReserve.js';
import { unitReservationsTick } from './slices/limits/unitReservations.js';
import { waitingSendsTick } from './slices/limits/waitingSends.js';
import { registryAgeTick } from './slices/store/feedAges.js';
import { feedConfirmationTick } from './slices/store/feedConfirmation.js';
import { listingWaitsTick } from './slices/streamVersions/listingWaits.js';
import { streamVersionsTick } from './slices/streamVersions/streamVersionsTick.js';
import { usageTick } from './slices/usage/usage.js';

type TickPart = (state: GatewayState, step: Step) => void;

const TICK_PARTS: readonly TickPart[] = [
  serversTick,
  (state, { nowMs }) => feedConfirmationTick(state, nowMs),
  registryAgeTick,
  serverLinksTick,
  linkChecksTick,
  (state, { nowMs }) => brittleServicesTick(state, nowMs),
  pendingRequestsTick,
  streamVersionsTick,
  listingWaitsTick,
  resumedStreamsTick,
  requestsTick,
  silentServersTick,
  lostServersTick,
  clockTick,
  (state, { nowMs }) => unitReservationsTick(state, nowMs),
  waitingSendsTick,
  limitShareTick,
  restartReserveTick,
  dutyLeaseTick,
  usageTick,
  rolloutEvaluationTick,
  rolloutRecordsTick,
  serverSpeedsTick,
  capacityTick,
  newerStateTick,
  gossipTick,
  crashSuspectsTick,
  crashGossipTick,
  statementsTick,
  crashRowTick,
];

/** Runs all parts; one that throws does not keep the others from theirs, above all from deadlines and the shutdown. */
export function runTick(state: GatewayState, step: Step, event: EventOf<'tick'>): void {
  const { load, openExchanges = 0 } = event;
  runPart(step, () => overloadTick(state, step, load));
  for (const part of TICK_PARTS) runPart(step, () => part(state, step));
  const { stopped: wasStopped } = state;
  runPart(step, () => shutdownTick(state, step, openExchanges));
  if (state.stopped && !wasStopped) runPart(step, () => sendLastGossip(state, step));
}
