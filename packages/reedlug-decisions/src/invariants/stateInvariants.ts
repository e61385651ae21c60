/** Invariants of the state after an event. The counts are checked on some ticks only. */
import type { BoxState } from '../state.js';
import type { InvariantMemory } from './memory.js';
import { InvariantName, type Violation } from './violation.js';

/** Number of ticks between two checks of the counts, which visit all requests in progress. */
const COUNT_CHECK_INTERVAL_TICKS = 20;
/** Time after its deadline within which a request must have an outcome, in ms. */
const OUTCOME_GRACE_MS = 10_000;

/** Checks the state: revision and fence on every event, everything on some ticks. */
export function checkState(
  memory: InvariantMemory,
  state: BoxState,
  isTick: boolean,
): Violation | undefined {
  const violation = checkRevisionGrows(memory, state) ?? checkFenceGrows(memory, state);
  if (violation !== undefined || !isTick) return violation;
  memory.ticks += 1;
  if (memory.ticks % COUNT_CHECK_INTERVAL_TICKS !== 0) return undefined;
  return checkWorkspaceCounts(state) ?? checkServerCounts(state) ?? checkEveryOutcome(state);
}

function checkRevisionGrows(memory: InvariantMemory, state: BoxState): Violation | undefined {
  const { revision } = state.config;
  if (revision < memory.revision) {
    const detail = `revision ${revision} after ${memory.revision}`;
    return { name: InvariantName.revisionGrows, detail };
  }
  memory.revision = revision;
  return undefined;
}

function checkFenceGrows(memory: InvariantMemory, state: BoxState): Violation | undefined {
  const fence = state.lease.held?.fence;
  if (fence === undefined) return undefined;
  if (fence < memory.fence) {
    return { name: InvariantName.fenceGrows, detail: `fence ${fence} after ${memory.fence}` };
  }
  memory.fence = fence;
  return undefined;
}

function checkWorkspaceCounts(state: BoxState): Violation | undefined {
  let sum = 0;
  for (const [workspaceId, view] of state.workspaces) {
    if (view.inProgress < 0) {
      const detail = `workspace ${workspaceId} has ${view.inProgress} requests in progress`;
      return { name: InvariantName.countsAddUp, detail };
    }
    sum += view.inProgress;
  }
  if (sum === state.unsettled.size) return undefined;
  const detail = `workspaces have ${sum} requests in progress, the box ${state.unsettled.size}`;
  return { name: InvariantName.countsAddUp, detail };
}

function checkServerCounts(state: BoxState): Violation | undefined {
  let serverTotal = 0;
  for (const view of state.servers.values()) {
    serverTotal += view.openAttempts.size;
    if (view.pendingPrefillTokens < 0) {
      const detail = `${view.spec.id} has ${view.pendingPrefillTokens} prompt tokens pending`;
      return { name: InvariantName.countsAddUp, detail };
    }
  }
  let requestTotal = 0;
  for (const requestId of state.unsettled) {
    for (const attempt of state.requests.get(requestId)?.attempts ?? []) {
      if (attempt.open) requestTotal += 1;
    }
  }
  if (serverTotal === requestTotal) return undefined;
  const detail = `servers have ${serverTotal} open attempts, requests ${requestTotal}`;
  return { name: InvariantName.countsAddUp, detail };
}

function checkEveryOutcome(state: BoxState): Violation | undefined {
  for (const requestId of state.unsettled) {
    const record = state.requests.get(requestId);
    if (record === undefined) continue;
    const lateMs = state.nowMs - record.spec.deadlineAtMs;
    if (lateMs <= OUTCOME_GRACE_MS) continue;
    const detail = `request ${requestId} is ${record.phase.kind} ${lateMs} ms after its deadline`;
    return { name: InvariantName.everyOutcome, detail };
  }
  return undefined;
}
