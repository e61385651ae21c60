/**
 * Units of a limit that boxes lend each other.
 *
 * A box whose share has too few units for a request asks boxes that announced spare units. The lender
 * charges its own share before it answers, so a datagram that is lost, late or sent to an earlier
 * incarnation only makes the limit smaller. The time of a loan starts with the request for it, on the
 * clock of the borrower, which is before the lender charges it.
 */
import type { EventOf } from '../../types/event.js';
import {
  GossipScope,
  type UnitsAskedMessage,
  type UnitsReturnedMessage,
} from '../../types/peer.js';
import { addUnits } from '../../policy/unitWindow.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { LentUnits } from '../../types/views.js';
import type { WorkspaceSpec } from '../../types/configuration.js';
import {
  countedPeers,
  isFreshPeer,
  forwardsGossip,
  ownAddress,
  type PeerWithMessage,
} from '../peers/fleet.js';
import { findWorkspace, lendUnits, LOAN_MS, quotaOf, spareUnits } from './quotas.js';
import { lendableUnits, reservedBefore, reservesUnits } from './unitReservations.js';
import { withheldUnits, type UnitClaim } from '../../policy/unitPrecedence.js';

/** Maximum number of boxes asked for the units of one request. A large request needs dozens of small shares. */
const MAX_LENDERS = 48;
/** Maximum number of hubs that forward a request for units: the hub of the borrower's own group and one of another group. */
const MAX_HOPS = 2;

/** Urgency assumed for requests of older boxes, which state none; 9 is the least urgent. */
const UNSTATED_URGENCY = 9;

/** Requests units from other boxes. Returns false and asks none if they have not announced enough. */
export function requestUnits(
  state: GatewayState,
  step: Step,
  { name: workspace }: WorkspaceSpec,
  units: number,
  { claim, isForBegun = false }: { claim?: UnitClaim; isForBegun?: boolean } = {},
): boolean {
  const lenders = lendersOf(state, workspace, { claim, nowMs: step.nowMs });
  const announced = lenders.reduce((sum, { room }) => sum + room, 0);
  if (announced < units) return false;
  const { boxId, host, port } = ownAddress(state);
  const askId = state.nextAskId;
  state.nextAskId += 1;
  state.unitRequests.set(askId, { sentAtMs: step.nowMs, workspace, loans: new Set() });
  const { incarnation } = state;
  const request = { kind: 'unitsAsked' as const, boxId, incarnation, host, port, askId, hops: 0 };
  const claimFields =
    claim === undefined
      ? {}
      : { urgency: claim.urgency, heldForMs: Math.round(step.nowMs - claim.heldSinceMs) };
  const begunField = isForBegun ? { isForBegun } : {};
  requestFromEach(step, lenders, { ...request, ...claimFields, ...begunField, workspace, units });
  return true;
}

interface Lender {
  peer: PeerWithMessage;
  /** Units that it announced, less those requested from it since. */
  room: number;
}

/** Returns the reachable boxes that announced spare units, those with the most units first. */
function lendersOf(
  state: GatewayState,
  workspace: string,
  { claim, nowMs }: { claim?: UnitClaim | undefined; nowMs: number },
): Lender[] {
  const lenders: Lender[] = [];
  const countsReservations = claim !== undefined && reservesUnits(state);
  const reservedUnits = countsReservations ? reservedBefore(state, workspace, claim, nowMs) : 0;
  for (const peer of countedPeers(state, nowMs)) {
    const announced = peer.message.room?.[workspace] ?? 0;
    const requested = peer.requestedUnits.get(workspace) ?? 0;
    const spare = announced - requested;
    const divisor = state.part.divisor / peer.message.boxes;
    const room = spare - withheldUnits({ reservedUnits, divisor, spare });
    if (room > 0 && isFreshPeer(peer, nowMs)) lenders.push({ peer, room });
  }
  return lenders.sort((a, b) => b.room - a.room).slice(0, MAX_LENDERS);
}

/**
 * Returns the spare units of a workspace that other boxes announced, less those requested since.
 */
export function announcedUnits(
  state: GatewayState,
  { name }: WorkspaceSpec,
  nowMs: number,
): number {
  return lendersOf(state, name, { nowMs }).reduce((sum, { room }) => sum + room, 0);
}

function claimOfAsked(
  { urgency = UNSTATED_URGENCY, heldForMs = 0, isForBegun }: UnitsAskedMessage,
  nowMs: number,
): UnitClaim {
  return { urgency, heldSinceMs: nowMs - heldForMs, isForBegun };
}

function requestFromEach(step: Step, lenders: readonly Lender[], message: UnitsAskedMessage): void {
  const { workspace } = message;
  let remaining = message.units;
  for (const { peer, room } of lenders) {
    if (remaining <= 0) return;
    const units = Math.min(remaining, room);
    remaining -= units;
    peer.requestedUnits.set(workspace, (peer.requestedUnits.get(workspace) ?? 0) + units);
    step.effects.push({ type: 'sendPeers', message: { ...message, units }, to: [peer.address] });
  }
}

/** Lends the units asked for, as far as there are spare ones. A hub forwards the remainder to its members and to other hubs. */
export function onUnitsAsked(
  state: GatewayState,
  step: Step,
  { message }: EventOf<'unitsAsked'>,
): void {
  const { boxId, host, port, askId, incarnation, hops } = message;
  const workspace = findWorkspace(state, message.workspace);
  if (workspace === undefined || boxId === state.settings.box.id) return;
  const lendable = lendableUnits(state, workspace, claimOfAsked(message, step.nowMs), step.nowMs);
  const units = lendUnits(state, workspace, Math.min(message.units, lendable), step.nowMs);
  if (units > 0) {
    const own = ownAddress(state);
    const lender = { boxId: own.boxId, host: own.host, port: own.port };
    const loanId = state.nextAskId;
    state.nextAskId += 1;
    const answer = { kind: 'unitsLent' as const, ...lender, incarnation, askId, units, loanId };
    recordLent(state, step, message, { units, loanId });
    step.effects.push({ type: 'sendPeers', message: answer, to: [{ host, port }] });
    log(step, 'unitsLent', { peer: boxId, workspace: workspace.name, units: Math.round(units) });
  }
  const remaining = message.units - units;
  if (remaining > 0) forwardRequest(state, step, { ...message, units: remaining, hops: hops + 1 });
}

function forwardRequest(state: GatewayState, step: Step, message: UnitsAskedMessage): void {
  const { workspace, boxId, hops } = message;
  if (!forwardsGossip(state) || hops > MAX_HOPS) return;
  const claim = claimOfAsked(message, step.nowMs);
  const lenders = lendersOf(state, workspace, { claim, nowMs: step.nowMs }).filter(({ peer }) => {
    const isMember = peer.message.scope === GossipScope.box;
    return peer.boxId !== boxId && (isMember || hops < MAX_HOPS);
  });
  requestFromEach(step, lenders, message);
}

/** Accepts lent units. Returns the workspace that they belong to; undefined if they came too late or for an earlier incarnation. */
export function acceptLoan(
  state: GatewayState,
  step: Step,
  { message }: EventOf<'unitsLent'>,
): WorkspaceSpec | undefined {
  const request = state.unitRequests.get(message.askId);
  if (request === undefined || message.incarnation !== state.incarnation) return undefined;
  const workspace = findWorkspace(state, request.workspace);
  const untilMs = request.sentAtMs + LOAN_MS;
  if (workspace === undefined || untilMs < step.nowMs) return undefined;
  const { askId, units, host, port, boxId, loanId } = message;
  // A datagram may arrive twice; the lender has charged its units once.
  const key = `${boxId}/${loanId ?? 0}`;
  if (loanId !== undefined && request.loans.has(key)) return undefined;
  request.loans.add(key);
  const loan = { units, untilMs, askId, loanId, lender: { host, port } };
  quotaOf(state, workspace, step.nowMs).loans.push(loan);
  return workspace;
}

/** Deletes requests for units whose loans would have expired, and records of lent units that can no longer be returned. */
export function pruneLoans(state: GatewayState, nowMs: number): void {
  for (const [askId, { sentAtMs }] of state.unitRequests) {
    if (nowMs - sentAtMs > LOAN_MS) state.unitRequests.delete(askId);
  }
  for (const [key, { countsFromMs }] of state.lentUnits) {
    if (nowMs > countsFromMs) state.lentUnits.delete(key);
  }
}

/**
 * Records a loan so that it can be returned. Without reservations only the first loan for a request
 * is recorded; one made when the request arrives again through another hub cannot be returned.
 */
function recordLent(
  state: GatewayState,
  step: Step,
  message: UnitsAskedMessage,
  { units, loanId }: { units: number; loanId: number },
): void {
  const key = loanKey(message);
  const isFirst = !state.lentUnits.has(key);
  if (!isFirst && !reservesUnits(state)) return;
  const countsFromMs = step.nowMs + LOAN_MS;
  const lent = { workspace: message.workspace, units, loanId, countsFromMs };
  state.lentUnits.set(isFirst ? key : `${key}/${loanId}`, lent);
}

function loanKey({
  boxId,
  incarnation,
  askId,
}: Omit<UnitsReturnedMessage, 'kind' | 'units'>): string {
  return `${boxId}/${incarnation}/${askId}`;
}

/**
 * Returns borrowed units that no request of a workspace waits for. Otherwise many of the units that the
 * boxes of a large fleet lend each other would never be spent, and a workspace that asks for more than
 * its limit would get far less than the limit.
 */
export function returnLoans(state: GatewayState, step: Step, workspace: WorkspaceSpec): void {
  const quota = quotaOf(state, workspace, step.nowMs);
  const { incarnation } = state;
  const { id: boxId } = state.settings.box;
  for (const { units, untilMs, askId, loanId, lender } of quota.loans) {
    if (untilMs < step.nowMs) continue;
    const loanFields = reservesUnits(state) ? { loanId } : {};
    const message = {
      kind: 'unitsReturned' as const,
      boxId,
      incarnation,
      askId,
      units,
      ...loanFields,
    };
    step.effects.push({ type: 'sendPeers', message, to: [lender] });
  }
  quota.loans = [];
}

/**
 * Returns the record of a loan; older boxes do not state its number and return the first loan for a
 * request.
 */
function findLent(
  state: GatewayState,
  message: UnitsReturnedMessage,
): { key: string; lent: LentUnits | undefined } {
  const first = loanKey(message);
  const known = state.lentUnits.get(first);
  const { loanId } = message;
  if (loanId === undefined || known?.loanId === loanId) return { key: first, lent: known };
  const key = `${first}/${loanId}`;
  return { key, lent: state.lentUnits.get(key) };
}

/** Takes back returned units, once for each loan and no more than were lent. */
export function onUnitsReturned(
  state: GatewayState,
  _step: Step,
  { message }: EventOf<'unitsReturned'>,
): void {
  const { key, lent } = findLent(state, message);
  const quota = lent === undefined ? undefined : state.quotas.get(lent.workspace);
  if (lent === undefined || quota === undefined) return;
  state.lentUnits.delete(key);
  const units = Math.max(0, Math.min(lent.units, message.units));
  addUnits(quota.charged, -units, lent.countsFromMs);
}

/** Returns the spare units of this box's share by workspace, for its gossip; workspaces without any are left out. */
export function ownSpareUnits(state: GatewayState, nowMs: number): Record<string, number> {
  const room: Record<string, number> = {};
  for (const workspace of state.active?.configuration.workspaces ?? []) {
    if (workspace.ratePerSecond <= 0) continue;
    const units = Math.floor(spareUnits(state, workspace, nowMs));
    if (units > 0) room[workspace.name] = units;
  }
  return room;
}
