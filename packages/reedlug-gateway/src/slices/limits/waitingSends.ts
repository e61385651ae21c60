/**
 * Sends that wait briefly for units of their workspace's limit.
 *
 * A box whose share is used up asks other boxes for units, which takes one round trip. A request is
 * refused at once if the other boxes have not announced enough spare units.
 */
import type { Choice } from '../../policy/chooseServer.js';
import { addRetryJitter } from '../../policy/retryJitter.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { WorkspaceSpec } from '../../types/configuration.js';
import type { RequestRecord, WaitingSend } from '../../types/request.js';
import { giveUp, refuse } from '../requests/requestCompletion.js';
import {
  chargeFurtherSend,
  chargeSend,
  findWorkspace,
  limitUse,
  borrowedUnits,
  quotaOf,
  spareUnits,
  timeUntilUnits,
} from './quotas.js';
import { countFirstSend } from '../requests/retryBudgets.js';
import { sendOrGiveUp } from '../requests/sending.js';
import { requestUnits, pruneLoans, returnLoans, acceptLoan } from './unitLoans.js';

/** Share of a route's target time for which a request may wait; small enough that the answer is hardly delayed. */
const WAIT_SHARE = 0.125;
/** Shortest and longest wait for units, in ms. A message between zones takes some ms, and a loan expires soon. */
const MIN_WAIT_MS = 25;
const MAX_WAIT_MS = 150;

/** Requests the units that a request lacks from other boxes and lets it wait for them; returns false if they have not announced enough. */
export function requestAndAwaitUnits(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
): boolean {
  const quota = quotaOf(state, workspace, step.nowMs);
  const own = spareUnits(state, workspace, step.nowMs) + borrowedUnits(quota, step.nowMs);
  if (!requestUnits(state, step, workspace, record.units - own)) return false;
  const waitMs = record.route.targetMs * WAIT_SHARE;
  const untilMs = step.nowMs + Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs));
  state.waitingForUnits.push({ record, untilMs });
  return true;
}

/** Sends a request once more if its workspace's limit allows another run; otherwise lets it wait for units or refuses it. */
export function sendAgain(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  choice?: Choice,
): void {
  if (chargeFurtherSend(state, record, step.nowMs))
    return sendOrGiveUp(state, step, record, choice);
  const workspace = findWorkspace(state, record.workspace ?? '');
  if (workspace !== undefined && requestAndAwaitUnits(state, step, record, workspace)) return;
  refuseOverLimit(state, step, record);
}

/** Accepts lent units and sends the waiting requests of the workspace that now have enough. */
export function onUnitsLent(state: GatewayState, step: Step, event: EventOf<'unitsLent'>): void {
  const workspace = acceptLoan(state, step, event);
  if (workspace === undefined) return;
  const isReady = ({ record }: WaitingSend): boolean =>
    record.workspace === workspace.name &&
    isOpen(state, record) &&
    chargeSend(state, record, workspace, step.nowMs);
  const ready = state.waitingForUnits.filter(isReady);
  state.waitingForUnits = state.waitingForUnits.filter((waiting) => !ready.includes(waiting));
  for (const { record } of ready) sendNow(state, step, record);
  returnUnneededLoans(state, step, workspace);
}

/** Returns the borrowed units of a workspace if none of its requests waits for them. */
function returnUnneededLoans(state: GatewayState, step: Step, workspace: WorkspaceSpec): void {
  const isAwaited = state.waitingForUnits.some(({ record }) => record.workspace === workspace.name);
  if (!isAwaited) returnLoans(state, step, workspace);
}

function sendNow(state: GatewayState, step: Step, record: RequestRecord): void {
  if (record.attempts.length === 0) countFirstSend(state, record.service);
  sendOrGiveUp(state, step, record);
}

/** Returns whether a request is still open. Its caller may have disconnected, or its deadline may have passed. */
function isOpen(state: GatewayState, record: RequestRecord): boolean {
  return state.requests.get(record.exchangeId) === record;
}

/** Refuses the requests whose wait for units has timed out, and returns their borrowed units. */
export function waitingSendsTick(state: GatewayState, step: Step): void {
  pruneLoans(state, step.nowMs);
  if (state.waitingForUnits.length === 0) return;
  const timedOut = state.waitingForUnits.filter(({ untilMs }) => untilMs <= step.nowMs);
  state.waitingForUnits = state.waitingForUnits.filter(({ untilMs }) => untilMs > step.nowMs);
  for (const { record } of timedOut) {
    if (isOpen(state, record)) refuseOverLimit(state, step, record);
    const workspace = findWorkspace(state, record.workspace ?? '');
    if (workspace !== undefined) returnUnneededLoans(state, step, workspace);
  }
}

/** Ends a request that exceeds its workspace's limit. If it has not been sent yet, it is refused with a Retry-After time. */
export function refuseOverLimit(state: GatewayState, step: Step, record: RequestRecord): void {
  const { facts, exchangeId, units } = record;
  const workspace = findWorkspace(state, record.workspace ?? '');
  if (record.attempts.length > 0 || workspace === undefined) {
    return giveUp(state, step, record, 'overLimit');
  }
  state.requests.delete(exchangeId);
  const { used, allowed } = limitUse(state, workspace, step.nowMs);
  log(step, 'limitReached', {
    request: facts.requestId,
    workspace: workspace.name,
    units,
    used: Math.round(used),
    allowed: Math.round(allowed),
    divisor: state.part.divisor,
  });
  const waitMs = timeUntilUnits(state, workspace, units, step.nowMs);
  const retryAfterMs = addRetryJitter(waitMs, facts.requestId);
  refuse(step, { exchangeId, facts, status: 429, reason: 'overLimit', retryAfterMs });
}
