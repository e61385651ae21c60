/**
 * Repair of the state after exceptions in a step of the reducer, which may have left a part of a change undone.
 *
 * Requests that nobody would answer any more get their answer at once, and what is counted at servers is counted anew
 * from the requests in progress.
 */
import { Reach } from 'reedlug-coordination';
import { addUnreadPrompt } from '../../policy/serverLoad.js';
import { runPart } from '../../stepFaults.js';
import type { GatewayState, Step } from '../../state.js';
import { INTERNAL_FAULT_REASON, type Attempt, type RequestRecord } from '../../types/request.js';
import { closeAttempt, giveUp, serverOf } from '../requests/requestCompletion.js';
import { removePendingRequest } from '../requests/pendingRequests.js';
import { removeLookup } from '../streamVersions/takeUps.js';

/** Repairs the state; attempts from `firstAttemptId` on were begun in this step, so their sends are still effects. */
export function repairAfterFaults(state: GatewayState, step: Step, firstAttemptId: number): void {
  for (const { exchangeId } of [...step.faults]) {
    if (exchangeId !== undefined) failRequest(state, step, { exchangeId, firstAttemptId });
  }
  for (const record of [...state.requests.values()]) {
    const { exchangeId } = record;
    const isLeft = !isAwaited(state, record) || hasUnsentAttempt(step, record, firstAttemptId);
    if (isLeft) failRequest(state, step, { exchangeId, firstAttemptId });
  }
  recountOpenWork(state);
}

/** Whether an event or a tick will go on with a request: one of its attempts is open, or it waits for units. */
function isAwaited(state: GatewayState, record: RequestRecord): boolean {
  const isWaiting = state.waitingForUnits.some((waiting) => waiting.record === record);
  return isWaiting || record.attempts.some(({ open }) => open);
}

/** Whether an attempt was begun in this step and not sent. */
function hasUnsentAttempt(step: Step, record: RequestRecord, firstAttemptId: number): boolean {
  const isSent = ({ attemptId }: Attempt): boolean =>
    step.effects.some((effect) => effect.type === 'send' && effect.attemptId === attemptId);
  return record.attempts.some(
    (attempt) => attempt.open && attempt.attemptId >= firstAttemptId && !isSent(attempt),
  );
}

/** Gives a request its final answer and withdraws the sends that this step has decided for it. */
function failRequest(
  state: GatewayState,
  step: Step,
  { exchangeId, firstAttemptId }: { exchangeId: number; firstAttemptId: number },
): void {
  removeLookup(state, exchangeId);
  removePendingRequest(state, exchangeId);
  state.waitingForUnits = state.waitingForUnits.filter(
    ({ record }) => record.exchangeId !== exchangeId,
  );
  const record = state.requests.get(exchangeId);
  if (record === undefined) return;
  step.effects = step.effects.filter(
    (effect) => effect.type !== 'send' || effect.exchangeId !== exchangeId,
  );
  for (const attempt of record.attempts) {
    if (attempt.attemptId >= firstAttemptId) closeAttempt(state, attempt, Reach.none);
  }
  runPart(step, () => giveUp(state, step, record, INTERNAL_FAULT_REASON));
  state.requests.delete(exchangeId);
}

/** Counts the open attempts and unread prompts at servers anew. */
function recountOpenWork(state: GatewayState): void {
  for (const view of state.servers.values()) {
    view.running = 0;
    view.prefillTokens = 0;
    view.unread = 0;
    view.unreadByUrgency = [];
    if (view.placeUse !== undefined) view.placeUse.openSpareSends = 0;
  }
  for (const { attempts } of state.requests.values()) {
    for (const attempt of attempts) if (attempt.open) countOpenAttempt(state, attempt);
  }
}

function countOpenAttempt(state: GatewayState, attempt: Attempt): void {
  const view = serverOf(state, attempt);
  if (view === undefined) return;
  view.running += 1;
  if (attempt.firstOutputAtMs === undefined) addUnreadPrompt(view, attempt);
  if (attempt.usesSparePlace && view.placeUse !== undefined) view.placeUse.openSpareSends += 1;
}
