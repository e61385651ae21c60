/**
 * Following a request that another box (the holder) runs.
 *
 * For a retry under a claimed key, or a caller that reconnects at another box, this box
 * polls the holder over the peer link until there is an outcome. If the holder is gone
 * and no peer has the request, the outcome is `unknown`; it is never run a second time.
 */
import {
  claimRowKey,
  MemberState,
  Outcome,
  type ClaimValue,
  type TableAnswer,
} from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { PeerMessage, RequestSnapshot } from '../types/peer.js';
import {
  Reason,
  type RequestRecord,
  type RequestPhase,
  type RequestSpec,
} from '../types/request.js';
import { RequestClass, ServerKind } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import { nextId } from '../state.js';
import { admit } from './dispatch.js';
import { deliverNewTokens } from './streamAttempts.js';
import { livePeerIds } from './peerRecipients.js';
import { settle } from './requests.js';
import { addRecord, createRecord, phaseOf } from './requestRecords.js';

/** Interval between two look-ups at the holder, in ms. */
const LOOKUP_INTERVAL_MS = 100;

type FollowingPhase = Extract<RequestPhase, { kind: 'following' }>;

/** Starts to follow a request of another box or of this one. */
export function startFollowing(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  source: {
    sourceRequestId: string;
    holderId: string | undefined;
    storedOutcome: Outcome | undefined;
    storedStatus: number | undefined;
  },
): void {
  const { lookupTimeoutMs } = state.settings.control;
  record.phase = {
    kind: 'following',
    sourceRequestId: source.sourceRequestId,
    holderId: reachableHolder(state, source.holderId),
    giveUpAtMs: step.nowMs + lookupTimeoutMs,
    nextLookupAtMs: step.nowMs,
    rereadingClaim: false,
  };
  if (source.storedOutcome !== undefined && record.phase.holderId === undefined) {
    settleFromRow(state, step, record, source.storedOutcome, source.storedStatus);
    return;
  }
  followTick(state, step, record, record.phase);
}

/** Returns the holder if it can be asked; undefined means that every live peer is asked. */
function reachableHolder(state: BoxState, holderId: string | undefined): string | undefined {
  // An earlier incarnation of this box cannot be asked, but its peers may have the request.
  if (holderId === undefined || holderId === state.settings.boxId) return undefined;
  const member = state.boxMembers.members.get(holderId);
  return member === undefined || member.state === MemberState.dead ? undefined : holderId;
}

/** Sends a look-up when due, and treats the holder as lost if no answer arrives in time. */
export function followTick(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  phase: FollowingPhase,
): void {
  if (followLocally(state, step, record, phase)) return;
  if (step.nowMs >= phase.giveUpAtMs) {
    onHolderLost(state, step, record, phase);
    return;
  }
  if (step.nowMs < phase.nextLookupAtMs) return;
  phase.nextLookupAtMs = step.nowMs + LOOKUP_INTERVAL_MS;
  const message: PeerMessage = {
    kind: 'lookup',
    requestId: phase.sourceRequestId,
    workspaceId: record.spec.workspaceId,
    fromOffset: record.ledger.tokens.length,
  };
  const recipients = phase.holderId === undefined ? livePeerIds(state) : [phase.holderId];
  for (const boxId of recipients) step.effects.push({ type: 'sendPeer', boxId, message });
}

function onHolderLost(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  phase: FollowingPhase,
): void {
  if (phase.holderId !== undefined) {
    // The holder may have handed the request over to a peer before it stopped.
    phase.holderId = undefined;
    phase.giveUpAtMs = step.nowMs + state.settings.control.lookupTimeoutMs;
    phase.nextLookupAtMs = step.nowMs;
    return;
  }
  if (!phase.rereadingClaim && record.spec.idempotencyKey !== undefined) {
    rereadClaim(state, step, record, phase);
    return;
  }
  if (state.mutations.has('rerunWhenHolderGone') && record.spec.pool !== '') {
    admit(state, step, record);
    return;
  }
  settle(state, step, record, { outcome: Outcome.unknown, reason: Reason.holderGone });
}

/** Reads the row of the claim again, as the holder may have written the outcome before it stopped. */
function rereadClaim(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  phase: FollowingPhase,
): void {
  const { requestId, workspaceId, idempotencyKey } = record.spec;
  phase.rereadingClaim = true;
  phase.giveUpAtMs = step.nowMs + state.settings.control.claimTimeoutMs;
  const opId = nextId(state, 'op');
  state.tableOps.set(opId, { kind: 'claimReread', requestId });
  const keys = [claimRowKey(workspaceId, idempotencyKey ?? '')];
  step.effects.push({ type: 'requestTable', opId, op: { kind: 'read', keys } });
}

/** Settles a request by the row of its claim, if the lost holder wrote an outcome. */
export function onClaimReread(
  state: BoxState,
  step: Step,
  requestId: string,
  answer: TableAnswer,
): void {
  const record = state.requests.get(requestId);
  const phase = record === undefined ? undefined : phaseOf(record, 'following');
  if (record === undefined || phase === undefined) return;
  const row = answer.kind === 'done' ? answer.rows[0] : undefined;
  const value = row?.value as ClaimValue | undefined;
  if (value?.outcome === undefined) onHolderLost(state, step, record, phase);
  else settleFromRow(state, step, record, value.outcome, value.status);
}

/** Settles a request that follows a key by the outcome that is stored in the table. */
function settleFromRow(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  outcome: Outcome,
  status: number | undefined,
): void {
  settle(state, step, record, { outcome, reason: Reason.answered, status });
}

/** Follows a request that this box holds itself; returns false if it does not hold it. */
function followLocally(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  phase: FollowingPhase,
): boolean {
  const source = state.requests.get(phase.sourceRequestId);
  if (source === undefined || source.spec.workspaceId !== record.spec.workspaceId) return false;
  applyRequestSnapshot(state, step, record, requestSnapshot(source, record.ledger.tokens.length));
  return true;
}

/** Returns the progress of a request from an offset on. */
function requestSnapshot(source: RequestRecord, fromOffset: number): RequestSnapshot {
  const settled = phaseOf(source, 'settled');
  return {
    requestId: source.spec.requestId,
    workspaceId: source.spec.workspaceId,
    fromOffset,
    tokens: source.ledger.tokens.slice(fromOffset),
    outcome: settled?.outcome,
    reason: settled?.reason,
    status: settled?.status,
    answer: undefined,
  };
}

/** Answers a peer's look-up of a request. */
export function onLookup(
  state: BoxState,
  step: Step,
  from: string,
  message: Extract<PeerMessage, { kind: 'lookup' }>,
): void {
  const source = state.requests.get(message.requestId);
  const handedOver =
    source !== undefined && phaseOf(source, 'settled')?.reason === Reason.handedOver;
  if (source === undefined || handedOver || source.spec.workspaceId !== message.workspaceId) {
    const answer: PeerMessage = { kind: 'notHere', requestId: message.requestId };
    step.effects.push({ type: 'sendPeer', boxId: from, message: answer });
    return;
  }
  const sight = requestSnapshot(source, message.fromOffset);
  step.effects.push({ type: 'sendPeer', boxId: from, message: { kind: 'sight', sight } });
}

/** Applies a peer's answer to every request that follows the one looked up. */
export function onRequestSnapshot(
  state: BoxState,
  step: Step,
  from: string,
  snapshot: RequestSnapshot,
): void {
  for (const record of followersOf(state, snapshot.requestId)) {
    const phase = phaseOf(record, 'following');
    if (phase === undefined || record.spec.workspaceId !== snapshot.workspaceId) continue;
    phase.holderId = from;
    phase.giveUpAtMs = step.nowMs + state.settings.control.lookupTimeoutMs;
    applyRequestSnapshot(state, step, record, snapshot);
  }
}

/** Handles a holder that does not have the request any more; the other peers are asked next. */
export function onNotHere(state: BoxState, step: Step, from: string, requestId: string): void {
  for (const record of followersOf(state, requestId)) {
    const phase = phaseOf(record, 'following');
    if (phase?.holderId === from) onHolderLost(state, step, record, phase);
  }
}

function followersOf(state: BoxState, requestId: string): RequestRecord[] {
  const followers: RequestRecord[] = [];
  for (const id of state.unsettled) {
    const record = state.requests.get(id);
    if (record === undefined) continue;
    if (phaseOf(record, 'following')?.sourceRequestId === requestId) followers.push(record);
  }
  return followers;
}

function applyRequestSnapshot(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  snapshot: RequestSnapshot,
): void {
  const heldCount = record.ledger.tokens.length;
  if (snapshot.fromOffset > heldCount) return;
  for (const token of snapshot.tokens.slice(heldCount - snapshot.fromOffset))
    record.ledger.tokens.push(token);
  deliverNewTokens(step, record);
  if (snapshot.outcome === undefined) return;
  settle(state, step, record, {
    outcome: snapshot.outcome,
    reason: snapshot.reason ?? Reason.answered,
    status: snapshot.status,
    answer: snapshot.answer,
    attemptId: undefined,
  });
}

/** Lets a reconnected caller follow its request from the offset that it has reached. */
export function onFollowAsked(state: BoxState, step: Step, event: EventOf<'followAsked'>): void {
  const spec: RequestSpec = followerSpec(state, event);
  const record = createRecord(spec, step.nowMs);
  const source = state.requests.get(event.requestId);
  if (source !== undefined) source.callerGoneAtMs = undefined;
  addRecord(state, record);
  record.reconnectOffset = event.fromOffset;
  startFollowing(state, step, record, {
    sourceRequestId: event.requestId,
    holderId: undefined,
    storedOutcome: undefined,
    storedStatus: undefined,
  });
}

function followerSpec(state: BoxState, event: EventOf<'followAsked'>): RequestSpec {
  const FOLLOW_LIMIT_MS = 3_600_000;
  return {
    requestId: event.followId,
    workspaceId: event.workspaceId,
    requestClass: RequestClass.patient,
    kind: ServerKind.engine,
    pool: '',
    version: '',
    repeatable: true,
    idempotencyKey: undefined,
    digest: '',
    deadlineAtMs: state.nowMs + FOLLOW_LIMIT_MS,
    affinityHash: 0,
    promptTokens: 0,
    maxTokens: 0,
  };
}
