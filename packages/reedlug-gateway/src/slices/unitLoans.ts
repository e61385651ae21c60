/**
 * Units of a limit that boxes lend each other.
 *
 * A box whose part does not hold a request asks those that told it of room. The lender
 * charges its own part before it answers, so a datagram that is lost, late or answered to
 * a life that is gone only makes the limit smaller. The time of a loan begins with the
 * question, which is before the lender charged it, on the clock of the box that sends.
 */
import type { EventOf } from '../types/event.js';
import { GossipScope, type UnitsAskedMessage, type UnitsReturnedMessage } from '../types/peer.js';
import { addUnits } from '../policy/unitWindow.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { WorkspaceSpec } from '../types/configuration.js';
import {
  countedPeers,
  isFreshPeer,
  forwardsGossip,
  ownAddress,
  type PeerWithMessage,
} from './fleet.js';
import { findWorkspace, lendUnits, LOAN_MS, quotaOf, roomOf } from './quotas.js';

/** Boxes asked for the units of one request at most: a large request over small parts takes dozens. */
const MOST_ASKED = 48;
/** Hubs that hand one question on: the asker's own, and those of other groups. */
const MOST_HOPS = 2;

/** Asks others for units; false when they did not tell of that many. */
export function askForUnits(
  state: GatewayState,
  step: Step,
  { name: workspace }: WorkspaceSpec,
  units: number,
): boolean {
  const lenders = lendersOf(state, workspace, step.nowMs);
  const told = lenders.reduce((sum, { room }) => sum + room, 0);
  if (told < units) return false;
  const { boxId, host, port } = ownAddress(state);
  const askId = state.nextAskId;
  state.nextAskId += 1;
  state.unitRequests.set(askId, { sentAtMs: step.nowMs, workspace });
  const { incarnation } = state;
  const asked = { kind: 'unitsAsked' as const, boxId, incarnation, host, port, askId, hops: 0 };
  askEach(step, lenders, { ...asked, workspace, units });
  return true;
}

interface Lender {
  peer: PeerWithMessage;
  /** Units that it told of, less those asked of it since. */
  room: number;
}

/** Boxes heard that told of room, the most first. */
function lendersOf(state: GatewayState, workspace: string, nowMs: number): Lender[] {
  const lenders: Lender[] = [];
  for (const peer of countedPeers(state, nowMs)) {
    const told = peer.message.room?.[workspace] ?? 0;
    const room = told - (peer.requestedUnits.get(workspace) ?? 0);
    if (room > 0 && isFreshPeer(peer, nowMs)) lenders.push({ peer, room });
  }
  return lenders.sort((a, b) => b.room - a.room).slice(0, MOST_ASKED);
}

function askEach(step: Step, lenders: readonly Lender[], message: UnitsAskedMessage): void {
  const { workspace } = message;
  let left = message.units;
  for (const { peer, room } of lenders) {
    if (left <= 0) return;
    const units = Math.min(left, room);
    left -= units;
    peer.requestedUnits.set(workspace, (peer.requestedUnits.get(workspace) ?? 0) + units);
    step.effects.push({ type: 'sendPeers', message: { ...message, units }, to: [peer.address] });
  }
}

/** Lends what is asked for; a hub has the rest asked of its members and of other hubs. */
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
    noteLent(state, step, message, units);
    step.effects.push({ type: 'sendPeers', message: answer, to: [{ host, port }] });
    log(step, 'unitsLent', { peer: boxId, workspace: workspace.name, units: Math.round(units) });
  }
  const left = message.units - units;
  if (left > 0) handOn(state, step, { ...message, units: left, hops: hops + 1 });
}

function handOn(state: GatewayState, step: Step, message: UnitsAskedMessage): void {
  const { workspace, boxId, hops } = message;
  if (!forwardsGossip(state) || hops > MOST_HOPS) return;
  const lenders = lendersOf(state, workspace, step.nowMs).filter(({ peer }) => {
    const isMember = peer.message.scope === GossipScope.box;
    return peer.boxId !== boxId && (isMember || hops < MOST_HOPS);
  });
  askEach(step, lenders, message);
}

/** Takes lent units; returns the workspace that has them, undefined when they came too late. */
export function takeLoan(
  state: GatewayState,
  step: Step,
  { message }: EventOf<'unitsLent'>,
): WorkspaceSpec | undefined {
  const ask = state.unitRequests.get(message.askId);
  if (ask === undefined || message.incarnation !== state.incarnation) return undefined;
  const workspace = findWorkspace(state, ask.workspace);
  const untilMs = ask.sentAtMs + LOAN_MS;
  if (workspace === undefined || untilMs < step.nowMs) return undefined;
  const { askId, units, host, port } = message;
  const loan = { units, untilMs, askId, lender: { host, port } };
  quotaOf(state, workspace, step.nowMs).loans.push(loan);
  return workspace;
}

/** Forgets questions whose loans would have ended, and loans that nobody gives back any more. */
export function forgetOldAsks(state: GatewayState, nowMs: number): void {
  for (const [askId, { sentAtMs }] of state.unitRequests) {
    if (nowMs - sentAtMs > LOAN_MS) state.unitRequests.delete(askId);
  }
  for (const [key, { countsFromMs }] of state.lentUnits) {
    if (nowMs > countsFromMs) state.lentUnits.delete(key);
  }
}

/** One loan of a question can come back; of a second one, by way of another hub, nothing does. */
function noteLent(
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
 * Gives back what a workspace's requests no longer wait for. Without it, many of the units
 * that the boxes of a large fleet lend each other are never sent, and a workspace over its
 * limit gets far less than it.
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

/** Takes units back that were lent, once for each loan, and no more than were lent. */
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

/** Room of this box's part by workspace, for its news; those without room are left out. */
export function ownRoom(state: GatewayState, nowMs: number): Record<string, number> {
  const room: Record<string, number> = {};
  for (const workspace of state.active?.configuration.workspaces ?? []) {
    if (workspace.ratePerSecond <= 0) continue;
    const units = Math.floor(roomOf(state, workspace, nowMs));
    if (units > 0) room[workspace.name] = units;
  }
  return room;
}
