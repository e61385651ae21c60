/** Invariants over the state after an event; the sums are checked on some ticks only. */
import type { BoxState } from '../state.js';
import type { InvariantMemory } from './memory.js';
import { InvariantName, type Violation } from './violation.js';

/** Ticks between two checks of the sums, which walk all requests in progress. */
const SUMS_EVERY_TICKS = 20;
/** How long after its deadline a request may still wait for its outcome, in ms. */
const OUTCOME_SLACK_MS = 10_000;

/** Checks the state; cheap on every event, thorough on some ticks. */
export function checkState(
  memory: InvariantMemory,
  state: BoxState,
  isTick: boolean,
): Violation | undefined {
  const grown = revisionGrows(memory, state) ?? fenceGrows(memory, state);
  if (grown !== undefined || !isTick) return grown;
  memory.ticks += 1;
  if (memory.ticks % SUMS_EVERY_TICKS !== 0) return undefined;
  return workspaceSums(state) ?? serverSums(state) ?? everyOutcome(state);
}

function revisionGrows(memory: InvariantMemory, state: BoxState): Violation | undefined {
  const { revision } = state.config;
  if (revision < memory.revision) {
    const detail = `revision ${revision} after ${memory.revision}`;
    return { name: InvariantName.revisionGrows, detail };
  }
  memory.revision = revision;
  return undefined;
}

function fenceGrows(memory: InvariantMemory, state: BoxState): Violation | undefined {
  const fence = state.lease.held?.fence;
  if (fence === undefined) return undefined;
  if (fence < memory.fence) {
    return { name: InvariantName.fenceGrows, detail: `fence ${fence} after ${memory.fence}` };
  }
  memory.fence = fence;
  return undefined;
}

function workspaceSums(state: BoxState): Violation | undefined {
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

function serverSums(state: BoxState): Violation | undefined {
  let atServers = 0;
  for (const view of state.servers.values()) {
    atServers += view.openAttempts.size;
    if (view.pendingPrefillTokens < 0) {
      const detail = `${view.spec.id} has ${view.pendingPrefillTokens} prompt tokens pending`;
      return { name: InvariantName.countsAddUp, detail };
    }
  }
  let ofRequests = 0;
  for (const requestId of state.unsettled) {
    for (const attempt of state.requests.get(requestId)?.attempts ?? []) {
      if (attempt.open) ofRequests += 1;
    }
  }
  if (atServers === ofRequests) return undefined;
  const detail = `servers have ${atServers} open attempts, requests ${ofRequests}`;
  return { name: InvariantName.countsAddUp, detail };
}

function everyOutcome(state: BoxState): Violation | undefined {
  for (const requestId of state.unsettled) {
    const record = state.requests.get(requestId);
    if (record === undefined) continue;
    const lateMs = state.nowMs - record.spec.deadlineAtMs;
    if (lateMs <= OUTCOME_SLACK_MS) continue;
    const detail = `request ${requestId} is ${record.phase.kind} ${lateMs} ms after its deadline`;
    return { name: InvariantName.everyOutcome, detail };
  }
  return undefined;
}
