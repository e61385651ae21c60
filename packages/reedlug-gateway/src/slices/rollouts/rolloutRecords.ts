/**
 * Records of roll-outs in the shared table, written by the holder of the duty lease.
 *
 * A record holds the phase of a roll-out, for boxes that start and for the next
 * holder; a final phase is never overwritten. Each write is conditional on the
 * record's version, so a holder that has lost the lease without knowing it
 * cannot overwrite what the next one wrote.
 */
import { eraOf, type TableRow } from 'reedlug-coordination';
import { isUsableDuration, laterPhase } from '../../policy/rolloutStep.js';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import type { EventOf, TablePurpose } from '../../types/event.js';
import {
  ROLLOUT_KEY_PREFIX,
  RolloutPhase,
  type RolloutRecord,
  type RolloutView,
} from '../../types/rollout.js';
import { fleetDiscoveredAtMs } from '../peers/fleet.js';
import { dutyFence } from '../store/dutyLease.js';
import { blockedVersionsAfter, enterPhase, isFinished } from './rollouts.js';
import { isArrayOf, isFiniteNumber, isText } from '../store/rowValues.js';
import { rowsOf } from '../store/tableRows.js';

/** Interval between table calls for one roll-out, in ms: the store usually answers within a few ms, and a busy store is called again. */
const TABLE_CALL_INTERVAL_MS = 250;
/** The same for a box that starts and does not hold the lease, in ms: many of them start at once. */
const START_READ_INTERVAL_MS = 1000;

/** Reads and writes the records while this box holds the lease; another box reads them once after its start. */
export function rolloutRecordsTick(state: GatewayState, step: Step): void {
  if (state.rollouts.size === 0) return;
  const isHolder = dutyFence(state, step.nowMs) !== undefined;
  for (const view of state.rollouts.values()) {
    if (step.nowMs - view.requestedAtMs < TABLE_CALL_INTERVAL_MS) continue;
    if (!isUsableDuration(view.order.durationMs)) continue;
    if (isHolder) updateRecord(state, step, view);
    else if (needsRecord(state, step, view)) readRecord(step, view);
  }
}

/**
 * Returns whether a box that does not hold the lease reads a record. After a loss of all boxes nobody tells it
 * how a roll-out ended until one has taken the lease, and until then the version that carries the load gets nothing.
 */
function needsRecord(state: GatewayState, step: Step, view: RolloutView): boolean {
  if (step.nowMs - view.requestedAtMs < START_READ_INTERVAL_MS) return false;
  const isStarting = step.nowMs < fleetDiscoveredAtMs(state) && state.hubId === undefined;
  return isStarting && view.phase === RolloutPhase.held && view.recordVersion === undefined;
}

function readRecord(step: Step, view: RolloutView): void {
  view.requestedAtMs = step.nowMs;
  const keys = [recordKey(view.order.service)];
  requestTable(step, purposeOf(view), { kind: 'read', keys });
}

function purposeOf({ order }: RolloutView): Extract<TablePurpose, { kind: 'rollout' }> {
  return { kind: 'rollout', service: order.service, revision: order.revision };
}

function updateRecord(state: GatewayState, step: Step, view: RolloutView): void {
  const phase = phaseToWrite(view);
  if (phase === undefined) return;
  if (view.recordVersion === undefined) return readRecord(step, view);
  view.requestedAtMs = step.nowMs;
  const key = recordKey(view.order.service);
  const value = recordOf(state, view, phase);
  const write = { key, expectVersion: view.recordVersion, value };
  requestTable(step, purposeOf(view), { kind: 'transact', writes: [write] });
}

function recordKey(service: string): string {
  return `${ROLLOUT_KEY_PREFIX}${service}`;
}

/** Returns the phase that the record lacks; undefined when the record is up to date. */
function phaseToWrite(view: RolloutView): RolloutPhase | undefined {
  if (view.recordVersion === undefined) return view.phase;
  const { phase, wantsCompletion, recordedPhase } = view;
  if (isFinished(view)) return recordedPhase === phase ? undefined : phase;
  if (wantsCompletion) return RolloutPhase.completed;
  // Phases in between are only exchanged between boxes; after a loss of all boxes a roll-out restarts with the small sample.
  return recordedPhase === undefined ? RolloutPhase.sampling : undefined;
}

function recordOf(state: GatewayState, view: RolloutView, phase: RolloutPhase): RolloutRecord {
  const { order, barred, orderedAtMs } = view;
  return {
    revision: order.revision,
    targetVersion: order.targetVersion,
    phase,
    orderedAtStoreMs: Math.round(orderedAtMs - (state.storeEpochMs ?? 0)),
    barred,
  };
}

/** Handles the table's answer. */
export function onRolloutRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  purpose: { service: string; revision: number },
): void {
  const view = state.rollouts.get(purpose.service);
  if (view === undefined || view.order.revision !== purpose.revision) return;
  const { answer } = event;
  const rows = rowsOf(answer);
  if (rows === undefined) {
    // The write may have been applied, so the record is read before the next write.
    view.recordVersion = undefined;
    log(step, 'rolloutRecordUnknown', { service: purpose.service, answer: answer.kind });
    return;
  }
  applyRecord(
    state,
    step,
    view,
    rows.find(({ key }) => key === recordKey(purpose.service)),
  );
}

function applyRecord(
  state: GatewayState,
  step: Step,
  view: RolloutView,
  row: TableRow | undefined,
): void {
  view.recordVersion = row?.version ?? 0;
  const record = row?.value;
  if (!isRolloutRecord(record)) return;
  if (!isOfOrder(view, record)) return applyEarlierRecord(view, record);
  view.recordedPhase = record.phase;
  view.barred = record.barred;
  const { storeEpochMs } = state;
  if (storeEpochMs !== undefined) {
    view.orderedAtMs = Math.min(view.orderedAtMs, record.orderedAtStoreMs + storeEpochMs);
  }
  enterPhase(step, view, laterPhase(view.phase, record.phase), { source: 'table' });
}

/** Whether the value of a row is a record. */
function isRolloutRecord(value: unknown): value is RolloutRecord {
  if (typeof value !== 'object' || value === null) return false;
  const { revision, targetVersion, phase, orderedAtStoreMs, barred } =
    value as Partial<RolloutRecord>;
  if (!isFiniteNumber(revision) || !isFiniteNumber(orderedAtStoreMs)) return false;
  if (!isText(targetVersion) || !isArrayOf(barred, isText)) return false;
  return Object.values(RolloutPhase).some((known) => known === phase);
}

/** Returns whether a record belongs to an order. An order that was written again after the store lost it has another revision than its record. */
function isOfOrder({ order, earlierRevisions }: RolloutView, record: RolloutRecord): boolean {
  if (record.revision === order.revision) return true;
  if (earlierRevisions.includes(record.revision)) return false;
  return (
    record.targetVersion === order.targetVersion && eraOf(record.revision) < eraOf(order.revision)
  );
}

/** Applies the record of an earlier order, which this one follows: a version whose roll-out was not completed stays blocked. */
function applyEarlierRecord(view: RolloutView, record: RolloutRecord): void {
  view.barred = blockedVersionsAfter({
    barred: [...view.barred, ...record.barred],
    earlier: record,
    targetVersion: view.order.targetVersion,
  });
}
