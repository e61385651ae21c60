/**
 * Standing of workspaces, and precedence of urgent requests, while a service is short of capacity.
 */
import { maxExpectedMs } from '../../policy/decideSend.js';
import { expectedWaitMs, type EngineModel } from '../../policy/engineModel.js';
import {
  computeStandings,
  standingRank,
  type ServiceStandings,
  type Standing,
} from '../../policy/fairShare.js';
import type { Choice } from '../../policy/chooseServer.js';
import { tokensAhead } from '../../policy/serverLoad.js';
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import type { ServerLoad } from '../../types/peer.js';
import { countedPeers } from '../peers/fleet.js';
import { fleetWork, ratePerSecond, serviceWorkOf } from './workSums.js';

/** Interval between computations of the standings, in ms: a quarter of the interval of gossip. */
const STANDINGS_INTERVAL_MS = 50;
/**
 * Time for which a refusal holds back requests that it precedes, in ms: after it, this box has new
 * loads from all others.
 */
const REFUSAL_HOLD_MS = 250;
/** Weight of a new request in the figures of a typical one. */
const TYPICAL_WEIGHT = 1 / 16;
/** Time after the last request of an urgency until its typical request is ignored, in ms. */
const TYPICAL_LIFE_MS = 10_000;

const EVEN: Standing = { kind: 'even' };

/** Returns the standings of the workspaces at a service, at most some tens of ms old. */
export function standingsOf(state: GatewayState, service: string, nowMs: number): ServiceStandings {
  const known = serviceWorkOf(state, service, nowMs);
  if (known.standings === undefined || nowMs - known.standingsAtMs >= STANDINGS_INTERVAL_MS) {
    known.standings = computeStandings(fleetWork(state, service, nowMs));
    known.standingsAtMs = nowMs;
  }
  return known.standings;
}

/** Returns the standing of a request's workspace; undefined while capacity is not shared. */
export function standingOf(
  state: GatewayState,
  { service, workspace = '' }: Pick<RequestRecord, 'service' | 'workspace'>,
  nowMs: number,
): Standing | undefined {
  if (!state.settings.load.shareCapacity) return undefined;
  const { standings } = standingsOf(state, service, nowMs);
  // A workspace that requested nothing lately is under its share of a service that is short.
  return standings.get(workspace) ?? (standings.size > 0 ? { kind: 'under' } : EVEN);
}

/** Returns the figures of a service's recent work for metrics. */
export function shareFigures(
  state: GatewayState,
  service: string,
  nowMs: number,
): { requested: number; admitted: number; workspacesOver: number } {
  const { standings, requested, admitted } = standingsOf(state, service, nowMs);
  const over = [...standings.values()].filter(({ kind }) => kind === 'over');
  return {
    requested: ratePerSecond(requested),
    admitted: ratePerSecond(admitted),
    workspacesOver: over.length,
  };
}

/**
 * Returns the age of the oldest figures in the standings of a service, in ms: of this computation
 * or of the last message.
 */
export function standingAgeMs(state: GatewayState, service: string, nowMs: number): number {
  const { standingsAtMs } = serviceWorkOf(state, service, nowMs);
  const received = countedPeers(state, nowMs).map(({ lastReceivedAtMs }) => lastReceivedAtMs);
  return nowMs - Math.min(standingsAtMs, ...received);
}

/** Figures of a choice by which other requests at its server are judged. */
type ChoiceFigures = Pick<Choice, 'conditions' | 'prefillTokens' | 'expectedMs' | 'modelMs'>;

/** Returns the time to the first event that a request needs by itself, without a queue. */
export function idleMsOf(model: EngineModel, choice: ChoiceFigures): number {
  const { running, slots } = choice.conditions;
  const conditions = {
    tokens: choice.prefillTokens,
    running: Math.min(running, slots - 1),
    slots,
  };
  return expectedWaitMs(model, conditions) * slownessOf(choice);
}

/** Returns the factor by which the speed of the chosen server lengthens times of the model. */
function slownessOf({ expectedMs, modelMs }: ChoiceFigures): number {
  return modelMs > 0 ? expectedMs / modelMs : 1;
}

/** Updates the typical request of an urgency, with which less urgent requests are compared. */
export function recordKind(
  state: GatewayState,
  { service, urgency, route }: RequestRecord,
  prefillTokens: number,
  nowMs: number,
): void {
  const { typical } = serviceWorkOf(state, service, nowMs);
  const known = typical.get(urgency);
  if (known === undefined) {
    typical.set(urgency, { targetMs: route.targetMs, prefillTokens, seenAtMs: nowMs });
    return;
  }
  known.seenAtMs = nowMs;
  known.targetMs += (route.targetMs - known.targetMs) * TYPICAL_WEIGHT;
  known.prefillTokens += (prefillTokens - known.prefillTokens) * TYPICAL_WEIGHT;
}

/** Records a refusal that is due to the load and not to the size of the request. */
export function recordRefusal(
  state: GatewayState,
  { service, urgency }: RequestRecord,
  standing: Standing,
  nowMs: number,
): void {
  const { refusals } = serviceWorkOf(state, service, nowMs);
  const rank = standingRank(standing);
  const known = refusals.get(urgency);
  const isKnownValid = known !== undefined && nowMs - known.atMs < REFUSAL_HOLD_MS;
  refusals.set(urgency, { atMs: nowMs, rank: isKnownValid ? Math.min(rank, known.rank) : rank });
}

/** A request, the server chosen for it, and what is known of both. */
interface JudgedRequest {
  record: RequestRecord;
  standing: Standing;
  choice: Choice;
  load: ServerLoad;
  model: EngineModel;
  nowMs: number;
}

/** Why a request yields to others; undefined if it does not. */
export type YieldReason = 'underShareRefused' | 'urgentRefused' | 'urgentWouldBeRefused';

/**
 * Returns why a request must be refused because one that takes precedence is refused; undefined if
 * it need not.
 */
export function yieldReason(state: GatewayState, params: JudgedRequest): YieldReason | undefined {
  const { record, standing, nowMs } = params;
  const { refusals } = serviceWorkOf(state, record.service, nowMs);
  const ownRank = standingRank(standing);
  for (const [urgency, { atMs, rank }] of refusals) {
    if (nowMs - atMs >= REFUSAL_HOLD_MS) continue;
    if (rank === 0 && ownRank > 0) return 'underShareRefused';
    if (urgency < record.urgency && ownRank >= rank) return 'urgentRefused';
  }
  // While the service is not short of capacity, more urgent requests find another server.
  if (standing.kind === 'even') return undefined;
  return wouldRefuseMoreUrgent(state, params) ? 'urgentWouldBeRefused' : undefined;
}

/**
 * Returns whether a typical request of a more urgent kind and the same standing would be refused at
 * the server.
 */
function wouldRefuseMoreUrgent(state: GatewayState, params: JudgedRequest): boolean {
  const { record, standing, choice, load, model, nowMs } = params;
  const { running, slots } = choice.conditions;
  const { typical } = serviceWorkOf(state, record.service, nowMs);
  for (const [urgency, { targetMs, prefillTokens, seenAtMs }] of typical) {
    if (urgency >= record.urgency || nowMs - seenAtMs > TYPICAL_LIFE_MS) continue;
    // A kind that is late even at an empty engine says nothing about the load.
    if (model.baseMs + prefillTokens / model.tokensPerMs > targetMs) continue;
    const tokens = tokensAhead(load, urgency) + prefillTokens;
    const expectedMs = expectedWaitMs(model, { tokens, running, slots }) * slownessOf(choice);
    const limitMs = maxExpectedMs({
      expectedMs,
      running,
      slots,
      targetMs,
      leftMs: record.deadlineAtMs - nowMs,
      hasReturned: false,
      standing,
      idleMs: idleMsOf(model, { ...choice, prefillTokens }),
    });
    if (expectedMs > limitMs) return true;
  }
  return false;
}
