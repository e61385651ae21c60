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
import type { WorkspaceSpec } from '../../types/configuration.js';
import {
  countedPeers,
  isFreshPeer,
  forwardsGossip,
  ownAddress,
  type PeerWithMessage,
} from '../peers/fleet.js';
import { findWorkspace, lendUnits, LOAN_MS, quotaOf, spareUnits } from './quotas.js';

/** Maximum number of boxes asked for the units of one request. A large request needs dozens of small shares. */
const MAX_LENDERS = 48;
/** Maximum number of hubs that forward a request for units: the hub of the borrower's own group and one of another group. */
const MAX_HOPS = 2;

/** Requests units from other boxes. Returns false and asks none if they have not announced enough. */
export function requestUnits(
  state: GatewayState,
  step: Step,
  { name: workspace }: WorkspaceSpec,
  units: number,
): boolean {
  const lenders = lendersOf(state, workspace, step.nowMs);
  const announced = lenders.reduce((sum, { room }) => sum + room, 0);
  if (announced < units) return false;
  const { boxId, host, port } = ownAddress(state);
  const askId = state.nextAskId;
  state.nextAskId += 1;
  state.unitRequests.set(askId, { sentAtMs: step.nowMs, workspace });
  const { incarnation } = state;
  const request = { kind: 'unitsAsked' as const, boxId, incarnation, host, port, askId, hops: 0 };
  requestFromEach(step, lenders, { ...request, workspace, units });
  return true;
}

interface Lender {
  peer: PeerWithMessage;
  /** Units that it announced, less those requested from it since. */
  room: number;
}

/** Returns the reachable boxes that announced spare units, those with the most units first. */
function lendersOf(state: GatewayState, workspace: string, nowMs: number): Lender[] {
  const lenders: Lender[] = [];
  for (const peer of countedPeers(state, nowMs)) {
    const announced = peer.message.room?.[workspace] ?? 0;
    const room = announced - (peer.requestedUnits.get(workspace) ?? 0);
    if (room > 0 && isFreshPeer(peer, nowMs)) lenders.push({ peer, room });
  }
  return lenders.sort((a, b) => b.room - a.room).slice(0, MAX_LENDERS);
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
  const units = lendUnits(state, workspace, message.units, step.nowMs);
  if (units > 0) {
    const own = ownAddress(state);
    const lender = { boxId: own.boxId, host: own.host, port: own.port };
    const answer = { kind: 'unitsLent' as const, ...lender, incarnation, askId, units };
    recordLent(state, step, message, units);
    step.effects.push({ type: 'sendPeers', message: answer, to: [{ host, port }] });
    log(step, 'unitsLent', { peer: boxId, workspace: workspace.name, units: Math.round(units) });
  }
  const remaining = message.units - units;
  if (remaining > 0) forwardRequest(state, step, { ...message, units: remaining, hops: hops + 1 });
}

function forwardRequest(state: GatewayState, step: Step, message: UnitsAskedMessage): void {
  const { workspace, boxId, hops } = message;
  if (!forwardsGossip(state) || hops > MAX_HOPS) return;
  const lenders = lendersOf(state, workspace, step.nowMs).filter(({ peer }) => {
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
  const { askId, units, host, port } = message;
  const loan = { units, untilMs, askId, lender: { host, port } };
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
 * Records a loan so that it can be returned. Only the first loan for a request is recorded; one made when the
 * request arrives again through another hub cannot be returned.
 */
function recordLent(
  state: GatewayState,
  step: Step,
  message: UnitsAskedMessage,
  units: number,
): void {
  const key = loanKey(message);
  if (state.lentUnits.has(key)) return;
  const countsFromMs = step.nowMs + LOAN_MS;
  state.lentUnits.set(key, { workspace: message.workspace, units, countsFromMs });
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
  for (const { units, untilMs, askId, lender } of quota.loans) {
    if (untilMs < step.nowMs) continue;
    const message = { kind: 'unitsReturned' as const, boxId, incarnation, askId, units };
    step.effects.push({ type: 'sendPeers', message, to: [lender] });
  }
  quota.loans = [];
}

/** Takes back returned units, once for each loan and no more than were lent. */
export function onUnitsReturned(
  state: GatewayState,
  _step: Step,
  { message }: EventOf<'unitsReturned'>,
): void {
  const key = loanKey(message);
  const lent = state.lentUnits.get(key);
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
