/**
 * This box's share of all limits: one divided by the number of boxes that the store lists.
 *
 * Shares must never sum to more than the whole, even while boxes join, restart or are partitioned from
 * the network. So a joining box holds no share until all listed boxes have read a list that contains it
 * and have kept to their smaller share for a window. Once it holds a share, its entry in the list says
 * so, and its later incarnations hold the share from their start, whichever other boxes are unreachable.
 * An incarnation may end before its entry says so. The next one finds the entry without the statement,
 * joins as a new box does, and charges what the earlier one may have used.
 */
import { describeRevision } from 'reedlug-coordination';
import { priorUseOfShare } from '../../policy/priorUseOfShare.js';
import type { LimitShare, LimitShareGossip } from '../../types/limitShare.js';
import type { EventOf } from '../../types/event.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { PeerMessage } from '../../types/peer.js';
import { dutyFence } from '../store/dutyLease.js';
import { mayShowBackup } from '../store/storeEra.js';
import { countedPeers, isFreshPeer, knownGroups, ownAddress, usesHubs } from '../peers/fleet.js';
import { chargeWindowMs } from './limitWindow.js';
import { LOAN_MS } from './quotas.js';

/** Time after its start before a joining box checks whether all boxes know it, in ms. Boxes that start together are all listed by then. */
const JOIN_AFTER_MS = 3000;
/**
 * Delay before the registration of this box's share in the list is retried, in ms; as long as a poll of
 * the list is held. Each write wakes all boxes, and nothing waits for it.
 */
const REGISTRATION_RETRY_MS = 30_000;
/** Silence of a listed box after which it is removed from the list, in ms. Until then no other box can use its share. */
const UNLISTED_AFTER_MS = 600_000;
/** Interval between checks for boxes that are gone, in ms. */
const GONE_CHECK_INTERVAL_MS = 60_000;
/** Time without the store after which a box that does not reach all others drops its share, in ms. It may soon be removed from the list. */
const SHARE_LAPSES_MS = 300_000;

/** Applies the store's list of boxes to this box's share, after the peers have been updated from it. */
export function recordBoxesListed(
  state: GatewayState,
  step: Step,
  { changes, whole, revision }: EventOf<'peersListed'>,
): void {
  const { part } = state;
  if (revision === undefined) return;
  const own = changes.find(({ boxId }) => boxId === state.settings.box.id);
  // A box writes no entry before it has read the list.
  if (!part.hasReadList) part.hadEarlierLife = own?.address !== undefined;
  part.hasReadList ||= whole === true;
  part.listRevision = Math.max(part.listRevision, revision);
  if (own !== undefined || whole === true) {
    part.isRegistered = own?.holdsPart === true;
    // A box that a restored backup lacks keeps its share, since all others still divide by it.
    const isKept =
      own === undefined && part.opening !== undefined && mayShowBackup(state, step.nowMs);
    if (!isKept) part.ownRevision = own?.address === undefined ? undefined : own.revision;
  }
  if (part.ownRevision === undefined) dropShare(state, step, 'notListed');
  updateDivisor(state, step);
  const isRestart = part.isRegistered && part.opening === undefined;
  if (isRestart) acquireShare(state, step, { kind: 'earlierLife', atMs: state.processStartedAtMs });
}

function updateDivisor(state: GatewayState, step: Step): void {
  const { part } = state;
  let listed = 1;
  for (const peer of state.peers.values()) if (peer.listed) listed += 1;
  if (listed > part.divisor && part.opening !== undefined) part.dividedSinceMs = step.nowMs;
  part.divisor = listed;
}

function acquireShare(
  state: GatewayState,
  step: Step,
  opening: NonNullable<LimitShare['opening']>,
): void {
  const { part } = state;
  part.opening = opening;
  for (const quota of state.quotas.values()) quota.isPriorUseCharged = false;
  // An earlier incarnation may have divided by fewer boxes until it ended.
  if (opening.kind === 'earlierLife') part.dividedSinceMs = step.nowMs;
  log(step, 'partHeld', {
    opening: opening.kind,
    divisor: part.divisor,
    listRevision: describeRevision(part.listRevision),
  });
}

function dropShare(state: GatewayState, step: Step, reason: string): void {
  if (state.part.opening === undefined) return;
  state.part.opening = undefined;
  log(step, 'partDropped', { reason });
}

/** Acquires a share once all others know this box, drops it if the box may have been removed from the list, and keeps the list up to date. */
export function limitShareTick(state: GatewayState, step: Step): void {
  unlistGoneBoxes(state, step);
  if (state.part.opening === undefined) tryAcquireShare(state, step);
  else if (mayBeUnlisted(state, step.nowMs)) dropShare(state, step, 'noContact');
  else registerShare(state, step);
}

function tryAcquireShare(state: GatewayState, step: Step): void {
  const { part } = state;
  if (part.ownRevision === undefined || step.nowMs - state.startedAtMs < JOIN_AFTER_MS) return;
  const { boxes, listRevision, dividedForMs } = otherShares(state, step.nowMs);
  if (boxes < part.divisor - 1 || listRevision < part.ownRevision) return;
  const { processStartedAtMs: startedAtMs } = state;
  const opening = priorUseOfShare({
    dividedAtMs: dividedForMs === undefined ? undefined : step.nowMs - dividedForMs,
    earlierLifeEndedAtMs: part.hadEarlierLife ? startedAtMs : undefined,
    windowMs: chargeWindowMs(state) + LOAN_MS,
  });
  acquireShare(state, step, opening);
}

/** Returns the sum of what the listed boxes that are reachable now report of their shares. */
function otherShares(state: GatewayState, nowMs: number): LimitShareGossip {
  const isMember = state.hubId !== undefined;
  const reachable = countedPeers(state, nowMs).filter(
    (peer) => isFreshPeer(peer, nowMs) && (isMember || peer.listed),
  );
  return sumShares(reachable.map(({ message }) => message));
}

function registerShare(state: GatewayState, step: Step): void {
  const { part } = state;
  if (part.isRegistered || step.nowMs - part.registrationSentAtMs < REGISTRATION_RETRY_MS) return;
  part.registrationSentAtMs = step.nowMs;
  const address = ownAddress(state);
  step.effects.push({ type: 'enterBox', boxId: address.boxId, address, holdsPart: true });
}

/** Returns whether this box may be considered gone and removed from the list: it has long been without the store and does not reach all boxes. */
function mayBeUnlisted(state: GatewayState, nowMs: number): boolean {
  const contactAtMs = Math.max(
    state.storeContactAtMs ?? state.startedAtMs,
    state.storeContactByPeerAtMs,
  );
  if (nowMs - contactAtMs < SHARE_LAPSES_MS) return false;
  return otherShares(state, nowMs).boxes < state.part.divisor - 1;
}

/** Removes boxes from the list that have long been silent towards this box, if it is the one that receives their gossip. */
function unlistGoneBoxes(state: GatewayState, step: Step): void {
  const { part } = state;
  if (step.nowMs - part.goneBoxesCheckedAtMs < GONE_CHECK_INTERVAL_MS) return;
  part.goneBoxesCheckedAtMs = step.nowMs;
  for (const boxId of monitoredBoxes(state, step.nowMs)) {
    const peer = state.peers.get(boxId);
    if (peer?.listed !== true || step.nowMs - peer.lastReceivedAtMs < UNLISTED_AFTER_MS) continue;
    log(step, 'boxUnlisted', { peer: boxId });
    step.effects.push({ type: 'enterBox', boxId, address: undefined, holdsPart: false });
  }
}

/**
 * Returns the boxes that send this one their gossip. All boxes send it to the holder of the lease (the box
 * that acts for the fleet); in a large fleet those of a group send it to their hub (the box that forwards
 * it).
 */
function monitoredBoxes(state: GatewayState, nowMs: number): string[] {
  if (!usesHubs(state)) return dutyFence(state, nowMs) === undefined ? [] : [...state.peers.keys()];
  if (state.hubId !== undefined) return [];
  return knownGroups(state).own.map(({ boxId }) => boxId);
}

/** Returns what this box reports of its own share. */
export function ownShareGossip({ part }: GatewayState, nowMs: number): LimitShareGossip {
  const { dividedSinceMs } = part;
  return {
    boxes: part.ownRevision === undefined ? 0 : 1,
    listRevision: part.listRevision,
    dividedForMs:
      part.opening === undefined
        ? undefined
        : Math.round(nowMs - (dividedSinceMs ?? Number.NEGATIVE_INFINITY)),
  };
}

/** Sums up the shares reported in several messages. */
export function sumShares(messages: readonly PeerMessage[]): LimitShareGossip {
  const shares = messages.map(shareOf);
  const ages = shares.map(({ dividedForMs }) => dividedForMs).filter((ms) => ms !== undefined);
  return {
    boxes: shares.reduce((sum, { boxes }) => sum + boxes, 0),
    listRevision: Math.min(...shares.map(({ listRevision }) => listRevision)),
    dividedForMs: ages.length === 0 ? undefined : Math.min(...ages),
  };
}

/** Returns the share in a message. Older boxes report none and must not delay a joining box. */
function shareOf({ part, boxes }: PeerMessage): LimitShareGossip {
  return part ?? { boxes, listRevision: Number.MAX_SAFE_INTEGER, dividedForMs: 0 };
}
