/**
 * This box's part of a limit that a server names.
 *
 * A limit is meant for all boxes together, so one box's own count keeps nothing: eight that
 * each keep to it send eight times as much. For each life of a server all boxes agree by
 * rank on the few that send to it, each with its part. A box that hears only some of the
 * others takes that share of its part alone, so that both sides of a cut together stay
 * within the limit.
 */
import { hashString } from 'reedlug-coordination';
import { sendersOf } from '../../policy/serverLimit.js';
import type { GatewayState } from '../../state.js';
import { incarnationOf, type ServerIncarnation } from '../../types/server.js';
import type { ReachableFleet, SenderRank, ServerLimit } from '../../types/serverStatement.js';
import type { PeerView, ServerView } from '../../types/views.js';
import {
  boxesRankedBefore,
  boxesCovered,
  countedPeers,
  isFreshPeer,
  fleetSize,
  usesHubs,
} from '../fleet.js';

/** Pause between looks which boxes are heard, in ms: as often as their news come. */
const LOOK_EVERY_MS = 200;
/** Pause between looks at a list of boxes that changes seldom, in ms: hundreds of boxes, for each of many limited servers. */
const LOOK_AT_LIST_EVERY_MS = 5000;
/** Time from its start after which a box is taken to have heard of the limits that stood before, in ms. */
const SETTLED_MS = 3000;

/** Requests a second that this box may send of a server's limit. */
export function ownPart(
  state: GatewayState,
  view: ServerView,
  { limit, perSecond, nowMs }: { limit: ServerLimit; perSecond: number; nowMs: number },
): number {
  const isFirstLook = limit.rank === undefined;
  const rank = rankOf(state, { life: incarnationOf(view.entry), ranked: limit, nowMs });
  const senders = sendersOf(perSecond, nowMs - limit.receivedAtMs);
  // The callers of a box that stops go to others.
  const isSender = rank < senders && state.stoppingSinceMs === undefined;
  noteSender(state, limit, { isSender, isFirstLook, nowMs });
  if (!isSender) return 0;
  const { boxes, share } = reachedFleet(state, nowMs);
  return (perSecond * share) / Math.min(senders, boxes);
}

/** Notes whether this box is one of those that send to a server. */
function noteSender(
  { startedAtMs }: GatewayState,
  { sends, knownSinceMs }: ServerLimit,
  { isSender, isFirstLook, nowMs }: { isSender: boolean; isFirstLook: boolean; nowMs: number },
): void {
  if (!isSender) sends.sharingSinceMs = undefined;
  if (!isSender || sends.sharingSinceMs !== undefined) return;
  sends.sharingSinceMs = nowMs;
  sends.replacedAnotherBox = !isFirstLook || knownSinceMs - startedAtMs < SETTLED_MS;
}

/** How many boxes come before this one among those that may send to a server; kept in what is ranked. */
export function rankOf(
  state: GatewayState,
  params: { life: ServerIncarnation; ranked: { rank: SenderRank | undefined }; nowMs: number },
): number {
  const { life, ranked, nowMs } = params;
  const known = ranked.rank;
  const { viaHubs } = reachedFleet(state, nowMs);
  const lookEveryMs = viaHubs ? LOOK_AT_LIST_EVERY_MS : LOOK_EVERY_MS;
  if (known !== undefined && nowMs - known.checkedAtMs < lookEveryMs) return known.rank;
  const lifeHash = hashString(`${life.serverId} ${life.bornAtMs ?? ''}`);
  const rank = boxesRankedBefore(state, lifeHash, (peer) => mayBeSender(peer, viaHubs, nowMs));
  ranked.rank = { rank, checkedAtMs: nowMs };
  return rank;
}

/** In a fleet with hubs a box does not hear which of the others are there: all that are listed count. */
function mayBeSender(peer: PeerView, byHubs: boolean, nowMs: number): boolean {
  if (peer.message?.leaving === true) return false;
  return byHubs || (peer.message !== undefined && isFreshPeer(peer, nowMs));
}

/** The fleet as this box hears it: each send may look at hundreds of limited servers. */
function reachedFleet(state: GatewayState, nowMs: number): ReachableFleet {
  const known = state.reachableFleet;
  if (known !== undefined && nowMs - known.checkedAtMs < LOOK_EVERY_MS) return known;
  const heard = countedPeers(state, nowMs).filter((peer) => isFreshPeer(peer, nowMs));
  const boxes = fleetSize(state);
  const share = Math.min(1, boxesCovered(heard) / boxes);
  state.reachableFleet = { boxes, share, viaHubs: usesHubs(state), checkedAtMs: nowMs };
  return state.reachableFleet;
}
