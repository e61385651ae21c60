/**
 * This box's part of all limits: one over the number of boxes that the store lists.
 *
 * Parts may never sum to more than the whole, also while boxes join, are cut off or
 * start anew. So a box that joins holds no part until all that are listed have read a
 * list with it, and have sent with the smaller part for a window. Once it holds one, its
 * entry in the list says so, and its next lives hold it from their start, whoever is away.
 */
import { describeRevision } from 'reedlug-coordination';
import type { LimitShare, LimitShareGossip } from '../types/limitShare.js';
import type { EventOf } from '../types/event.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { PeerMessage } from '../types/peer.js';
import { dutyFence } from './dutyLease.js';
import { mayShowBackup } from './storeEra.js';
import { countedPeers, isFreshPeer, knownGroups, ownAddress, usesHubs } from './fleet.js';

/** Time from its start before a box that joins looks whether all know it, in ms: boxes that start together are all listed by then. */
const JOIN_AFTER_MS = 3000;
/** Pause before the store is asked again to enter that this box holds its part, in ms: as long as a poll of the list is held. Each write wakes all boxes, and nothing waits for it. */
const ENTER_AGAIN_MS = 30_000;
/** Silence of a listed box after which it is taken off the list, in ms: its part is lost to all others until then. */
const UNLISTED_AFTER_MS = 600_000;
/** Pause between looks for boxes that are gone, in ms. */
const LOOK_FOR_GONE_MS = 60_000;
/** Time without the store after which a box that does not hear all others gives its part up, in ms: it may be off the list soon. */
const PART_LAPSES_MS = 300_000;

/** Takes the store's list of boxes, after the peers have been taken from it. */
export function noteBoxesListed(
  state: GatewayState,
  step: Step,
  { changes, whole, revision }: EventOf<'peersListed'>,
): void {
  const { part } = state;
  if (revision === undefined) return;
  part.listRevision = Math.max(part.listRevision, revision);
  const own = changes.find(({ boxId }) => boxId === state.settings.box.id);
  if (own !== undefined || whole === true) {
    part.isRegistered = own?.holdsPart === true;
    // A copy that lacks a box takes no part from it: all others divide by it as before.
    const isKept =
      own === undefined && part.opening !== undefined && mayShowBackup(state, step.nowMs);
    if (!isKept) part.ownRevision = own?.address === undefined ? undefined : own.revision;
  }
  if (part.ownRevision === undefined) dropPart(state, step, 'notListed');
  noteDivisor(state, step);
  const isNextLife = part.isRegistered && part.opening === undefined;
  if (isNextLife) holdPart(state, step, { kind: 'earlierLife', atMs: state.processStartedAtMs });
}

function noteDivisor(state: GatewayState, step: Step): void {
  const { part } = state;
  let listed = 1;
  for (const peer of state.peers.values()) if (peer.listed) listed += 1;
  if (listed > part.divisor && part.opening !== undefined) part.dividedSinceMs = step.nowMs;
  part.divisor = listed;
}

function holdPart(
  state: GatewayState,
  step: Step,
  opening: NonNullable<LimitShare['opening']>,
): void {
  const { part } = state;
  part.opening = opening;
  for (const quota of state.quotas.values()) quota.isPriorUseCharged = false;
  // An earlier life may have divided among fewer boxes until it ended.
  if (opening.kind === 'earlierLife') part.dividedSinceMs = step.nowMs;
  log(step, 'partHeld', {
    opening: opening.kind,
    divisor: part.divisor,
    listRevision: describeRevision(part.listRevision),
  });
}

function dropPart(state: GatewayState, step: Step, reason: string): void {
  if (state.part.opening === undefined) return;
  state.part.opening = undefined;
  log(step, 'partDropped', { reason });
}

/** Joins once all others know this box, and keeps the list true. */
export function fleetPartTick(state: GatewayState, step: Step): void {
  unlistGone(state, step);
  if (state.part.opening === undefined) tryJoin(state, step);
  else if (mayBeUnlisted(state, step.nowMs)) dropPart(state, step, 'noContact');
  else enter(state, step);
}

function tryJoin(state: GatewayState, step: Step): void {
  const { part } = state;
  if (part.ownRevision === undefined || step.nowMs - state.startedAtMs < JOIN_AFTER_MS) return;
  const { boxes, listRevision, dividedForMs } = otherParts(state, step.nowMs);
  if (boxes < part.divisor - 1 || listRevision < part.ownRevision) return;
  if (dividedForMs === undefined) return holdPart(state, step, { kind: 'unused' });
  holdPart(state, step, { kind: 'joined', atMs: step.nowMs - dividedForMs });
}

/** What listed boxes that are heard now tell of their parts, summed up. */
function otherParts(state: GatewayState, nowMs: number): LimitShareGossip {
  const isMember = state.hubId !== undefined;
  const heard = countedPeers(state, nowMs).filter(
    (peer) => isFreshPeer(peer, nowMs) && (isMember || peer.listed),
  );
  return sumParts(heard.map(({ message }) => message));
}

function enter(state: GatewayState, step: Step): void {
  const { part } = state;
  if (part.isRegistered || step.nowMs - part.registrationSentAtMs < ENTER_AGAIN_MS) return;
  part.registrationSentAtMs = step.nowMs;
  const address = ownAddress(state);
  step.effects.push({ type: 'enterBox', boxId: address.boxId, address, holdsPart: true });
}

/** Whether whoever keeps the list may take this box for gone: it has not had the store for long, and some box does not hear it. */
function mayBeUnlisted(state: GatewayState, nowMs: number): boolean {
  const contactAtMs = Math.max(
    state.storeContactAtMs ?? state.startedAtMs,
    state.storeContactByPeerAtMs,
  );
  if (nowMs - contactAtMs < PART_LAPSES_MS) return false;
  return otherParts(state, nowMs).boxes < state.part.divisor - 1;
}

/** Takes boxes off the list that were silent for long to the one box that hears them in any case. */
function unlistGone(state: GatewayState, step: Step): void {
  const { part } = state;
  if (step.nowMs - part.goneBoxesCheckedAtMs < LOOK_FOR_GONE_MS) return;
  part.goneBoxesCheckedAtMs = step.nowMs;
  for (const boxId of watchedBoxes(state, step.nowMs)) {
    const peer = state.peers.get(boxId);
    if (peer?.listed !== true || step.nowMs - peer.lastReceivedAtMs < UNLISTED_AFTER_MS) continue;
    log(step, 'boxUnlisted', { peer: boxId });
    step.effects.push({ type: 'enterBox', boxId, address: undefined, holdsPart: false });
  }
}

/** Boxes that tell this one their news: all tell the holder of the lease, in a large fleet those of a group tell its hub. */
function watchedBoxes(state: GatewayState, nowMs: number): string[] {
  if (!usesHubs(state)) return dutyFence(state, nowMs) === undefined ? [] : [...state.peers.keys()];
  if (state.hubId !== undefined) return [];
  return knownGroups(state).own.map(({ boxId }) => boxId);
}

/** What this box tells of its own part. */
export function ownPartNews({ part }: GatewayState, nowMs: number): LimitShareGossip {
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

/** Sums the parts of several messages up. */
export function sumParts(messages: readonly PeerMessage[]): LimitShareGossip {
  const parts = messages.map(partOf);
  const ages = parts.map(({ dividedForMs }) => dividedForMs).filter((ms) => ms !== undefined);
  return {
    boxes: parts.reduce((sum, { boxes }) => sum + boxes, 0),
    listRevision: Math.min(...parts.map(({ listRevision }) => listRevision)),
    dividedForMs: ages.length === 0 ? undefined : Math.min(...ages),
  };
}

/** A box of an earlier version tells nothing and holds up nobody. */
function partOf({ part, boxes }: PeerMessage): LimitShareGossip {
  return part ?? { boxes, listRevision: Number.MAX_SAFE_INTEGER, dividedForMs: 0 };
}
