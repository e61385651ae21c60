/** Rules of the confirmed configuration for routing, admission and placement. */
import type { RequestSpec } from '../types/request.js';
import { RequestClass } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { ServerView } from '../types/views.js';
import { siteOfZone } from '../state.js';
import { itemName, itemValue, type KeepOff, type PoolMove, type Priority } from './items.js';

const HASH_RANGE = 0x1_0000_0000;

/** Returns the request class that an operator has set for a workspace, if any. */
export function priorityOf(state: BoxState, workspaceId: string): RequestClass | undefined {
  return itemValue<Priority>(state, itemName.priority(workspaceId))?.requestClass;
}

/** Returns the share of conversations that a moving pool serves at its new site, in whole steps. */
export function movedShare(move: PoolMove, epochMs: number): number {
  if (move.haltedAtShare !== undefined) return move.haltedAtShare;
  const spanMs = Math.max(1, move.endsAtEpochMs - move.startsAtEpochMs);
  const passed = (epochMs - move.startsAtEpochMs) / spanMs;
  const steps = Math.floor(Math.min(1, Math.max(0, passed)) * move.steps);
  return steps / move.steps;
}

/** The rules for the servers of one request, computed once for all servers. */
export interface ServerRules {
  avoidReclaimable: boolean;
  /** The new site of a pool on a move, and whether the request runs there or at another site. */
  move: { toSite: string; runsAtNewSite: boolean } | undefined;
}

/** Returns the server rules for a request. */
export function rulesFor(state: BoxState, spec: RequestSpec): ServerRules {
  const avoidReclaimable = isKeptOff(state, spec.requestClass);
  const move = itemValue<PoolMove>(state, itemName.poolMove(spec.pool));
  if (move === undefined) return { avoidReclaimable, move: undefined };
  const runsAtNewSite = spec.affinityHash / HASH_RANGE < movedShare(move, state.epochMs);
  return {
    avoidReclaimable,
    move: { toSite: move.toSite, runsAtNewSite },
  };
}

/** True if the rules allow a server for the request. */
export function serverAllowed(state: BoxState, view: ServerView, rules: ServerRules): boolean {
  if (rules.avoidReclaimable && view.spec.reclaimable) return false;
  if (rules.move === undefined) return true;
  const isNew = siteOfZone(state.settings, view.spec.zone) === rules.move.toSite;
  return rules.move.runsAtNewSite === isNew;
}

function isKeptOff(state: BoxState, requestClass: RequestClass): boolean {
  const rule = itemValue<KeepOff>(state, itemName.keepOff(requestClass));
  if (rule === undefined) return false;
  return state.epochMs >= rule.startsAtEpochMs && state.epochMs < rule.endsAtEpochMs;
}

/** False while any class is kept off reclaimable machines; placement then starts on-demand ones only. */
export function reclaimableAllowed(state: BoxState): boolean {
  return !isKeptOff(state, RequestClass.urgent) && !isKeptOff(state, RequestClass.patient);
}
