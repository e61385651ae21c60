/**
 * Services whose servers state that they are brittle, see `policy/serverPlaces.ts`.
 *
 * Boxes tell each other of them in each gossip message, so all know within some tenths of a second.
 */
import { hashString } from 'reedlug-coordination';
import { isNewerLimit } from '../../policy/serverLimit.js';
import {
  hasOwnPlace,
  hasSparePlace,
  partOf,
  REJECTION_WINDOW_MS,
  riskedRejections,
  type PlaceView,
} from '../../policy/serverPlaces.js';
import { totalLoad } from '../../policy/serverLoad.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { BrittleServiceGossip, PlaceUse } from '../../types/brittleService.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type { LimitObservation } from '../../types/serverStatement.js';
import type { ServerView } from '../../types/views.js';
import { boxesRankedBefore, countedPeers, fleetDiscoveredAtMs, fleetSize } from '../peers/fleet.js';

/** Time without an answer of its servers after which a service is not brittle any more, in ms. */
const SILENT_SERVICE_MS = 30_000;
/** Time for which the end is told to other boxes, in ms. */
const ENDED_GOSSIP_MS = 5000;
/** Time for which less urgent requests leave places to more urgent ones after one was refused, in ms. */
const REFUSED_LATELY_MS = 500;
/** Share of this box's places that they leave. */
const KEPT_SHARE = 0.125;
/** Boxes that a box which has just started counts for each one that it knows. */
const UNDISCOVERED_FACTOR = 2;
/** Interval at which boxes are ranked anew, in ms. */
const RANK_REFRESH_MS = 1000;

/** Merges what an answer, or another box, says of a service; `source` names the request or the box. */
export function mergeBrittleService(
  state: GatewayState,
  step: Step,
  { service, stated, source }: { service: string; stated: LimitObservation; source: string },
): void {
  const known = state.brittleServices.get(service);
  if (known === undefined && stated.perSecond === undefined) return;
  if (!isNewerLimit(stated, known?.stated)) return;
  const before = known?.stated.perSecond;
  state.brittleServices.set(service, { refusedAtMs: new Map(), ...known, stated });
  if (before === stated.perSecond) return;
  log(step, stated.perSecond === undefined ? 'serviceNotBrittle' : 'serviceBrittle', {
    service,
    rejectionsPerSecond: stated.perSecond ?? 0,
    source,
    ageMs: Math.round(step.nowMs - stated.receivedAtMs),
  });
}

/** Returns how many rejections a second a server of a service bears; undefined if it is not brittle. */
export function rejectionsBorne(state: GatewayState, service: string): number | undefined {
  // Avoids a look-up for each of thousands of servers.
  if (state.brittleServices.size === 0) return undefined;
  return state.brittleServices.get(service)?.stated.perSecond;
}

/** Returns what this box tells others of brittle services. */
export function brittleGossip(
  { brittleServices }: GatewayState,
  nowMs: number,
): BrittleServiceGossip[] {
  return [...brittleServices].map(([service, { stated }]) => ({
    service,
    rejectionsPerSecond: stated.perSecond,
    sentAgeMs: Math.round(nowMs - stated.sentAtMs),
    receivedAgeMs: Math.round(nowMs - stated.receivedAtMs),
  }));
}

/** Merges what another box tells of brittle services. */
export function mergeBrittleGossip(
  state: GatewayState,
  step: Step,
  { boxId, brittle }: { boxId: string; brittle: readonly BrittleServiceGossip[] },
): void {
  for (const { service, rejectionsPerSecond, sentAgeMs, receivedAgeMs } of brittle) {
    const sentAtMs = step.nowMs - sentAgeMs;
    const receivedAtMs = step.nowMs - receivedAgeMs;
    const stated = { perSecond: rejectionsPerSecond, sentAtMs, receivedAtMs };
    mergeBrittleService(state, step, { service, stated, source: boxId });
  }
}

/** Forgets services that ended being brittle, or whose servers have not answered for long. */
export function brittleServicesTick({ brittleServices }: GatewayState, nowMs: number): void {
  for (const [service, { stated }] of brittleServices) {
    const keptMs = stated.perSecond === undefined ? ENDED_GOSSIP_MS : SILENT_SERVICE_MS;
    if (nowMs - stated.receivedAtMs >= keptMs) brittleServices.delete(service);
  }
}

/** Records that a request was refused because this box has no place for it. */
export function recordPlaceRefusal(
  { brittleServices }: GatewayState,
  { service, urgency }: RequestRecord,
  nowMs: number,
): void {
  brittleServices.get(service)?.refusedAtMs.set(urgency, nowMs);
}

/** Whether a request leaves the last places of this box to more urgent ones, some of which were refused lately. */
export function yieldsPlaces(
  state: GatewayState,
  { service, urgency, attempts }: RequestRecord,
  nowMs: number,
): boolean {
  const borne = rejectionsBorne(state, service);
  const refusedAtMs = state.brittleServices.get(service)?.refusedAtMs;
  if (borne === undefined || refusedAtMs === undefined || attempts.length > 0) return false;
  const isShort = [...refusedAtMs].some(
    ([other, atMs]) => other < urgency && nowMs - atMs < REFUSED_LATELY_MS,
  );
  if (!isShort) return false;
  let own = 0;
  let free = 0;
  for (const view of state.servers.values()) {
    if (view.entry.service !== service || view.leaving) continue;
    const { ownPlaces, ownRunning } = placesAt(state, view, borne, nowMs);
    own += ownPlaces;
    free += Math.max(0, ownPlaces - ownRunning);
  }
  return free <= own * KEPT_SHARE;
}

/** Whether a send may use a place of a server: one of this box's own, or with `usesSpare` a free one of others. */
export function hasPlace(
  state: GatewayState,
  view: ServerView,
  { usesSpare, nowMs }: { usesSpare: boolean; nowMs: number },
): boolean {
  const borne = rejectionsBorne(state, view.entry.service);
  if (borne === undefined) return true;
  const places = placesAt(state, view, borne, nowMs);
  if (hasOwnPlace(places)) return true;
  return usesSpare && hasSparePlace(places, totalLoad(view, countedPeers(state, nowMs)).running);
}

function placesAt(state: GatewayState, view: ServerView, borne: number, nowMs: number): PlaceView {
  const use = placeUseOf(state, view, nowMs);
  const sharing = { rank: use.rank, boxes: sharingBoxes(state, nowMs) };
  const { slots } = view.entry;
  const refusedAtMs = view.statements?.refusal?.atMs ?? Number.NEGATIVE_INFINITY;
  use.rejectedAtMs = use.rejectedAtMs.filter((atMs) => nowMs - atMs < REJECTION_WINDOW_MS);
  return {
    places: slots,
    ownPlaces: partOf(slots, sharing),
    ownRunning: view.running,
    riskedRejections: riskedRejections(borne, sharing),
    recentRejections: use.rejectedAtMs.length,
    openSpareSends: use.openSpareSends,
    hasRejected: nowMs - refusedAtMs < REJECTION_WINDOW_MS,
  };
}

/** Returns among how many boxes places are shared. A box that has just started may not have heard of all. */
function sharingBoxes(state: GatewayState, nowMs: number): number {
  const isDiscovered = nowMs >= fleetDiscoveredAtMs(state);
  return fleetSize(state) * (isDiscovered ? 1 : UNDISCOVERED_FACTOR);
}

function placeUseOf(state: GatewayState, view: ServerView, nowMs: number): PlaceUse {
  const known = view.placeUse;
  if (known !== undefined && nowMs - known.rankedAtMs < RANK_REFRESH_MS) return known;
  const { id, bornAtMs } = view.entry;
  const keyHash = hashString(`${id} ${bornAtMs ?? ''}`);
  // A box that stops still has callers, so it keeps its places.
  const rank = boxesRankedBefore(state, keyHash, () => true);
  const use = { rejectedAtMs: [], openSpareSends: 0, ...known, rank, rankedAtMs: nowMs };
  view.placeUse = use;
  return use;
}

/** Returns whether a send takes a place beyond this box's own; called before the send is counted. */
export function takesSparePlace(state: GatewayState, view: ServerView, nowMs: number): boolean {
  const borne = rejectionsBorne(state, view.entry.service);
  if (borne === undefined) return false;
  const places = placesAt(state, view, borne, nowMs);
  const isSpare = !hasOwnPlace(places);
  if (isSpare) placeUseOf(state, view, nowMs).openSpareSends += 1;
  return isSpare;
}

/** Records that a server took a request in, or that the attempt ended. */
export function releaseSparePlace(view: ServerView, attempt: Attempt): void {
  if (!attempt.usesSparePlace) return;
  attempt.usesSparePlace = false;
  if (view.placeUse !== undefined) view.placeUse.openSpareSends -= 1;
}

/** Records that a server rejected a request. */
export function recordRejection(view: ServerView, nowMs: number): void {
  view.placeUse?.rejectedAtMs.push(nowMs);
}
