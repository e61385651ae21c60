/**
 * Usage: how many requests of each workspace started in each window.
 *
 * Boxes send each other their counts. The holder of the lease, which is the one box that acts for the
 * fleet, enters the sum of a window in a row that is written once. It reports exactly what the row says
 * after all boxes have received it, so two holders never report different figures. A checkpoint of the
 * counts in the store survives a loss of all boxes.
 */
import type { EventOf } from '../../types/event.js';
import { CHECKPOINT_KEY, type CheckpointRow } from '../../types/checkpoint.js';
import type { RequestRecord } from '../../types/request.js';
import { log, requestTable, type GatewayState, type Step } from '../../state.js';
import type { UsageDecisionGossip } from '../../types/peer.js';
import type { UnplacedCount, UsageCounts, UsageWindow } from '../../types/views.js';
import { agreedWallClockMs } from '../store/clock.js';
import { isArrayOf, isFiniteNumber, isRecordOf, isText } from '../store/rowValues.js';
import { dropLease, dutyFence } from '../store/dutyLease.js';
import { countUnplaced, hasAgreedClock, takeUnplaced } from './unplacedUsage.js';
import {
  eraSinceWallClockMs,
  isDue,
  isAnnounced,
  mayDecide,
  mergeDecision,
  recordDecision,
  recordReported,
} from './usageDecisions.js';

/** Delay before the write of a row or a report is retried, in ms. */
const RETRY_MS = 700;
/** Number of windows kept besides the current one: until the report is due, and one more. */
const RETAINED_WINDOWS = 4;
/**
 * Number of windows whose counts are sent to peers: the current one, and two that may not be
 * decided yet while boxes were silent.
 */
const ANNOUNCED_WINDOWS = 3;
/** Minimum interval between checkpoints, in ms; a tenth of the shortest window, to limit the cost of calls. */
const CHECKPOINT_INTERVAL_MS = 500;
/** Maximum size of the counts in a checkpoint, in bytes. A row holds 64 KiB, and limits and the names of windows and workspaces need space as well. */
const MAX_CHECKPOINT_BYTES = 48 * 1024;

/** Counts a request once, in the window in which it started to run. */
export function countStarted(state: GatewayState, step: Step, record: RequestRecord): void {
  if (record.counted || record.workspace === undefined) return;
  record.counted = true;
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return;
  const { workspace } = record;
  const { nowMs } = step;
  if (!hasAgreedClock(state) && countUnplaced(state, { workspace, nowMs })) return;
  addCount(state, step, { atMs: nowMs, workspace, count: 1 });
}

/** Adds starts to the window of their time, by the agreed clock. */
function addCount(state: GatewayState, step: Step, added: UnplacedCount): void {
  const wallClockMs = agreedWallClockMs(state, step) - (step.nowMs - added.atMs);
  const { byBox } = windowOf(state, Math.floor(wallClockMs / state.settings.bounds.usageWindowMs));
  const own = ownKey(state);
  const counts = byBox.get(own) ?? {};
  const count = (counts[added.workspace] ?? 0) + added.count;
  byBox.set(own, { ...counts, [added.workspace]: count });
  state.usageChanged = true;
}

function ownKey(state: GatewayState): string {
  return `${state.settings.box.id}/${state.incarnation}`;
}

/** Returns a window without counts. */
export function createUsageWindow(window: number): UsageWindow {
  return {
    window,
    byBox: new Map(),
    decided: undefined,
    decidedAtMs: Number.NEGATIVE_INFINITY,
    reported: false,
    announcedUntilMs: Number.NEGATIVE_INFINITY,
    isOmissionLogged: false,
    isDelayLogged: false,
    requestedAtMs: Number.NEGATIVE_INFINITY,
    callId: 0,
  };
}

function windowOf(state: GatewayState, window: number): UsageWindow {
  const known = state.usage.get(window);
  if (known !== undefined) return known;
  const created = createUsageWindow(window);
  state.usage.set(window, created);
  return created;
}

/** Returns this box's counts of the newest windows, for its peers. */
export function ownUsage(state: GatewayState, step: Step): Record<string, UsageCounts> {
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return {};
  const current = Math.floor(agreedWallClockMs(state, step) / usageWindowMs);
  const own: Record<string, UsageCounts> = {};
  for (const { window, byBox } of state.usage.values()) {
    const counts = byBox.get(ownKey(state));
    if (counts !== undefined && window > current - ANNOUNCED_WINDOWS) own[window] = counts;
  }
  return own;
}

/** Merges the counts of a box. Counts only grow, so the greater total is the newer one. */
export function mergeUsage(
  state: GatewayState,
  boxKey: string,
  usage: Readonly<Record<string, UsageCounts>>,
): void {
  for (const [window, counts] of Object.entries(usage)) {
    const { byBox } = windowOf(state, Number(window));
    const known = byBox.get(boxKey);
    if (known === undefined || total(counts) > total(known)) {
      byBox.set(boxKey, counts);
      state.usageChanged = true;
    }
  }
}

/** Merges the decisions that a peer knows, for the windows that are still kept. */
export function mergeDecisions(
  state: GatewayState,
  step: Step,
  decisions: readonly UsageDecisionGossip[],
): void {
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return;
  const oldest = Math.floor(agreedWallClockMs(state, step) / usageWindowMs) - RETAINED_WINDOWS;
  for (const decision of decisions) {
    if (decision.window < oldest) continue;
    mergeDecision(step, windowOf(state, decision.window), decision);
  }
}

function total(counts: UsageCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** Reports finished windows and writes the checkpoint, while this box holds the lease. */
export function usageTick(state: GatewayState, step: Step): void {
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return;
  for (const unplaced of takeUnplaced(state)) addCount(state, step, unplaced);
  if (state.settings.cloud?.reportsUsage !== true) return;
  const wallClockMs = agreedWallClockMs(state, step);
  const current = Math.floor(wallClockMs / usageWindowMs);
  for (const window of state.usage.keys()) {
    if (window < current - RETAINED_WINDOWS) state.usage.delete(window);
  }
  const fence = dutyFence(state, step.nowMs);
  if (fence === undefined || state.agreedClockOffsetMs === undefined) return;
  writeCheckpoint(state, step, fence);
  // The counts of the previous holder, which may include boxes that are gone, must be known first.
  if (state.checkpointFence !== fence) return;
  for (const entry of state.usage.values()) {
    if (isDue(state, step, entry)) advanceWindow(state, step, entry, fence);
  }
}

function advanceWindow(state: GatewayState, step: Step, entry: UsageWindow, fence: number): void {
  if (entry.reported || step.nowMs - entry.requestedAtMs < RETRY_MS) return;
  if (entry.decided === undefined) return decide(state, step, entry);
  if (!isAnnounced(entry, step.nowMs)) return;
  entry.requestedAtMs = step.nowMs;
  entry.callId = state.nextCallId;
  state.nextCallId += 1;
  step.effects.push({
    type: 'callCloud',
    callId: entry.callId,
    call: { kind: 'reportUsage', window: entry.window, counts: entry.decided },
    fence,
  });
}

function decide(state: GatewayState, step: Step, entry: UsageWindow): void {
  const { window } = entry;
  if (!mayDecide(state, step, entry)) {
    if (!entry.isOmissionLogged) log(step, 'usageLeftOut', { window, reason: 'mayBeReported' });
    entry.isOmissionLogged = true;
    return;
  }
  entry.requestedAtMs = step.nowMs;
  const writes = [{ key: reportKey(window), expectVersion: 0, value: sumOf(entry) }];
  requestTable(step, { kind: 'usage', window }, { kind: 'transact', writes });
}

function reportKey(window: number): string {
  return `usage-report-${window}`;
}

function sumOf(entry: UsageWindow): UsageCounts {
  const sum: Record<string, number> = {};
  for (const counts of entry.byBox.values()) {
    for (const [workspace, count] of Object.entries(counts)) {
      sum[workspace] = (sum[workspace] ?? 0) + count;
    }
  }
  return sum;
}

/** Applies the row that fixes what is reported for a window. */
export function onUsageRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
  window: number,
): void {
  const entry = state.usage.get(window);
  const { answer } = event;
  if (entry === undefined || entry.decided !== undefined || answer.kind === 'unknown') return;
  const row = answer.rows.find((candidate) => candidate.key === reportKey(window));
  if (row === undefined || !isRecordOf(row.value, isFiniteNumber)) return;
  // If the store was restored between the request and its answer, this box may no longer be allowed to decide.
  if (!mayDecide(state, step, entry)) return;
  const counts = row.value;
  recordDecision(step, entry, counts);
  entry.requestedAtMs = Number.NEGATIVE_INFINITY;
  log(step, 'usageDecided', { window, requests: total(counts), answer: answer.kind });
}

/** Handles the answer of the platform to a report. */
export function onUsageAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'cloudAnswered'>,
): void {
  for (const entry of state.usage.values()) {
    if (entry.callId !== event.callId || entry.reported) continue;
    log(step, 'usageReported', { window: entry.window, outcome: event.outcome });
    if (event.outcome === 'done') recordReported(step, entry);
    if (event.outcome === 'fenced') dropLease(state, step);
  }
}

/** Writes the counts. A new holder writes even without changes, since the conflict returns the counts of the previous holder. */
function writeCheckpoint(state: GatewayState, step: Step, fence: number): void {
  const isNeeded = state.usageChanged || state.checkpointFence !== fence;
  if (!isNeeded || step.nowMs - state.checkpointAtMs < CHECKPOINT_INTERVAL_MS) return;
  state.checkpointAtMs = step.nowMs;
  state.usageChanged = false;
  const value = checkpointOf(state, step);
  const writes = [{ key: CHECKPOINT_KEY, expectVersion: state.checkpointVersion, value }];
  requestTable(step, { kind: 'checkpoint' }, { kind: 'transact', writes });
}

/** Returns the counts of boxes by window. A window with a row of its own is listed without counts. */
function checkpointOf(state: GatewayState, step: Step): CheckpointRow {
  const workspaces = state.active?.configuration.workspaces.map(({ name }) => name) ?? [];
  const windows: Record<string, Record<string, number[]>> = {};
  let bytesLeft = MAX_CHECKPOINT_BYTES;
  const newestFirst = [...state.usage.values()].sort((a, b) => b.window - a.window);
  for (const { window, byBox, reported, decided } of newestFirst) {
    if (reported) continue;
    const boxes: Record<string, number[]> = {};
    for (const [box, counts] of decided === undefined ? byBox : []) {
      const inOrder = workspaces.map((name) => counts[name] ?? 0);
      bytesLeft -= JSON.stringify([box, inOrder]).length;
      if (bytesLeft > 0) boxes[box] = inOrder;
    }
    windows[window] = boxes;
  }
  const sinceWallMs = eraSinceWallClockMs(state, step);
  const { storeEra: number = 0 } = state;
  return { workspaces, windows, ...(number === 0 ? {} : { era: { number, sinceWallMs } }) };
}

/**
 * Resets the known version of the checkpoint after the store was restored from a backup. The next write then
 * conflicts if the store holds a checkpoint, and returns it.
 */
export function forgetCheckpoint(state: GatewayState): void {
  state.checkpointVersion = 0;
  state.checkpointFence = undefined;
}

/** Whether the value of a row is a checkpoint. */
function isCheckpointRow(value: unknown): value is CheckpointRow {
  if (typeof value !== 'object' || value === null) return false;
  const { workspaces, windows, era } = value as Partial<CheckpointRow>;
  const isCounts = (item: unknown): item is readonly number[] => isArrayOf(item, isFiniteNumber);
  const isByBox = (item: unknown): item is Readonly<Record<string, readonly number[]>> =>
    isRecordOf(item, isCounts);
  if (!isArrayOf(workspaces, isText) || !isRecordOf(windows, isByBox)) return false;
  return era === undefined || isRecordOf(era, isFiniteNumber);
}

/** Records the version of the checkpoint and, after a conflict, merges the counts of the box that wrote it. */
export function onCheckpointRow(
  state: GatewayState,
  step: Step,
  event: EventOf<'tableAnswered'>,
): void {
  const { answer } = event;
  if (answer.kind === 'unknown') return;
  const row = answer.rows.find((candidate) => candidate.key === CHECKPOINT_KEY);
  if (row === undefined) return;
  state.checkpointVersion = row.version;
  state.checkpointFence = dutyFence(state, step.nowMs);
  if (answer.kind === 'done' || !isCheckpointRow(row.value)) return;
  const { workspaces, windows, era } = row.value;
  if (era?.number === state.storeEra && era !== undefined) {
    const { eraKnown } = state;
    eraKnown.reportedSinceWallClockMs = Math.min(
      eraKnown.reportedSinceWallClockMs,
      era.sinceWallMs,
    );
  }
  for (const [window, byBox] of Object.entries(windows)) {
    windowOf(state, Number(window));
    for (const [boxKey, inOrder] of Object.entries(byBox)) {
      const counts = Object.fromEntries(workspaces.map((name, at) => [name, inOrder[at] ?? 0]));
      mergeUsage(state, boxKey, { [window]: counts });
    }
  }
  state.usageChanged = true;
  log(step, 'checkpointTaken', { windows: Object.keys(windows).length });
}
