/**
 * Sends that wait briefly for units of their workspace's limit.
 *
 * A box whose share is used up asks other boxes for units, which takes one round trip. A request is
 * refused at once if the other boxes have not announced enough spare units. With reservations
 * ([unitReservations](./unitReservations.ts)) a request waits longer, keeps the units that arrived
 * in part and asks again for the rest.
 */
import type { Choice } from '../../policy/chooseServer.js';
import { begunFirst } from '../../policy/unitsForBegun.js';
import { addRetryJitter } from '../../policy/retryJitter.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { runPart } from '../../stepFaults.js';
import type { EventOf } from '../../types/event.js';
import type { WorkspaceSpec } from '../../types/configuration.js';
import type { RequestRecord, WaitingSend } from '../../types/request.js';
import { isTooLateToRepeat, STOPPING_REASON, STOPPING_RETRY_MS } from '../lifecycle/shutdown.js';
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
import {
  claimOf,
  comparePrecedence,
  reservedBefore,
  reservesUnits,
  reserveUnits,
  unitsForArrival,
  unitsForWaiting,
  withheldFrom,
} from './unitReservations.js';
import { neededUnitsOf, mayUseUnitsNow, unitsAwaitedBefore } from './begunStreams.js';
import { announcedUnits, requestUnits, pruneLoans, returnLoans, acceptLoan } from './unitLoans.js';

/** Share of a route's target time for which a request may wait; small enough that the answer is hardly delayed. */
const WAIT_SHARE = 0.125;
/** Shortest and longest wait for units, in ms. A message between zones takes some ms, and a loan expires soon. */
const MIN_WAIT_MS = 25;
const MAX_WAIT_MS = 150;
/**
 * Bounds of the wait with reservations: two round trips through two hubs, and less than a loan
 * lasts. The share of the target is twice the one above, as the alternative is a refusal inside the
 * limit.
 */
const REPEATED_WAIT = { share: 0.25, minMs: 75, maxMs: 250 } as const;
/**
 * Time after which units are requested again for what is still missing, in ms: a round trip between
 * zones through two hubs.
 */
const ASK_AGAIN_AFTER_MS = 45;

/** Requests the units that a request lacks from other boxes and lets it wait for them; returns false if they have not announced enough. */
export function requestAndAwaitUnits(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
): boolean {
  if (!requestMissingUnits(state, step, record, workspace)) return false;
  const { nowMs } = step;
  const untilMs = nowMs + maxWaitMs(state, record);
  state.waitingForUnits.push({ record, untilMs, askedAtMs: nowMs });
  return true;
}

function maxWaitMs(state: GatewayState, { route }: RequestRecord): number {
  const { share, minMs, maxMs } = reservesUnits(state)
    ? REPEATED_WAIT
    : { share: WAIT_SHARE, minMs: MIN_WAIT_MS, maxMs: MAX_WAIT_MS };
  return Math.min(maxMs, Math.max(minMs, route.targetMs * share));
}

function requestMissingUnits(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
): boolean {
  const { nowMs } = step;
  if (!reservesUnits(state)) {
    const borrowed = borrowedUnits(quotaOf(state, workspace, nowMs), nowMs);
    const awaited = unitsAwaitedBefore(state, record, workspace, nowMs);
    const own = Math.max(0, spareUnits(state, workspace, nowMs) + borrowed - awaited);
    // The units are there, but kept for streams that are expected.
    if (own >= record.units) return false;
    const isForBegun = neededUnitsOf(record).hasBegun;
    return requestUnits(state, step, workspace, record.units - own, { isForBegun });
  }
  const available = Math.max(0, unitsForArrival(state, workspace, record, nowMs));
  return requestUnits(state, step, workspace, record.units - available, {
    claim: claimOf(record),
  });
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
  sendReady(state, step, workspace);
  returnUnneededLoans(state, step, workspace);
}

/**
 * Sends the waiting requests of a workspace for which there are enough units now, in the order of
 * their precedence.
 */
function sendReady(state: GatewayState, step: Step, workspace: WorkspaceSpec): void {
  const { nowMs } = step;
  const isReady = ({ record }: WaitingSend): boolean =>
    record.workspace === workspace.name &&
    isOpen(state, record) &&
    hasUnitsFor(state, workspace, record, nowMs) &&
    chargeSend(state, record, workspace, nowMs);
  const ready: WaitingSend[] = [];
  for (const waiting of byPrecedence(state)) {
    if (!isReady(waiting)) continue;
    ready.push(waiting);
    state.waitingForUnits = state.waitingForUnits.filter((other) => other !== waiting);
  }
  for (const { record } of ready) {
    runPart(step, () => sendNow(state, step, record), record.exchangeId);
  }
}

/** Returns whether a waiting request may use the units that there are, without those of requests before it. */
function hasUnitsFor(
  state: GatewayState,
  workspace: WorkspaceSpec,
  record: RequestRecord,
  nowMs: number,
): boolean {
  if (!reservesUnits(state)) return mayUseUnitsNow(state, record, workspace, nowMs);
  return unitsForWaiting(state, workspace, record, nowMs) >= record.units;
}

/** Returns the waiting requests in the order in which they get units. */
function byPrecedence(state: GatewayState): readonly WaitingSend[] {
  if (!reservesUnits(state)) {
    return begunFirst(state.waitingForUnits, ({ record }) => neededUnitsOf(record).hasBegun);
  }
  return [...state.waitingForUnits].sort((a, b) => comparePrecedence(a.record, b.record));
}

/** Returns the borrowed units of a workspace if none of its requests waits for them. */
function returnUnneededLoans(state: GatewayState, step: Step, workspace: WorkspaceSpec): void {
  const isAwaited = state.waitingForUnits.some(({ record }) => record.workspace === workspace.name);
  if (!isAwaited) returnLoans(state, step, workspace);
}

function sendNow(state: GatewayState, step: Step, record: RequestRecord): void {
  if (isTooLateToRepeat(state, step.nowMs, record)) {
    return giveUp(state, step, record, STOPPING_REASON, STOPPING_RETRY_MS);
  }
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
  if (reservesUnits(state)) askAgain(state, step);
  const timedOut = state.waitingForUnits.filter(({ untilMs }) => untilMs <= step.nowMs);
  state.waitingForUnits = state.waitingForUnits.filter(({ untilMs }) => untilMs > step.nowMs);
  for (const { record } of timedOut) {
    runPart(step, () => endWait(state, step, record), record.exchangeId);
  }
}

function endWait(state: GatewayState, step: Step, record: RequestRecord): void {
  if (isOpen(state, record)) refuseOverLimit(state, step, record);
  const workspace = findWorkspace(state, record.workspace ?? '');
  if (workspace !== undefined) returnUnneededLoans(state, step, workspace);
}

/**
 * Sends what has become possible since, and requests the units that waiting requests still lack
 * after a round trip.
 */
function askAgain(state: GatewayState, step: Step): void {
  const names = new Set(state.waitingForUnits.map(({ record }) => record.workspace ?? ''));
  for (const name of names) {
    const workspace = findWorkspace(state, name);
    if (workspace !== undefined) sendReady(state, step, workspace);
  }
  for (const waiting of byPrecedence(state)) {
    const { record, askedAtMs, untilMs } = waiting;
    const workspace = findWorkspace(state, record.workspace ?? '');
    const isDue = step.nowMs - askedAtMs >= ASK_AGAIN_AFTER_MS && untilMs > step.nowMs;
    if (workspace === undefined || !isDue || !isOpen(state, record)) continue;
    waiting.askedAtMs = step.nowMs;
    requestMissingUnits(state, step, record, workspace);
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
    ...precedenceFields(state, step, record, workspace),
  });
  const waitMs = timeUntilUnits(
    state,
    workspace,
    unitsToAwait(state, step, record, workspace),
    step.nowMs,
  );
  const retryAfterMs = addRetryJitter(waitMs, facts.requestId);
  if (reservesUnits(state)) reserveUnits(state, step, record, workspace, retryAfterMs);
  refuse(step, { exchangeId, facts, status: 429, reason: 'overLimit', retryAfterMs });
}

/** Returns what a refusal with reservations was decided by, for the log. */
function precedenceFields(
  state: GatewayState,
  { nowMs }: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
): Record<string, number> {
  if (!reservesUnits(state)) return {};
  const claim = claimOf(record);
  return {
    urgency: record.urgency,
    reservedBefore: Math.round(reservedBefore(state, workspace.name, claim, nowMs)),
    withheld: Math.round(withheldFrom(state, workspace, claim, { nowMs })),
    announced: Math.round(announcedUnits(state, workspace, nowMs)),
    waitedMs: Math.round(nowMs - record.arrivedAtMs),
  };
}

/**
 * Returns the units that this box's share has to hold for a refused request to be served. With
 * reservations that is the share's part of what all boxes lack for the request and those before it;
 * the other boxes accrue the same and lend it.
 */
function unitsToAwait(
  state: GatewayState,
  { nowMs }: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
): number {
  if (!reservesUnits(state)) {
    return record.units + unitsAwaitedBefore(state, record, workspace, nowMs);
  }
  const before = reservedBefore(state, workspace.name, claimOf(record), nowMs);
  const own = spareUnits(state, workspace, nowMs);
  const missing = record.units + before - own - announcedUnits(state, workspace, nowMs);
  return own + Math.max(0, missing) / state.part.divisor;
}
