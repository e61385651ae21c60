/**
 * Reservations of units of limits that are nearly used up.
 *
 * A box keeps the reservations of the requests that it refused, and learns those of the others by
 * gossip. Each box withholds its part of all reservations from requests that they precede. Without
 * gossip from others a box goes by its own reservations; all of them expire by time.
 */
import {
  createReservation,
  findReservation,
  isSameReservation,
  unitsReservedBefore,
  withheldUnits,
  type UnitClaim,
  type UnitReservation,
} from '../../policy/unitPrecedence.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { WorkspaceSpec } from '../../types/configuration.js';
import type { PeerMessage } from '../../types/peer.js';
import type { RequestRecord } from '../../types/request.js';
import { countedPeers, isFreshPeer, type PeerWithMessage } from '../peers/fleet.js';
import { unitsForCutStreams } from './cutStreams.js';
import { mayUseUnitsNow, unitsAwaitedByBegun } from './begunStreams.js';
import { borrowedUnits, chargeSend, limitUse, quotaOf, spareUnits } from './quotas.js';

/** Maximum number of reservations in a message; few limits leave room for more. */
export const MAX_RESERVATION_ROWS = 64;

/** Returns whether units are reserved at all. */
export function reservesUnits(state: GatewayState): boolean {
  return state.settings.load.reserveLimitUnits;
}

/** Returns what decides the precedence of a request. */
export function claimOf({ urgency, reservedAtMs, arrivedAtMs }: RequestRecord): UnitClaim {
  return { urgency, heldSinceMs: reservedAtMs ?? arrivedAtMs };
}

/** Updates the known reservations of the other boxes and drops expired ones. */
export function unitReservationsTick(state: GatewayState, nowMs: number): void {
  if (!reservesUnits(state)) return;
  const { unitReservations } = state;
  const isCurrent = ({ untilMs }: UnitReservation): boolean => untilMs >= nowMs;
  unitReservations.own = unitReservations.own.filter(isCurrent);
  unitReservations.used = unitReservations.used.filter(isCurrent);
  unitReservations.ofPeers = reservationsOf(countedPeers(state, nowMs), nowMs).filter(
    (reservation) => !isUsed(state, reservation),
  );
}

function reservationsOf(peers: readonly PeerWithMessage[], nowMs: number): UnitReservation[] {
  return peers
    .filter((peer) => isFreshPeer(peer, nowMs))
    .flatMap(({ message, lastReceivedAtMs }) =>
      (message.reservations ?? []).map(({ workspace, urgency, units, ageMs, dueInMs, leftMs }) => ({
        workspace,
        urgency,
        units,
        reservedAtMs: lastReceivedAtMs - ageMs,
        dueAtMs: lastReceivedAtMs + dueInMs,
        untilMs: lastReceivedAtMs + leftMs,
      })),
    )
    .filter(({ untilMs }) => untilMs >= nowMs);
}

function isUsed(state: GatewayState, reservation: UnitReservation): boolean {
  return state.unitReservations.used.some((used) => isSameReservation(used, reservation));
}

/**
 * Returns the reservations of the given peers and this box's own as a field of a message, the first
 * in precedence at its start; no field while none are kept.
 */
export function reservationGossip(
  state: GatewayState,
  nowMs: number,
  peers: readonly PeerWithMessage[],
): Pick<PeerMessage, 'reservations'> {
  if (!reservesUnits(state)) return {};
  const others = reservationsOf(peers, nowMs).filter((other) => !isUsed(state, other));
  const reservations = [...state.unitReservations.own, ...others]
    .filter(({ untilMs }) => untilMs > nowMs)
    .sort((a, b) => a.urgency - b.urgency || a.reservedAtMs - b.reservedAtMs)
    .slice(0, MAX_RESERVATION_ROWS)
    .map(({ workspace, urgency, units, reservedAtMs, dueAtMs, untilMs }) => ({
      workspace,
      urgency,
      units,
      ageMs: Math.round(nowMs - reservedAtMs),
      dueInMs: Math.round(dueAtMs - nowMs),
      leftMs: Math.round(untilMs - nowMs),
    }));
  return { reservations };
}

function knownReservations(state: GatewayState): UnitReservation[] {
  return [...state.unitReservations.own, ...state.unitReservations.ofPeers];
}

/** Returns the units of a workspace reserved over all boxes before a request. */
export function reservedBefore(
  state: GatewayState,
  workspace: string,
  claim: UnitClaim,
  nowMs: number,
): number {
  return unitsReservedBefore(knownReservations(state), { workspace, claim, nowMs });
}

/**
 * Returns the units of its share that a box withholds from a request, for reservations and for its
 * requests that wait.
 */
export function withheldFrom(
  state: GatewayState,
  workspace: WorkspaceSpec,
  claim: UnitClaim,
  { waiting = 0, nowMs }: { waiting?: number; nowMs: number },
): number {
  const reservedUnits = reservedBefore(state, workspace.name, claim, nowMs);
  if (reservedUnits + waiting === 0) return 0;
  const spareOfShare = spareUnits(state, workspace, nowMs);
  const reservedPart = reservedUnits / state.part.divisor;
  return withheldUnits({ reservedUnits: reservedPart + waiting, divisor: 1, spare: spareOfShare });
}

/** Returns the units of this box's requests that wait for units and precede a request. */
function waitingBefore(
  state: GatewayState,
  workspace: WorkspaceSpec,
  claim: UnitClaim,
  params: { except?: RequestRecord | undefined; onlyMoreUrgent?: boolean } = {},
): number {
  let units = 0;
  for (const { record } of state.waitingForUnits) {
    if (record === params.except || record.workspace !== workspace.name) continue;
    // The caller may have left, or the deadline may have passed.
    if (state.requests.get(record.exchangeId) !== record) continue;
    const { urgency, heldSinceMs } = claimOf(record);
    const isEqual = urgency === claim.urgency && heldSinceMs <= claim.heldSinceMs;
    const isBefore = urgency < claim.urgency || (isEqual && params.onlyMoreUrgent !== true);
    if (isBefore) units += record.units;
  }
  return units;
}

/**
 * Returns the units that this box may spend on a request that arrives now; requests that wait for
 * units precede it.
 */
export function unitsForArrival(
  state: GatewayState,
  workspace: WorkspaceSpec,
  record: RequestRecord,
  nowMs: number,
): number {
  const waiting = waitingBefore(state, workspace, claimOf(record), { except: record });
  return unitsAvailableFor(state, workspace, record, { waiting, nowMs });
}

/**
 * Returns the units that this box may spend on a request that waits for units; only more urgent
 * ones that wait precede it.
 */
export function unitsForWaiting(
  state: GatewayState,
  workspace: WorkspaceSpec,
  record: RequestRecord,
  nowMs: number,
): number {
  const params = { except: record, onlyMoreUrgent: true };
  const waiting = waitingBefore(state, workspace, claimOf(record), params);
  return unitsAvailableFor(state, workspace, record, { waiting, nowMs });
}

/**
 * Returns the units left for a request after those reserved before it and those for `waiting` units
 * of other requests, for which borrowed units are used first.
 */
function unitsAvailableFor(
  state: GatewayState,
  workspace: WorkspaceSpec,
  record: RequestRecord,
  { waiting, nowMs }: { waiting: number; nowMs: number },
): number {
  const borrowed = borrowedUnits(quotaOf(state, workspace, nowMs), nowMs);
  const claim = claimOf(record);
  const spareOfOwnShare = spareUnits(state, workspace, nowMs);
  const unmet = Math.max(0, waiting - borrowed);
  const withheld = withheldFrom(state, workspace, claim, { waiting: unmet, nowMs });
  return spareOfOwnShare - withheld + Math.max(0, borrowed - waiting);
}

/** Returns the units of its share that a box may lend to a request of another box. */
export function lendableUnits(
  state: GatewayState,
  workspace: WorkspaceSpec,
  claim: UnitClaim,
  nowMs: number,
): number {
  const spare = spareUnits(state, workspace, nowMs);
  if (!reservesUnits(state)) {
    const cut = claim.isForBegun === true ? 0 : unitsForCutStreams(state, workspace, nowMs);
    return Math.max(0, spare - Math.max(cut, unitsAwaitedByBegun(state, workspace)));
  }
  const waiting = waitingBefore(state, workspace, claim);
  return Math.max(0, spare - withheldFrom(state, workspace, claim, { waiting, nowMs }));
}

/**
 * Charges the first send of a request, unless its units are withheld for others. Returns false and
 * charges nothing if there are too few units.
 */
export function chargeFirstSend(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
): boolean {
  if (workspace.ratePerSecond <= 0) return chargeSend(state, record, workspace, step.nowMs);
  if (!reservesUnits(state)) {
    if (!mayUseUnitsNow(state, record, workspace, step.nowMs)) return false;
    return chargeSend(state, record, workspace, step.nowMs);
  }
  useReservation(state, step, record, workspace);
  if (unitsForArrival(state, workspace, record, step.nowMs) < record.units) return false;
  return chargeSend(state, record, workspace, step.nowMs);
}

/**
 * Takes the reservation of a returning request, which keeps the precedence of its first refusal.
 */
function useReservation(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  { name: workspace }: WorkspaceSpec,
): void {
  // A request that was held for its first units has taken its reservation already.
  if (!mayHaveReturned(record) || record.reservedAtMs !== undefined) return;
  const { urgency, units, facts } = record;
  const sought = { workspace, urgency, units, nowMs: step.nowMs, isDue: true };
  const reservation = findReservation(knownReservations(state), sought);
  if (reservation === undefined) return;
  const { unitReservations } = state;
  const isOther = (other: UnitReservation): boolean => other !== reservation;
  unitReservations.own = unitReservations.own.filter(isOther);
  unitReservations.ofPeers = unitReservations.ofPeers.filter(isOther);
  unitReservations.used.push(reservation);
  record.reservedAtMs = reservation.reservedAtMs;
  log(step, 'reservationUsed', {
    request: facts.requestId,
    workspace,
    units,
    reservedForMs: Math.round(step.nowMs - reservation.reservedAtMs),
  });
}

/**
 * Returns whether a request may be the second try of a refused one: its caller has less time than
 * the route grants.
 */
function mayHaveReturned({ facts, route }: RequestRecord): boolean {
  return facts.deadlineMs !== undefined && facts.deadlineMs < route.timeoutMs;
}

/**
 * Reserves the units of a refused request until its caller returns, if it can. A caller that
 * returned too early keeps the reservation that it has and gets no further one.
 */
export function reserveUnits(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  workspace: WorkspaceSpec,
  retryAfterMs: number,
): void {
  const { nowMs } = step;
  const { urgency, units, facts } = record;
  const known = knownReservations(state);
  const sought = { workspace: workspace.name, urgency, units, nowMs, isDue: false };
  const returnedEarly = mayHaveReturned(record) && record.reservedAtMs === undefined;
  if (returnedEarly && findReservation(known, sought) !== undefined) return;
  const ofWorkspace = known.filter((other) => other.workspace === workspace.name);
  const reservedUnits = ofWorkspace.reduce((sum, other) => sum + other.units, 0);
  const { allowed } = limitUse(state, workspace, nowMs);
  const reservation = createReservation({
    workspace: workspace.name,
    claim: claimOf(record),
    units,
    retryAfterMs,
    remainingMs: record.deadlineAtMs - nowMs,
    reservedUnits,
    windowUnits: allowed * state.part.divisor,
    nowMs,
  });
  if (reservation === undefined) return;
  state.unitReservations.own.push(reservation);
  log(step, 'unitsReserved', {
    request: facts.requestId,
    workspace: workspace.name,
    urgency,
    units,
    reservedBefore: Math.round(reservedUnits),
    dueInMs: Math.round(retryAfterMs),
    heldForMs: Math.round(nowMs - reservation.reservedAtMs),
  });
}

/** Returns the units of a workspace that are reserved over all boxes, for metrics. */
export function reservedUnitsOf(state: GatewayState, workspace: string, nowMs: number): number {
  return knownReservations(state)
    .filter((other) => other.workspace === workspace && other.untilMs >= nowMs)
    .reduce((sum, { units }) => sum + units, 0);
}

/** Compares waiting requests by precedence; negative if the first precedes the second. */
export function comparePrecedence(a: RequestRecord, b: RequestRecord): number {
  const [first, second] = [claimOf(a), claimOf(b)];
  return first.urgency - second.urgency || first.heldSinceMs - second.heldSinceMs;
}
