/**
 * Who sends to a server in need, and when.
 *
 * A limit is meant for all boxes together, so one box's own count keeps nothing: eight that
 * each keep to it send eight times as much. For each life of a server all boxes agree by
 * rank on the few that send to it, each with its part. A box that hears only some of the
 * others takes that share of its part alone, so that both sides of a cut together stay
 * within the limit.
 */
import { hashId, hashString, rendezvousWeight } from 'reedlug-coordination';
import { limitNow, nextSendAtMs, noteLimitedSend, sendersOf } from '../policy/serverLimit.js';
import type { GatewayState } from '../state.js';
import type { SenderPlace, ServerLimit } from '../types/serverLimit.js';
import type { PeerView, ServerView } from '../types/views.js';
import { countedPeers, countsFreshly, fleetSize, isSeed, usesHubs } from './fleet.js';

/** Pause between looks who sends to a limited server, in ms: as often as news of boxes come. */
const LOOK_EVERY_MS = 200;

/** Time from its start after which a box is taken to have heard of the limits that stood before, in ms. */
const SETTLED_MS = 3000;

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

/** Whether a server names a limit, or did so a moment ago. */
export function isLimited({ limit }: ServerView, nowMs: number): boolean {
  return limit !== undefined && limitNow(limit, nowMs) !== undefined;
}

/** Time since its last word for which a limited server is sent something where it can be, in ms: the end of its need shows in its next answer alone. */
const WORD_WANTED_MS = 1500;

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
  const known = limit.place;
  const isFresh = known !== undefined && nowMs - known.lookedAtMs < LOOK_EVERY_MS;
  const place = isFresh ? known : look(state, view, nowMs);
  limit.place = place;
  const { rank, heardShare } = place;
  const senders = sendersOf(perSecond, nowMs - limit.heardAtMs);
  const isSender = rank < senders;
  noteSender(state, limit, { isSender, isFirstLook: known === undefined, nowMs });
  return isSender ? (perSecond * heardShare) / Math.min(senders, fleetSize(state)) : 0;
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

/** Finds this box's place among those that may send to a server. */
function look(state: GatewayState, view: ServerView, nowMs: number): SenderPlace {
  const lookedAtMs = nowMs;
  const heardShare = Math.min(1, heardBoxes(state, nowMs) / fleetSize(state));
  // Its callers go to other boxes.
  if (state.stoppingSinceMs !== undefined) {
    return { rank: Number.POSITIVE_INFINITY, heardShare, lookedAtMs };
  }
  const { id, bornAtMs } = view.entry;
  const lifeHash = hashString(`${id} ${bornAtMs ?? ''}`);
  const weightOf = (boxId: string): number => rendezvousWeight(lifeHash, hashId(boxId));
  const own = weightOf(state.settings.box.id);
  let rank = 0;
  for (const peer of state.peers.values()) {
    if (mayBeSender(state, peer, nowMs) && weightOf(peer.boxId) > own) rank += 1;
  }
  return { rank, heardShare, lookedAtMs };
}

/** In a fleet with hubs a box does not hear which of the others are there: all that are listed count. */
function mayBeSender(state: GatewayState, peer: PeerView, nowMs: number): boolean {
  if (isSeed(peer) || peer.message?.leaving === true) return false;
  return usesHubs(state) || (peer.message !== undefined && countsFreshly(peer, nowMs));
}

/** Boxes whose news this one has, itself included. */
function heardBoxes(state: GatewayState, nowMs: number): number {
  const heard = countedPeers(state, nowMs).filter((peer) => countsFreshly(peer, nowMs));
  return 1 + heard.reduce((sum, { message }) => sum + message.boxes, 0);
}
