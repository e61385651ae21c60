/**
 * Limits of workspaces over all boxes together, divided into shares that sum to the limit.
 *
 * Each box charges what it sends to its own share of a sliding window and sends nothing beyond it, so
 * all boxes together stay within the limit even if some are partitioned, lost or late to receive
 * gossip. Counting what all others admitted cannot guarantee that: units missing from the count would
 * appear as spare capacity at every box at once. A box whose share is used up borrows units from others
 * ([unitLoans](./unitLoans.ts)).
 */
import { LimitUnit, type WorkspaceSpec } from '../../types/configuration.js';
import type { RequestFacts, RequestRecord } from '../../types/request.js';
import { mayHaveRun } from 'reedlug-coordination';
import { limitShareBound, reservedUnits } from '../../policy/limitShareBound.js';
import {
  addUnits,
  createUnitWindow,
  spareUnitsWithin,
  timeUntilSpareMs,
  unitsWithin,
  type WindowBound,
} from '../../policy/unitWindow.js';
import type { GatewayState } from '../../state.js';
import type { QuotaView } from '../../types/views.js';
import { chargeWindowMs, windowBounds } from './limitWindow.js';

/** Time for which lent units may be spent, in ms; twice the longest wait for them. After a restart a box spends no units for the same time. */
export const LOAN_MS = 300;
/** Time after a charge within which a further send of a request that has not run is not charged again, in ms; half of the window's margin. */
const CHARGE_VALID_MS = 100;
/** Differences of units up to this size are treated as rounding errors. */
const ROUNDING_TOLERANCE_UNITS = 1e-6;

/** Returns the units that a request counts against the limit of its workspace. */
export function unitsOf(workspace: WorkspaceSpec, facts: RequestFacts): number {
  if (workspace.unit === LimitUnit.requests) return 1;
  if (facts.promptTokens === undefined) return workspace.plainTokens;
  return facts.promptTokens + (facts.maxOutputTokens ?? 0);
}

/** Returns a workspace of the configuration in force; undefined if it has none of that name. */
export function findWorkspace(state: GatewayState, name: string): WorkspaceSpec | undefined {
  return state.active?.configuration.workspaces.find((workspace) => workspace.name === name);
}

/** Charges a send, to borrowed units first. Returns false and charges nothing if there are too few units. */
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
  if (record.beganAtVersion !== undefined) quota.begunCharged += units;
  return true;
}

/** Consumes units, borrowed ones first. Returns how many were charged to the share of this box; undefined if there are too few. */
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

/** Returns the units lent to this box that it may still spend, and drops expired loans. */
export function borrowedUnits(quota: QuotaView, nowMs: number): number {
  quota.loans = quota.loans.filter(({ untilMs }) => untilMs >= nowMs);
  return quota.loans.reduce((sum, { units }) => sum + units, 0);
}

/**
 * Charges a further send of a request and returns whether it may be made. It needs no new charge if no
 * earlier send may have run and the last charge is recent.
 */
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
 * Refunds the charge of a send that did not run. Without it a request whose first server could not be
 * reached would count twice, which mostly affects callers of a partitioned zone.
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

/** Returns the units of its own share that this box could spend or lend now. */
export function spareUnits(state: GatewayState, workspace: WorkspaceSpec, nowMs: number): number {
  return Math.max(0, spareUnitsOfShare(state, quotaOf(state, workspace, nowMs), nowMs));
}

/** Charges up to the given number of units that another box may spend until the loan ends; returns how many were lent. */
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

/**
 * Returns the time until this box's share is expected to hold so many units, in ms. Units beyond its burst
 * never fit into the share and have to be borrowed, so only the burst is waited for.
 */
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
  return timeUntilSpareMs(quota.charged, bounds, { units: Math.min(units, burst), nowMs });
}

/** Returns the units of a workspace charged to this box's share of the window, and the size of the share. */
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
  const spareByBound = bounds.map((bound) => spareUnitsWithin(quota.charged, bound, nowMs));
  return spareByBound.length === 0 ? 0 : Math.min(...spareByBound);
}

/** Returns all bounds of this box's share of a limit; none while it holds no share. */
function shareBounds(state: GatewayState, quota: QuotaView, nowMs: number): WindowBound[] {
  if (state.part.opening === undefined) return [];
  chargePriorUse(state, quota, nowMs);
  const lengthMs = chargeWindowMs(state);
  const { restartReserve: hasReserve } = state.settings.load;
  return windowBounds(state, quota, nowMs).map(({ units, sinceMs }) =>
    limitShareBound({ units: units / state.part.divisor, lengthMs, sinceMs, hasReserve }),
  );
}

/**
 * Charges, once, what may have been sent of this box's share before it held it. The amount is unknown, so
 * the maximum that the share allows is charged.
 */
function chargePriorUse(state: GatewayState, quota: QuotaView, nowMs: number): void {
  const { opening, divisor } = state.part;
  if (quota.isPriorUseCharged || opening === undefined) return;
  quota.isPriorUseCharged = true;
  const units = (windowBounds(state, quota, nowMs)[0]?.units ?? 0) / divisor;
  switch (opening.kind) {
    case 'unused':
      return;
    case 'earlierLife':
      return chargePriorUnits(quota, priorBurstOf(state, units), opening.atMs, nowMs);
    case 'joined':
      return chargePriorUnits(quota, units, opening.atMs, nowMs);
  }
}

/**
 * Returns the units that an earlier incarnation may have sent at once, less the reserve if this one
 * may use it.
 */
function priorBurstOf(state: GatewayState, units: number): number {
  const { restartReserve: hasReserve } = state.settings.load;
  const lengthMs = chargeWindowMs(state);
  const { burst } = limitShareBound({ units, lengthMs, sinceMs: 0, hasReserve });
  const isOpen = state.restartReserve.phase === 'open';
  return burst - (isOpen ? reservedUnits(units, hasReserve) : 0);
}

/** Releases the reserve of a limit whose earlier use was charged before the reserve was opened. */
export function releaseReserve(state: GatewayState, quota: QuotaView, nowMs: number): void {
  const { opening, divisor } = state.part;
  if (!quota.isPriorUseCharged || opening?.kind !== 'earlierLife') return;
  const units = (windowBounds(state, quota, nowMs)[0]?.units ?? 0) / divisor;
  const reserve = reservedUnits(units, state.settings.load.restartReserve);
  chargePriorUnits(quota, -reserve, opening.atMs, nowMs);
}

/**
 * Charges units that may have been sent up to a time. They count from LOAN_MS later, since units lent until
 * that time may have been spent until then.
 */
function chargePriorUnits(quota: QuotaView, units: number, atMs: number, nowMs: number): void {
  const countsFromMs = atMs + LOAN_MS;
  if (nowMs - countsFromMs < quota.charged.lengthMs) addUnits(quota.charged, units, countsFromMs);
}

/** Returns this box's account of a workspace's limit, with the configured limit appended if it has changed. */
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
    begunAskedAtMs: Number.NEGATIVE_INFINITY,
    begunCharged: 0,
  };
  state.quotas.set(workspace.name, quota);
  return quota;
}
