/**
 * Usage: how many requests of each workspace began in each window.
 *
 * Boxes tell each other their counts. The holder of the lease enters the sum of
 * a window in a row that is written once, and reports just what the row says
 * once all boxes have heard it, so two holders never report different figures.
 * A checkpoint of the counts in the store outlives a loss of all boxes.
 */
import type { EventOf } from '../types/event.js';
import { CHECKPOINT_KEY, type CheckpointRow } from '../types/checkpoint.js';
import type { RequestRecord } from '../types/request.js';
import { log, requestTable, type GatewayState, type Step } from '../state.js';
import type { UsageDecisionGossip } from '../types/peer.js';
import type { UsageCounts, UsageWindow } from '../types/views.js';
import { agreedWallClockMs } from './clock.js';
import { dropLease, dutyFence } from './dutyLease.js';
import {
  eraSinceWallMs,
  isDue,
  isTold,
  mayDecide,
  mergeDecision,
  noteDecision,
  noteReported,
} from './usageDecisions.js';

/** Pause before a row or a report is tried again, in ms. */
const RETRY_MS = 700;
/** Windows kept besides the current one: until the report is due, and one more. */
const KEPT_WINDOWS = 4;
/** Windows told to peers: the current one and the one before. */
const TOLD_WINDOWS = 2;
/** Pause between checkpoints, in ms: a tenth of the shortest window, against the price of a call. */
const CHECKPOINT_MS = 500;
/** Bytes of counts that a checkpoint holds at most: a row takes 64 KiB; limits, and the names of windows and workspaces, come on top. */
const CHECKPOINT_BYTES = 48 * 1024;

/** Counts a request once, in the window in which it began to run. */
export function countBegun(state: GatewayState, step: Step, record: RequestRecord): void {
  if (record.counted || record.workspace === undefined) return;
  record.counted = true;
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return;
  const window = Math.floor(agreedWallClockMs(state, step) / usageWindowMs);
  const own = ownKey(state);
  const counts = windowOf(state, window).byBox.get(own) ?? {};
  const count = (counts[record.workspace] ?? 0) + 1;
  windowOf(state, window).byBox.set(own, { ...counts, [record.workspace]: count });
  state.usageChanged = true;
}

function ownKey(state: GatewayState): string {
  return `${state.settings.box.id}/${state.incarnation}`;
}

function windowOf(state: GatewayState, window: number): UsageWindow {
  const known = state.usage.get(window);
  if (known !== undefined) return known;
  const created: UsageWindow = {
    window,
    byBox: new Map(),
    decided: undefined,
    decidedAtMs: Number.NEGATIVE_INFINITY,
    reported: false,
    announcedUntilMs: Number.NEGATIVE_INFINITY,
    isOmissionLogged: false,
    requestedAtMs: Number.NEGATIVE_INFINITY,
    callId: 0,
  };
  state.usage.set(window, created);
  return created;
}

/** This box's counts of the newest windows, for its peers. */
export function ownUsage(state: GatewayState, step: Step): Record<string, UsageCounts> {
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return {};
  const current = Math.floor(agreedWallClockMs(state, step) / usageWindowMs);
  const own: Record<string, UsageCounts> = {};
  for (const { window, byBox } of state.usage.values()) {
    const counts = byBox.get(ownKey(state));
    if (counts !== undefined && window > current - TOLD_WINDOWS) own[window] = counts;
  }
  return own;
}

/** Takes a box's counts; counts only grow, so the greater figure is the newer. */
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

/** Takes what a peer knows to be decided, for the windows that are still kept. */
export function mergeDecisions(
  state: GatewayState,
  step: Step,
  decisions: readonly UsageDecisionGossip[],
): void {
  const { usageWindowMs } = state.settings.bounds;
  if (usageWindowMs === 0) return;
  const oldest = Math.floor(agreedWallClockMs(state, step) / usageWindowMs) - KEPT_WINDOWS;
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
  if (usageWindowMs === 0 || state.settings.cloud?.reportsUsage !== true) return;
  const wallMs = agreedWallClockMs(state, step);
  const current = Math.floor(wallMs / usageWindowMs);
  for (const window of state.usage.keys()) {
    if (window < current - KEPT_WINDOWS) state.usage.delete(window);
  }
  const fence = dutyFence(state, step.nowMs);
  if (fence === undefined || state.agreedClockOffsetMs === undefined) return;
  writeCheckpoint(state, step, fence);
  // What the holder before has counted, maybe of boxes that are gone, must be known first.
  if (state.checkpointFence !== fence) return;
  for (const entry of state.usage.values()) {
    if (isDue(state, step, entry)) advanceWindow(state, step, entry, fence);
  }
}

function advanceWindow(state: GatewayState, step: Step, entry: UsageWindow, fence: number): void {
  if (entry.reported || step.nowMs - entry.requestedAtMs < RETRY_MS) return;
  if (entry.decided === undefined) return decide(state, step, entry);
  if (!isTold(entry, step.nowMs)) return;
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

/** Takes the row that fixes what is reported for a window. */
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
  if (row?.value === undefined) return;
  // It was asked in an era in which this box could decide, and may be written in the next one.
  if (!mayDecide(state, step, entry)) return;
  const counts = row.value as UsageCounts;
  noteDecision(step, entry, counts);
  entry.requestedAtMs = Number.NEGATIVE_INFINITY;
  log(step, 'usageDecided', { window, requests: total(counts), answer: answer.kind });
}

/** Takes the platform's answer to a report. */
export function onUsageAnswered(
  state: GatewayState,
  step: Step,
  event: EventOf<'cloudAnswered'>,
): void {
  for (const entry of state.usage.values()) {
    if (entry.callId !== event.callId || entry.reported) continue;
    log(step, 'usageReported', { window: entry.window, outcome: event.outcome });
    if (event.outcome === 'done') noteReported(step, entry);
    if (event.outcome === 'fenced') dropLease(state, step);
  }
}

/** Writes the counts; a new holder does so at once, since a conflict brings those of the one before. */
function writeCheckpoint(state: GatewayState, step: Step, fence: number): void {
  const isNeeded = state.usageChanged || state.checkpointFence !== fence;
  if (!isNeeded || step.nowMs - state.checkpointAtMs < CHECKPOINT_MS) return;
  state.checkpointAtMs = step.nowMs;
  state.usageChanged = false;
  const value = checkpointOf(state, step);
  const writes = [{ key: CHECKPOINT_KEY, expectVersion: state.checkpointVersion, value }];
  requestTable(step, { kind: 'checkpoint' }, { kind: 'transact', writes });
}

/** The counts of boxes by window; a window that is entered in its own row needs only its name. */
function checkpointOf(state: GatewayState, step: Step): CheckpointRow {
  const workspaces = state.active?.configuration.workspaces.map(({ name }) => name) ?? [];
  const windows: Record<string, Record<string, number[]>> = {};
  let bytesLeft = CHECKPOINT_BYTES;
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
  const sinceWallMs = eraSinceWallMs(state, step);
  const { storeEra: number = 0 } = state;
  return { workspaces, windows, ...(number === 0 ? {} : { era: { number, sinceWallMs } }) };
}

/** Forgets which checkpoint stands: the store came back, and the next write brings what it has. */
export function forgetCheckpoint(state: GatewayState): void {
  state.checkpointVersion = 0;
  state.checkpointFence = undefined;
}

/** Learns the checkpoint's version; after a conflict, takes the counts of whoever wrote it. */
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
  if (answer.kind === 'done' || row.value === undefined) return;
  const { workspaces, windows, era } = row.value as CheckpointRow;
  if (era?.number === state.storeEra && era !== undefined) {
    const { eraKnown: eraKnown } = state;
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
