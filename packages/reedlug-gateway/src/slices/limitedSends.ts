/**
 * Who sends to a server in need, and when.
 *
 * A limit is meant for all boxes together, so one box's own count keeps nothing: eight that
 * each keep to it send eight times as much. For each life of a server all boxes agree by
 * rank on the few that send to it, each with its part. A box that hears only some of the
 * others takes that share of its part alone, so that both sides of a cut together stay
 * within the limit.
 */
import { hashString } from 'reedlug-coordination';
import { limitNow, nextSendAtMs, noteLimitedSend, sendersOf } from '../policy/serverLimit.js';
import type { GatewayState } from '../state.js';
import type { HeardFleet, ServerLimit } from '../types/serverLimit.js';
import type { PeerView, ServerView } from '../types/views.js';
import {
  boxesBefore,
  boxesCovered,
  countedPeers,
  countsFreshly,
  fleetSize,
  usesHubs,
} from './fleet.js';

/** Pause between looks which boxes are heard, in ms: as often as their news come. */
const LOOK_EVERY_MS = 200;
/** Pause between looks at a list of boxes that changes seldom, in ms: hundreds of boxes, for each of many limited servers. */
const LOOK_AT_LIST_EVERY_MS = 5000;
/** Time from its start after which a box is taken to have heard of the limits that stood before, in ms. */
const SETTLED_MS = 3000;
/** Time since its last word for which a limited server is sent something where it can be, in ms: the end of its need shows in its next answer alone. */
const WORD_WANTED_MS = 1500;

/** Whether a server's limit lets this box send to it now; each send must pass it, whatever it is for. */
export function mayReceive(state: GatewayState, view: ServerView, nowMs: number): boolean {
  return receivesAtMs(state, view, nowMs) <= nowMs;
}

/** When this box may next send to a server by what the server asks for; never where only others send. */
export function receivesAtMs(state: GatewayState, view: ServerView, nowMs: number): number {
  const { limit } = view;
  const fromMs = Math.max(nowMs, view.pausedUntilMs);
  const perSecond = limit && limitNow(limit, nowMs);
  if (limit === undefined || perSecond === undefined) return fromMs;
  const part = ownPart(state, view, { limit, perSecond, nowMs });
  return Math.max(fromMs, nextSendAtMs(limit.sends, part, nowMs));
}

/** Servers of a service that name a limit or asked for a pause, or did so lately, and do not leave. */
export function limitedServersOf(state: GatewayState, service: string): ServerView[] {
  return [...state.limitedServers].flatMap((id) => {
    const view = state.servers.get(id);
    return view?.entry.service === service && !view.leaving ? [view] : [];
  });
}

/** Whether a server names a limit, or did so a moment ago. */
export function isLimited({ limit }: ServerView, nowMs: number): boolean {
  return limit !== undefined && limitNow(limit, nowMs) !== undefined;
}

/** Whether nothing was heard of a limit for a while. */
export function isWordWanted({ limit }: ServerView, nowMs: number): boolean {
  return limit?.perSecond !== undefined && nowMs - limit.heardAtMs >= WORD_WANTED_MS;
}

/** Notes a send. */
export function noteSendToLimited({ limit }: ServerView, nowMs: number): void {
  if (limit !== undefined) noteLimitedSend(limit.sends, nowMs);
}

/** Requests a second that this box may send of a server's limit. */
function ownPart(
  state: GatewayState,
  view: ServerView,
  { limit, perSecond, nowMs }: { limit: ServerLimit; perSecond: number; nowMs: number },
): number {
  const isFirstLook = limit.place === undefined;
  const rank = rankOf(state, view, limit, nowMs);
  const senders = sendersOf(perSecond, nowMs - limit.heardAtMs);
  // The callers of a box that stops go to others.
  const isSender = rank < senders && state.stoppingSinceMs === undefined;
  noteSender(state, limit, { isSender, isFirstLook, nowMs });
  if (!isSender) return 0;
  const { boxes, share } = fleetNow(state, nowMs);
  return (perSecond * share) / Math.min(senders, boxes);
}

/** Notes whether this box is one of those that send to a server. */
function noteSender(
  { startedAtMs }: GatewayState,
  { sends, knownSinceMs }: ServerLimit,
  { isSender, isFirstLook, nowMs }: { isSender: boolean; isFirstLook: boolean; nowMs: number },
): void {
  if (!isSender) sends.sinceMs = undefined;
  if (!isSender || sends.sinceMs !== undefined) return;
  sends.sinceMs = nowMs;
  sends.followsOther = !isFirstLook || knownSinceMs - startedAtMs < SETTLED_MS;
}

/** How many boxes come before this one among those that may send to a server. */
function rankOf(state: GatewayState, view: ServerView, limit: ServerLimit, nowMs: number): number {
  const known = limit.place;
  const { byHubs } = fleetNow(state, nowMs);
  const lookEveryMs = byHubs ? LOOK_AT_LIST_EVERY_MS : LOOK_EVERY_MS;
  if (known !== undefined && nowMs - known.lookedAtMs < lookEveryMs) return known.rank;
  const { id, bornAtMs } = view.entry;
  const lifeHash = hashString(`${id} ${bornAtMs ?? ''}`);
  const rank = boxesBefore(state, lifeHash, (peer) => mayBeSender(peer, byHubs, nowMs));
  limit.place = { rank, lookedAtMs: nowMs };
  return rank;
}

/** In a fleet with hubs a box does not hear which of the others are there: all that are listed count. */
function mayBeSender(peer: PeerView, byHubs: boolean, nowMs: number): boolean {
  if (peer.message?.leaving === true) return false;
  return byHubs || (peer.message !== undefined && countsFreshly(peer, nowMs));
}

/** The fleet as this box hears it: each send may look at hundreds of limited servers. */
function fleetNow(state: GatewayState, nowMs: number): HeardFleet {
  const known = state.heardFleet;
  if (known !== undefined && nowMs - known.lookedAtMs < LOOK_EVERY_MS) return known;
  const heard = countedPeers(state, nowMs).filter((peer) => countsFreshly(peer, nowMs));
  const boxes = fleetSize(state);
  const share = Math.min(1, boxesCovered(heard) / boxes);
  state.heardFleet = { boxes, share, byHubs: usesHubs(state), lookedAtMs: nowMs };
  return state.heardFleet;
}
