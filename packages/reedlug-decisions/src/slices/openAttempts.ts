/** Lookup, closing and cancellation of open attempts. */
import type { BoxState, Step } from '../state.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { ServerKind } from '../types/settings.js';
import { recordOfAttempt } from './requestRecords.js';

/** An attempt and the record of its request. */
export interface FoundAttempt {
  record: RequestRecord;
  attempt: Attempt;
}

/** Returns the attempt with an id, and the record of its request. */
export function findAttempt(state: BoxState, attemptId: string): FoundAttempt | undefined {
  const record = recordOfAttempt(state, attemptId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === attemptId);
  return record === undefined || attempt === undefined ? undefined : { record, attempt };
}

/** Closes an attempt and releases its slot at the server. */
export function closeAttempt(state: BoxState, record: RequestRecord, attempt: Attempt): void {
  if (!attempt.open) return;
  attempt.open = false;
  const view = state.servers.get(attempt.serverId);
  if (view === undefined) return;
  if (!state.mutations.has('leakPlace')) view.openAttempts.delete(attempt.attemptId);
  if (attempt.firstTokenAtMs === undefined) view.pendingPrefillTokens -= record.spec.promptTokens;
}

/** Closes an attempt and cancels it at its server. */
export function cancelAttempt(
  state: BoxState,
  step: Step,
  record: RequestRecord,
  attempt: Attempt,
): void {
  if (!attempt.open) return;
  closeAttempt(state, record, attempt);
  const { attemptId, serverId } = attempt;
  step.effects.push({ type: 'cancelAttempt', attemptId, serverId });
}

/** Cancels every open attempt of a request. */
export function cancelAll(state: BoxState, step: Step, record: RequestRecord): void {
  for (const attempt of record.attempts) cancelAttempt(state, step, record, attempt);
}

/** Returns the open attempt of a request that was sent last. */
export function openAttempt(record: RequestRecord): Attempt | undefined {
  return record.attempts.findLast((attempt) => attempt.open);
}

/** True for a request to an engine. */
export function isStream(record: RequestRecord): boolean {
  return record.spec.kind === ServerKind.engine;
}
