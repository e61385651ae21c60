/**
 * Shutdown of the entry box itself, planned or by a reclaim.
 *
 * A planned shutdown finishes the requests in progress. A box that is being reclaimed
 * hands its open requests over to peers shortly before; the caller reconnects with its
 * request id and last offset at any entry box.
 */
import { Outcome } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { PeerMessage } from '../types/peer.js';
import { Reason, type RequestPhase, type RequestRecord } from '../types/request.js';
import type { BoxState, Step } from '../state.js';
import { admit } from './dispatch.js';
import { cancelAll } from './openAttempts.js';
import { log } from './log.js';
import { livePeerIds } from './peerRecipients.js';
import { giveUp, settle } from './requests.js';
import { addRecord, createRecord, mayHaveReached, phaseOf } from './requestRecords.js';
import { leaveQueue } from './queues.js';

/** Time in which a peer has to acknowledge a handover, in ms. */
const HANDOVER_ACK_TIMEOUT_MS = 300;
/** Maximum number of peers tried for a repeatable request. */
const MAX_PEERS_TRIED = 3;

/** Begins a planned shutdown. */
export function onStopAsked(state: BoxState, step: Step): void {
  if (state.draining !== undefined) return;
  state.draining = { sinceMs: step.nowMs, leavesAtMs: undefined };
  log(step, 'draining', { open: state.unsettled.size });
}

/** Begins the shutdown after a notice that this box will be reclaimed. */
export function onBoxReclaimNoticed(
  state: BoxState,
  step: Step,
  event: EventOf<'boxReclaimNoticed'>,
): void {
  onStopAsked(state, step);
  if (state.draining === undefined) return;
  const known = state.draining.leavesAtMs ?? event.leavesAtMs;
  state.draining.leavesAtMs = Math.min(known, event.leavesAtMs);
}

/** Hands requests over shortly before the reclaim, and reports `stopped` when no work is left. */
export function drainTick(state: BoxState, step: Step): void {
  const { draining } = state;
  if (draining === undefined) return;
  const { handoverMs, drainNotReadyMs } = state.settings.control;
  if (draining.leavesAtMs !== undefined && step.nowMs >= draining.leavesAtMs - handoverMs) {
    handOverAll(state, step);
  }
  const balancerHasReacted = step.nowMs >= draining.sinceMs + drainNotReadyMs;
  const idle = state.unsettled.size === 0 && state.pendingOutcomes.length === 0;
  if (!balancerHasReacted || !idle || state.outcomesInFlight || state.stoppedReported) return;
  state.stoppedReported = true;
  step.effects.push({ type: 'stopped' });
}

function handOverAll(state: BoxState, step: Step): void {
  for (const requestId of [...state.unsettled]) {
    const record = state.requests.get(requestId);
    if (record !== undefined && mayHandOver(record)) handOver(state, step, record, 0);
  }
}

/** True unless the request may not be repeated and may have reached a server. */
function mayHandOver(record: RequestRecord): boolean {
  switch (record.phase.kind) {
    case 'queued':
    case 'running':
      return record.spec.repeatable || !mayHaveReached(record);
    case 'claiming':
    case 'moving':
    case 'following':
    case 'handing':
    case 'settled':
      return false;
  }
}

function handOver(state: BoxState, step: Step, record: RequestRecord, tries: number): void {
  const peers = livePeerIds(state);
  const toBoxId = peers[tries];
  if (toBoxId === undefined) return;
  leaveQueue(state, record);
  cancelAll(state, step, record);
  record.phase = { kind: 'handing', toBoxId, sinceMs: step.nowMs, tries };
  const message: PeerMessage = {
    kind: 'handover',
    spec: record.spec,
    deadlineInMs: record.spec.deadlineAtMs - step.nowMs,
    tokens: record.ledger.tokens,
    claimHeld: record.claimHeld,
    claimVersion: record.claimVersion,
    payload: undefined,
  };
  step.effects.push({ type: 'sendPeer', boxId: toBoxId, message });
}

/** Tries the next peer if one does not acknowledge; only a repeatable request goes to a second one. */
export function handoverTick(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  phase: Extract<RequestPhase, { kind: 'handing' }>,
): void {
  if (step.nowMs - phase.sinceMs < HANDOVER_ACK_TIMEOUT_MS) return;
  if (record.spec.repeatable && phase.tries + 1 < MAX_PEERS_TRIED) {
    const tries = phase.tries + 1;
    if (livePeerIds(state)[tries] !== undefined) {
      handOver(state, step, record, tries);
      return;
    }
  }
  if (record.spec.repeatable) {
    giveUp(state, step, record, Reason.handedOver);
    return;
  }
  // The peer may have accepted the request and run it.
  settle(state, step, record, { outcome: Outcome.unknown, reason: Reason.handedOver });
}

/** Takes over a request from a box that is being reclaimed. */
export function onHandover(
  state: BoxState,
  step: Step,
  from: string,
  message: Extract<PeerMessage, { kind: 'handover' }>,
): void {
  const { requestId } = message.spec;
  const acknowledgement: PeerMessage = { kind: 'handoverTaken', requestId };
  if (state.requests.has(requestId)) {
    step.effects.push({ type: 'sendPeer', boxId: from, message: acknowledgement });
    return;
  }
  if (state.draining !== undefined) return;
  const spec = { ...message.spec, deadlineAtMs: step.nowMs + message.deadlineInMs };
  const record = createRecord(spec, step.nowMs);
  for (const token of message.tokens) record.ledger.tokens.push(token);
  record.deliveredCount = message.tokens.length;
  record.handoverOffset = message.tokens.length;
  record.claimHeld = message.claimHeld;
  record.claimVersion = message.claimVersion;
  addRecord(state, record);
  step.effects.push({ type: 'sendPeer', boxId: from, message: acknowledgement });
  admit(state, step, record);
}

/** Settles a request that a peer has taken over; its reason makes the caller reconnect. */
export function onHandoverTaken(
  state: BoxState,
  step: Step,
  from: string,
  requestId: string,
): void {
  const record = state.requests.get(requestId);
  const phase = record === undefined ? undefined : phaseOf(record, 'handing');
  if (record === undefined || phase?.toBoxId !== from) return;
  // The new holder writes the outcome into the row of the claim.
  record.claimHeld = false;
  settle(state, step, record, { outcome: Outcome.unknown, reason: Reason.handedOver });
}
