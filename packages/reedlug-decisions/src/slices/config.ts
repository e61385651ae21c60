/**
 * Configuration: two readers a zone poll the revision log and push deltas to
 * the boxes of their zone; heartbeats carry the revision and whoever is behind asks.
 */
import {
  applyDeltas,
  applySnapshot,
  deltasAfter,
  liveInZone,
  takeSnapshot,
  type ConfigDelta,
  type ConfigSnapshot,
  type TableAnswer,
} from 'reedlug-coordination';
import type { PeerMessage } from '../types/peer.js';
import type { ConfirmedPlan } from '../types/plan.js';
import type { BoxState, Step } from '../state.js';
import { nextId } from '../state.js';
import { pendingConfirmsTick } from '../plans/confirm.js';
import { moveWatchTick } from '../plans/moveWatch.js';
import { log } from './log.js';
import { sendToZone } from './peerLinks.js';
import { updateCaughtUp } from './readiness.js';

/** Key prefix of the revision log in the table. */
export const CONFIG_LOG_PREFIX = 'config/log/';
/** Digits of a revision in its key, so that keys sort as numbers do. */
const REVISION_DIGITS = 12;
/** Deltas read or pushed at once. */
const MAX_DELTAS_PER_BATCH = 64;
/** Boxes a zone that poll the table. */
const READERS_PER_ZONE = 2;
/** Confirmed plans kept for `plans` and `undo`. */
const MAX_KEPT_PLANS = 200;

/** The value of a log row: a delta and what is needed to name and undo its plan. */
export interface ConfigLogValue {
  delta: ConfigDelta;
  plan: ConfirmedPlan;
}

/** The key of a revision in the log. */
export function configLogKey(revision: number): string {
  return CONFIG_LOG_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/** Polls the log when this box is a reader of its zone and a poll is due. */
export function configTick(state: BoxState, step: Step): void {
  pendingConfirmsTick(state, step);
  moveWatchTick(state, step);
  requestMissingDeltas(state, step);
  if (step.nowMs < state.nextConfigPollAtMs || state.configScanInFlight) return;
  state.nextConfigPollAtMs = step.nowMs + state.settings.control.configPollMs;
  if (isReader(state)) scanLog(state, step);
}

/** A reader by rank among the live boxes of the zone; a box that hears none is one itself. */
function isReader(state: BoxState): boolean {
  const { boxId, zone } = state.settings;
  const rank = liveInZone(state.boxMembers, zone).indexOf(boxId);
  return rank < READERS_PER_ZONE;
}

/** Reads the log after the applied revision. */
export function scanLog(state: BoxState, step: Step): void {
  const opId = nextId(state, 'op');
  state.configScanInFlight = true;
  state.tableOps.set(opId, { kind: 'configScan' });
  const afterKey = configLogKey(state.config.revision);
  const op = {
    kind: 'scan',
    prefix: CONFIG_LOG_PREFIX,
    afterKey,
    limit: MAX_DELTAS_PER_BATCH,
  } as const;
  step.effects.push({ type: 'requestTable', opId, op });
}

/** Takes the rows of a poll. */
export function onConfigScanned(state: BoxState, step: Step, answer: TableAnswer): void {
  state.configScanInFlight = false;
  if (answer.kind !== 'done') return;
  state.configSourceSeen = true;
  const values = answer.rows.map((row) => row.value as ConfigLogValue);
  for (const value of values) recordPlan(state, value.plan);
  acceptDeltas(
    state,
    step,
    values.map((value) => value.delta),
    true,
  );
  updateCaughtUp(state);
  if (answer.rows.length === MAX_DELTAS_PER_BATCH) scanLog(state, step);
  snapshotWhenDue(state, step);
}

/** Remembers a confirmed plan. */
export function recordPlan(state: BoxState, plan: ConfirmedPlan): void {
  if (state.confirmedPlans.some((known) => known.planId === plan.planId)) return;
  state.confirmedPlans.push(plan);
  if (state.confirmedPlans.length > MAX_KEPT_PLANS) state.confirmedPlans.shift();
}

/** Applies deltas and pushes to the peers what was new here. */
export function acceptDeltas(
  state: BoxState,
  step: Step,
  deltas: readonly ConfigDelta[],
  push: boolean,
): void {
  const applied = applyDeltas(state.config, deltas);
  if (state.mutations.has('applyOlderRevision')) applyOlderDelta(state, deltas);
  updateCaughtUp(state);
  if (applied.length === 0) return;
  log(step, 'configApplied', { revision: state.config.revision, deltas: applied.length });
  if (push) sendToZone(state, step, deltasMessage(state, applied));
}

function deltasMessage(state: BoxState, deltas: readonly ConfigDelta[]): PeerMessage {
  const revisions = new Set(deltas.map(({ revision }) => revision));
  const plans = state.confirmedPlans.filter(({ revision }) => revisions.has(revision));
  return { kind: 'configDeltas', deltas, plans };
}

/** The fault that the checker must find: a late delta is applied whatever its revision. */
function applyOlderDelta(state: BoxState, deltas: readonly ConfigDelta[]): void {
  const older = deltas.find((delta) => delta.revision < state.config.revision);
  if (older !== undefined) state.config.revision = older.revision;
}

/** Takes deltas that a peer pushed. */
export function onConfigDeltas(
  state: BoxState,
  step: Step,
  message: Extract<PeerMessage, { kind: 'configDeltas' }>,
): void {
  state.configSourceSeen = true;
  for (const plan of message.plans) recordPlan(state, plan);
  acceptDeltas(state, step, message.deltas, false);
}

/** Notes a peer's revision; a peer that is reachable makes a source. */
export function recordPeerRevision(state: BoxState, revision: number): void {
  state.configSourceSeen = true;
  state.config.highestHeard = Math.max(state.config.highestHeard, revision);
  updateCaughtUp(state);
}

/** Asks a peer that is ahead, when this box is behind what it has heard. */
function requestMissingDeltas(state: BoxState, step: Step): void {
  if (state.config.revision >= state.config.highestHeard) return;
  if (step.nowMs < state.nextCatchUpAtMs) return;
  state.nextCatchUpAtMs = step.nowMs + state.settings.control.configPollMs / 4;
  for (const [boxId, peer] of state.peers) {
    if (peer.revision <= state.config.revision) continue;
    const message: PeerMessage = { kind: 'configAsk', afterRevision: state.config.revision };
    step.effects.push({ type: 'sendPeer', boxId, message });
    return;
  }
}

/** Serves a peer that is behind: deltas while they are kept, else the whole state. */
export function onConfigAsk(
  state: BoxState,
  step: Step,
  from: string,
  afterRevision: number,
): void {
  const deltas = deltasAfter(state.config, afterRevision, MAX_DELTAS_PER_BATCH);
  const message: PeerMessage =
    deltas === undefined
      ? { kind: 'configSnapshot', snapshot: takeSnapshot(state.config) }
      : deltasMessage(state, deltas);
  step.effects.push({ type: 'sendPeer', boxId: from, message });
}

/** Takes a snapshot from a peer or from the object store. */
export function onConfigSnapshot(
  state: BoxState,
  step: Step,
  snapshot: ConfigSnapshot | undefined,
): void {
  if (snapshot === undefined) return;
  state.configSourceSeen = true;
  if (!applySnapshot(state.config, snapshot)) return;
  state.lastSnapshotRevision = Math.max(state.lastSnapshotRevision, snapshot.revision);
  updateCaughtUp(state);
  log(step, 'configSnapshotApplied', { revision: snapshot.revision });
}

/** Writes a snapshot every so many revisions, so that a fresh box reads little of the log. */
function snapshotWhenDue(state: BoxState, step: Step): void {
  const { snapshotEveryRevisions } = state.settings.control;
  if (state.config.revision < state.lastSnapshotRevision + snapshotEveryRevisions) return;
  state.lastSnapshotRevision = state.config.revision;
  step.effects.push({ type: 'writeSnapshot', snapshot: takeSnapshot(state.config) });
}
