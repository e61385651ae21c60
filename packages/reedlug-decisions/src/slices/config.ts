/**
 * Configuration: readers of the revision log push its deltas to the boxes of their zone, and boxes
 * answer peers that lack some.
 */
import {
  applyDeltas,
  applySnapshot,
  deltasAfter,
  takeSnapshot,
  type ConfigDelta,
  type ConfigSnapshot,
  type TableAnswer,
} from 'reedlug-coordination';
import type { PeerMessage } from '../types/peer.js';
import type { ConfirmedPlan } from '../types/plan.js';
import type { BoxState, Step } from '../state.js';
import { nextId } from '../state.js';
import { log } from './log.js';
import { sendToZone } from './peerRecipients.js';
import { updateCaughtUp } from './readiness.js';

/** Key prefix of the revision log in the table. */
export const CONFIG_LOG_PREFIX = 'config/log/';
/** Number of digits of a revision in its key; the padding makes keys sort numerically. */
const REVISION_DIGITS = 12;
/** Maximum number of deltas in one scan or message. */
const MAX_DELTAS_PER_BATCH = 64;
/** Maximum number of confirmed plans kept for `plans` and `undo`. */
const MAX_KEPT_PLANS = 200;

/** The value of a log row: a delta, and the data that identifies and undoes its plan. */
export interface ConfigLogValue {
  delta: ConfigDelta;
  plan: ConfirmedPlan;
}

/** Returns the key of a revision in the log. */
export function configLogKey(revision: number): string {
  return CONFIG_LOG_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/** Requests the log rows after the applied revision. */
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

/** Applies the rows of a scan, and scans again if there may be more. */
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

/** Records a confirmed plan; the oldest one is dropped above the limit. */
export function recordPlan(state: BoxState, plan: ConfirmedPlan): void {
  if (state.confirmedPlans.some((known) => known.planId === plan.planId)) return;
  state.confirmedPlans.push(plan);
  if (state.confirmedPlans.length > MAX_KEPT_PLANS) state.confirmedPlans.shift();
}

/** Applies deltas and optionally pushes those that were new to the boxes of the zone. */
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

/** Injected fault that the checker must find: applies a delta older than the current revision. */
function applyOlderDelta(state: BoxState, deltas: readonly ConfigDelta[]): void {
  const older = deltas.find((delta) => delta.revision < state.config.revision);
  if (older !== undefined) state.config.revision = older.revision;
}

/** Applies deltas that a peer pushed. */
export function onConfigDeltas(
  state: BoxState,
  step: Step,
  message: Extract<PeerMessage, { kind: 'configDeltas' }>,
): void {
  state.configSourceSeen = true;
  for (const plan of message.plans) recordPlan(state, plan);
  acceptDeltas(state, step, message.deltas, false);
}

/** Records a peer's revision; a reachable peer counts as a source of the configuration. */
export function recordPeerRevision(state: BoxState, revision: number): void {
  state.configSourceSeen = true;
  state.config.highestKnownRevision = Math.max(state.config.highestKnownRevision, revision);
  updateCaughtUp(state);
}

/** Sends a peer that is behind the missing deltas, or a snapshot if they are no longer kept. */
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

/** Applies a snapshot from a peer or from the object store. */
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

/** Writes a snapshot after a number of revisions, so that a new box reads little of the log. */
function snapshotWhenDue(state: BoxState, step: Step): void {
  const { snapshotEveryRevisions } = state.settings.control;
  if (state.config.revision < state.lastSnapshotRevision + snapshotEveryRevisions) return;
  state.lastSnapshotRevision = state.config.revision;
  step.effects.push({ type: 'writeSnapshot', snapshot: takeSnapshot(state.config) });
}
