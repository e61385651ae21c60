/**
 * Limits of workspaces over all boxes together, by parts that sum to the limit.
 *
 * Each box charges what it sends to its own part of the window and sends nothing beyond
 * it, so all boxes together stay within the limit whoever is cut off, lost or late to
 * hear. An account of what all others admitted can't do that: what it lacks is room at
 * every box at once. A box whose part is used borrows from others ([unitLoans](./unitLoans.ts)).
 */
import { LimitUnit, type WorkspaceSpec } from '../types/configuration.js';
import type { RequestFacts, RequestRecord } from '../types/request.js';
import { mayHaveRun } from 'reedlug-coordination';
import { limitPart } from '../policy/limitPart.js';
import {
  addUnits,
  createUnitWindow,
  roomIn,
  timeToRoom,
  unitsWithin,
  type WindowBound,
} from '../policy/unitWindow.js';
import type { GatewayState } from '../state.js';
import type { QuotaView } from '../types/views.js';
import { chargeWindowMs, windowBounds } from './limitWindow.js';

/** Time for which lent units may be sent, in ms: twice the longest wait for them. A next life sends nothing of a limit for as long. */
export const LOAN_MS = 300;
/** Time after a send that did not run in which another send of the request is not charged again, in ms: half of the margin that the window has. */
const CHARGE_VALID_MS = 100;
/** Differences of units below this are rounding. */
const ROUNDING_TOLERANCE_UNITS = 1e-6;

/** What a request counts against its workspace's limit. */
export function unitsOf(workspace: WorkspaceSpec, facts: RequestFacts): number {
  if (workspace.unit === LimitUnit.requests) return 1;
  if (facts.promptTokens === undefined) return workspace.plainTokens;
  return facts.promptTokens + (facts.maxOutputTokens ?? 0);
}

/** A workspace of the configuration in force. */
export function findWorkspace(state: GatewayState, name: string): WorkspaceSpec | undefined {
  return state.active?.configuration.workspaces.find((workspace) => workspace.name === name);
}

/** Charges a send, lent units first; false when there are too few, and then nothing is charged. */
export function chargeSend(
  state: GatewayState,
  record: RequestRecord,
  workspace: WorkspaceSpec,
  nowMs: number,
): boolean {
  const { units } = record;
  const quota = quotaOf(state, workspace, nowMs);
  const ownUnits = workspace.ratePerSecond > 0 ? consumeUnits(state, quota, units, nowMs) : 0;
  if (ownUnits === undefined) return false;
  record.chargedAtMs = nowMs;
  record.chargedToShare = ownUnits;
  quota.admitted += units;
  return true;
}

/** Takes units, lent ones first; returns how many its part was charged, undefined when there are too few. */
function consumeUnits(
  state: GatewayState,
  quota: QuotaView,
  units: number,
  nowMs: number,
): number | undefined {
  const borrowed = borrowedUnits(quota, nowMs);
  const ownUnits = units - Math.min(units, borrowed);
  const spare = spareUnitsOfShare(state, quota, nowMs);
  if (ownUnits > Math.max(0, spare) + ROUNDING_TOLERANCE_UNITS) return undefined;
  spendLoans(quota, units - ownUnits);
  if (ownUnits > 0) addUnits(quota.charged, ownUnits, nowMs);
  return ownUnits;
}

function spendLoans(quota: QuotaView, units: number): void {
  let remaining = units;
  for (const loan of quota.loans) {
    const used = Math.min(loan.units, remaining);
    loan.units -= used;
    remaining -= used;
  }
  quota.loans = quota.loans.filter((loan) => loan.units > 0);
}

/** Units lent to this box that it may still send. */
export function borrowedUnits(quota: QuotaView, nowMs: number): number {
  quota.loans = quota.loans.filter(({ untilMs }) => untilMs >= nowMs);
  return quota.loans.reduce((sum, { units }) => sum + units, 0);
}

/** Whether another send of a request may go: it is charged anew, unless those before did not run and the last has just been. */
export function chargeFurtherSend(
  state: GatewayState,
  record: RequestRecord,
  nowMs: number,
): boolean {
  const workspace = findWorkspace(state, record.workspace ?? '');
  if (workspace === undefined) return true;
  if (record.attempts.some(({ reach }) => mayHaveRun(reach))) {
    return chargeSend(state, record, workspace, nowMs);
  }
  if (nowMs - record.chargedAtMs <= CHARGE_VALID_MS) return true;
  refundCharge(state, record, workspace, nowMs);
  return chargeSend(state, record, workspace, nowMs);
}

/**
 * Takes back the charge of a send that did not run: a request whose first server was not
 * reached would count twice, at callers of a zone that is cut off above all.
 */
function refundCharge(
  state: GatewayState,
  record: RequestRecord,
  workspace: WorkspaceSpec,
  nowMs: number,
): void {
  const quota = quotaOf(state, workspace, nowMs);
  const { chargedToShare, chargedAtMs } = record;
  const isInWindow = nowMs - chargedAtMs < quota.charged.lengthMs;
  if (chargedToShare > 0 && isInWindow) addUnits(quota.charged, -chargedToShare, chargedAtMs);
  record.chargedToShare = 0;
}

/** Units that this box could send or lend of its own part now. */
export function spareUnits(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): number {
  return Math.max(0, spareUnitsOfShare(state, quotaOf(state, workspace, nowMs), nowMs));
}

/** Charges units that another box may send until the loan ends; returns how many there were. */
export function lendUnits(
  state: GatewayState,
  workspace: WorkspaceSpec,
  units: number,
  nowMs: number,
): number {
  const lent = Math.min(units, spareUnits(state, workspace, nowMs));
  if (lent > 0) addUnits(quotaOf(state, workspace, nowMs).charged, lent, nowMs + LOAN_MS);
  return lent;
}

/** When this box's part is expected to hold so many units, in ms; more than its burst never fit and come from others. */
export function timeUntilUnits(
  state: GatewayState,
  workspace: WorkspaceSpec,
  units: number,
  nowMs: number,
): number {
  const quota = quotaOf(state, workspace, nowMs);
  const bounds = shareBounds(state, quota, nowMs);
  const burst = Math.min(...bounds.map((bound) => bound.burst));
  if (bounds.length === 0) return LOAN_MS;
  return timeToRoom(quota.charged, bounds, { units: Math.min(units, burst), nowMs });
}

/** Units of a workspace that were charged to this box's part of the window, and the part. */
export function limitUse(
  state: GatewayState,
  workspace: WorkspaceSpec,
  nowMs: number,
): { used: number; allowed: number } {
  const quota = quotaOf(state, workspace, nowMs);
  chargePriorUse(state, quota, nowMs);
  const used = unitsWithin(quota.charged, nowMs);
  const units = windowBounds(state, quota, nowMs)[0]?.units ?? 0;
  return { used, allowed: units / state.part.divisor };
}

function spareUnitsOfShare(state: GatewayState, quota: QuotaView, nowMs: number): number {
  const bounds = shareBounds(state, quota, nowMs);
  unitsWithin(quota.charged, nowMs);
  const spareByBound = bounds.map((bound) => roomIn(quota.charged, bound, nowMs));
  return spareByBound.length === 0 ? 0 : Math.min(...spareByBound);
}

/** This box's part of a limit, all of its bounds; none while it holds no part. */
function shareBounds(state: GatewayState, quota: QuotaView, nowMs: number): WindowBound[] {
  if (state.part.opening === undefined) return [];
  chargePriorUse(state, quota, nowMs);
  const lengthMs = chargeWindowMs(state);
  return windowBounds(state, quota, nowMs).map(({ units, sinceMs }) =>
    limitPart({ units: units / state.part.divisor, lengthMs, sinceMs }),
  );
}

/** Charges what may have been sent before this box held its part: unknown, so the most that it allows. */
function chargePriorUse(state: GatewayState, quota: QuotaView, nowMs: number): void {
  const { opening, divisor } = state.part;
  if (quota.isPriorUseCharged || opening === undefined) return;
  quota.isPriorUseCharged = true;
  const units = (windowBounds(state, quota, nowMs)[0]?.units ?? 0) / divisor;
  switch (opening.kind) {
    case 'unused':
      return;
    case 'earlierLife':
      return chargePriorUnits(quota, burstOf(state, units), opening.atMs, nowMs);
    case 'joined':
      return chargePriorUnits(quota, units, opening.atMs, nowMs);
  }
}

function burstOf(state: GatewayState, units: number): number {
  return limitPart({ units, lengthMs: chargeWindowMs(state), sinceMs: 0 }).burst;
}

/** What an earlier life lent may have been sent until its loans ended. */
function chargePriorUnits(quota: QuotaView, units: number, atMs: number, nowMs: number): void {
  const countsFromMs = atMs + LOAN_MS;
  if (nowMs - countsFromMs < quota.charged.lengthMs) addUnits(quota.charged, units, countsFromMs);
}

/** A box's account of a workspace's limit. */
export function quotaOf(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): QuotaView {
  const known = state.quotas.get(workspace.name) ?? createQuota(state, workspace, nowMs);
  const inForce = known.limits.at(-1);
  const { ratePerSecond, burst } = workspace;
  if (inForce?.ratePerSecond !== ratePerSecond || inForce.burst !== burst) {
    known.limits.push({ fromMs: nowMs, ratePerSecond, burst });
  }
  return known;
}

function createQuota(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): QuotaView {
  const { ratePerSecond, burst } = workspace;
  const quota: QuotaView = {
    charged: createUnitWindow(chargeWindowMs(state)),
    isPriorUseCharged: false,
    loans: [],
    limits: [{ fromMs: nowMs, ratePerSecond, burst }],
    admitted: 0,
  };
  state.quotas.set(workspace.name, quota);
  return quota;
}
