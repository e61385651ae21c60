/** Records of requests: creation, look-up and phases. */
import { createAttemptLedger, Reach } from 'reedlug-coordination';
import type { RequestPhase, RequestRecord, RequestSpec } from '../types/request.js';
import type { BoxState } from '../state.js';
import { workspaceView } from './limits.js';

/** Fixed cost of a request in addition to its tokens, in prompt tokens. */
const REQUEST_BASE_COST = 16;
/** Cost of a generated token, in prompt tokens. */
export const GENERATED_TOKEN_COST = 4;

/** Creates the record of an accepted request. */
export function createRecord(spec: RequestSpec, nowMs: number): RequestRecord {
  return {
    spec,
    arrivedAtMs: nowMs,
    phase: { kind: 'queued', sinceMs: nowMs, notBeforeMs: nowMs },
    attempts: [],
    ledger: createAttemptLedger(),
    deliveredCount: 0,
    claimHeld: false,
    claimVersion: 0,
    kvTicket: undefined,
    avoidedServers: new Set(),
    cachedTokens: 0,
    cost: REQUEST_BASE_COST + spec.promptTokens + spec.maxTokens * GENERATED_TOKEN_COST,
    waitedMs: undefined,
    firstTokenMs: undefined,
    needsRetryBudget: false,
    callerGoneAtMs: undefined,
    reconnectOffset: 0,
    handoverOffset: 0,
  };
}

/** Adds a record to the state and counts it for its workspace. */
export function addRecord(state: BoxState, record: RequestRecord): void {
  state.requests.set(record.spec.requestId, record);
  state.unsettled.add(record.spec.requestId);
  const view = workspaceView(state, record.spec.workspaceId);
  if (view !== undefined) view.inProgress += 1;
}

/** Returns the record of the request that an attempt belongs to. */
export function recordOfAttempt(state: BoxState, attemptId: string): RequestRecord | undefined {
  return state.requests.get(attemptId.slice(0, attemptId.lastIndexOf('.')));
}

/** True while the request has no outcome. */
export function isUnsettled(record: RequestRecord): boolean {
  return record.phase.kind !== 'settled';
}

/** Returns the phase of a request if it is of the given kind. */
export function phaseOf<K extends RequestPhase['kind']>(
  record: RequestRecord,
  kind: K,
): Extract<RequestPhase, { kind: K }> | undefined {
  const { phase } = record;
  return phase.kind === kind ? (phase as Extract<RequestPhase, { kind: K }>) : undefined;
}

/** True when an attempt of the request may have reached a server. */
export function mayHaveReached(record: RequestRecord): boolean {
  return record.attempts.some(
    (attempt) => attempt.reach === Reach.maybe || attempt.reach === Reach.answered,
  );
}
