/**
 * This box's share of a limit that a server names.
 *
 * A limit applies to all boxes together: eight boxes that each send up to the limit send eight times
 * as much. For each incarnation of a server all boxes rank themselves in the same order, and only the
 * first few send to it, each within its share. A box that reaches only a fraction of the others uses
 * only that fraction of its share, so that both sides of a network partition together stay within
 * the limit.
 */
import { hashString } from 'reedlug-coordination';
import { senderCount } from '../../policy/serverLimit.js';
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
} from '../peers/fleet.js';

/** Interval at which the reachable boxes are determined again, in ms; equal to the interval of their gossip. */
const REACHABILITY_REFRESH_MS = 200;
/**
 * Interval at which ranks among listed boxes are computed again, in ms. The list changes seldom, and
 * ranking hundreds of boxes for each of many limited servers is costly.
 */
const LISTED_RANK_REFRESH_MS = 5000;
/** Time after its start by which a box has received the limits that were already in force, in ms. */
const LIMITS_KNOWN_AFTER_MS = 3000;

/** Returns how many requests a second of a server's limit this box may send. */
export function ownShare(
  state: GatewayState,
  view: ServerView,
  { limit, perSecond, nowMs }: { limit: ServerLimit; perSecond: number; nowMs: number },
): number {
  const isFirstRanking = limit.rank === undefined;
  const rank = rankOf(state, { life: incarnationOf(view.entry), ranked: limit, nowMs });
  const senders = senderCount(perSecond, nowMs - limit.receivedAtMs);
  // The callers of a box that shuts down move to other boxes.
  const isSender = rank < senders && state.stoppingSinceMs === undefined;
  recordSender(state, limit, { isSender, isFirstRanking, nowMs });
  if (!isSender) return 0;
  const { boxes, share } = reachableFleet(state, nowMs);
  return (perSecond * share) / Math.min(senders, boxes);
}

/** Records whether this box is one of those that send to a server. */
function recordSender(
  { startedAtMs }: GatewayState,
  { sends, knownSinceMs }: ServerLimit,
  {
    isSender,
    isFirstRanking,
    nowMs,
  }: { isSender: boolean; isFirstRanking: boolean; nowMs: number },
): void {
  if (!isSender) sends.sharingSinceMs = undefined;
  if (!isSender || sends.sharingSinceMs !== undefined) return;
  sends.sharingSinceMs = nowMs;
  sends.replacedAnotherBox = !isFirstRanking || knownSinceMs - startedAtMs < LIMITS_KNOWN_AFTER_MS;
}

/** Returns how many boxes rank before this one among those that may send to a server; cached in `ranked`. */
export function rankOf(
  state: GatewayState,
  params: { life: ServerIncarnation; ranked: { rank: SenderRank | undefined }; nowMs: number },
): number {
  const { life, ranked, nowMs } = params;
  const known = ranked.rank;
  const { viaHubs } = reachableFleet(state, nowMs);
  const refreshMs = viaHubs ? LISTED_RANK_REFRESH_MS : REACHABILITY_REFRESH_MS;
  if (known !== undefined && nowMs - known.checkedAtMs < refreshMs) return known.rank;
  const incarnationHash = hashString(`${life.serverId} ${life.bornAtMs ?? ''}`);
  const rank = boxesRankedBefore(state, incarnationHash, (peer) =>
    mayBeSender(peer, viaHubs, nowMs),
  );
  ranked.rank = { rank, checkedAtMs: nowMs };
  return rank;
}

/** Returns whether a peer is ranked as a sender. With hubs a box does not know which boxes are alive, so all listed ones count. */
function mayBeSender(peer: PeerView, viaHubs: boolean, nowMs: number): boolean {
  if (peer.message?.leaving === true) return false;
  return viaHubs || (peer.message !== undefined && isFreshPeer(peer, nowMs));
}

/** Returns the fleet as this box reaches it, cached since one send may check hundreds of limited servers. */
function reachableFleet(state: GatewayState, nowMs: number): ReachableFleet {
  const known = state.reachableFleet;
  if (known !== undefined && nowMs - known.checkedAtMs < REACHABILITY_REFRESH_MS) return known;
  const reachable = countedPeers(state, nowMs).filter((peer) => isFreshPeer(peer, nowMs));
  const boxes = fleetSize(state);
  const share = Math.min(1, boxesCovered(reachable) / boxes);
  state.reachableFleet = { boxes, share, viaHubs: usesHubs(state), checkedAtMs: nowMs };
  return state.reachableFleet;
}
