/**
 * Gossip about requests and parts of prompts under which servers crashed.
 *
 * Each tick sends what a box has observed since the last one: to all boxes in a small fleet,
 * otherwise through the hubs, which forward what is new to them. At longer intervals
 * everything is sent again, for boxes that start, were partitioned, or lost a datagram.
 */
import { isSameCrash } from '../../policy/crashVerdict.js';
import { recordGone } from '../../policy/serverHealth.js';
import type { GatewayState, Step } from '../../state.js';
import type {
  CrashEntry,
  CrashSuspect,
  CrashSuspectGossip,
  LostSendEntry,
  ServerCrash,
} from '../../types/crashSuspect.js';
import type { EventOf } from '../../types/event.js';
import {
  addCrash,
  scheduleEvaluation,
  applyGoodRun,
  blockSuspect,
  recordRecentCrash,
} from './crashSuspects.js';
import { addLostSendToGossip, takeLostSends } from './lostSendGossip.js';
import { recordRefusedConnection } from './lostServers.js';
import { getOrCreateSuspect, suspectPriority } from './suspectTable.js';
import { forwardsGossip } from '../peers/fleet.js';
import { isFiniteNumber, isFiniteNumberOrNull } from '../store/rowValues.js';
import { gossipTargets } from '../peers/gossipTargets.js';

/** Maximum number of suspects in one message, so that it stays far below the maximum size of a datagram; those with the highest priority come first. */
const MAX_SUSPECTS_PER_MESSAGE = 24;
/** Interval between messages that contain everything, in ms: a third of the time within which gossip must arrive. */
const FULL_GOSSIP_INTERVAL_MS = 1000;

/** Minimum number of crashes for a suspect to be sent again and again: most of those with one are innocent. */
const MIN_REPEATED_CRASHES = 2;
/** Maximum age of the recent crashes that a message lists besides those of the suspects, in ms. */
const RECENT_CRASH_MAX_AGE_MS = 2000;
/** Maximum number of such recent crashes in one message. */
const MAX_RECENT_CRASHES_PER_MESSAGE = 64;
/** Two reports of one good run differ by less than this, in ms. */
const SAME_RUN_TOLERANCE_MS = 500;

/** Sends what is new, or everything when that is due. */
export function crashGossipTick(state: GatewayState, step: Step): void {
  if (state.crashSuspects.size === 0) return;
  const isFull = step.nowMs - state.fullCrashGossipSentAtMs >= FULL_GOSSIP_INTERVAL_MS;
  const isNew = state.crashGossipDue.size > 0 || state.lostSendsDue.length > 0;
  if (!isFull && !isNew) return;
  if (isFull) state.fullCrashGossipSentAtMs = step.nowMs;
  const selected = highestPrioritySuspects(
    [...state.crashSuspects.values()].filter(({ key, crashes, blockedSinceMs }) => {
      if (state.crashGossipDue.has(key)) return true;
      return isFull && (blockedSinceMs !== undefined || crashes.length >= MIN_REPEATED_CRASHES);
    }),
  );
  for (const { key } of selected) state.crashGossipDue.delete(key);
  const lostSends = takeLostSends(state);
  const to = gossipTargets(state, step.nowMs);
  if (to.length === 0) return;
  const lost = lostSends.map(({ crash, keys }): LostSendEntry => [
    ...crashEntryOf(crash, step.nowMs),
    keys,
  ]);
  const suspects = selected.map((suspect) => suspectGossip(suspect, step.nowMs));
  const boxId = state.settings.box.id;
  const recent = state.recentCrashes
    .filter(({ endedAtMs }) => step.nowMs - endedAtMs < RECENT_CRASH_MAX_AGE_MS)
    .slice(-MAX_RECENT_CRASHES_PER_MESSAGE)
    .map((crash) => crashEntryOf(crash, step.nowMs));
  const message = { kind: 'crashSuspects' as const, boxId, suspects, lost, recent };
  step.effects.push({ type: 'sendPeers', message, to });
}

/** Returns the suspects with the highest priority, as many as fit in one message. */
export function highestPrioritySuspects(suspects: readonly CrashSuspect[]): CrashSuspect[] {
  const byPriority = [...suspects].sort(
    (a, b) => suspectPriority(b) - suspectPriority(a) || b.seenAtMs - a.seenAtMs,
  );
  return byPriority.slice(0, MAX_SUSPECTS_PER_MESSAGE);
}

/** Encodes a suspect for messages and for the table row: all times become ages. */
export function suspectGossip(suspect: CrashSuspect, nowMs: number): CrashSuspectGossip {
  const { key, crashes, goodRunAtMs, blockedSinceMs, seenAtMs } = suspect;
  const ageOf = (atMs: number): number => Math.round(nowMs - atMs);
  return {
    key,
    crashes: crashes.map((crash) => crashEntryOf(crash, nowMs)),
    goodRunAgeMs: Number.isFinite(goodRunAtMs) ? ageOf(goodRunAtMs) : undefined,
    keptOutAgeMs: blockedSinceMs === undefined ? undefined : ageOf(blockedSinceMs),
    seenAgeMs: ageOf(seenAtMs),
  };
}

function crashEntryOf(
  { serverId, bornAtMs, sentAtMs, endedAtMs }: ServerCrash,
  nowMs: number,
): CrashEntry {
  return [serverId, bornAtMs ?? null, Math.round(nowMs - sentAtMs), Math.round(nowMs - endedAtMs)];
}

/** Returns whether a value is valid gossip about a suspect: datagrams and rows may come from other versions of the gateway. */
export function isSuspectGossip(value: unknown): value is CrashSuspectGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { key, crashes, goodRunAgeMs, keptOutAgeMs, seenAgeMs } =
    value as Partial<CrashSuspectGossip>;
  const isAge = (age: unknown): boolean => age === undefined || isFiniteNumber(age);
  if (typeof key !== 'string' || !Array.isArray(crashes) || !isFiniteNumber(seenAgeMs))
    return false;
  return isAge(goodRunAgeMs) && isAge(keptOutAgeMs) && crashes.every(isCrashEntry);
}

function isCrashEntry(entry: unknown): entry is CrashEntry {
  if (!Array.isArray(entry) || entry.length < 4 || typeof entry[0] !== 'string') return false;
  return isFiniteNumberOrNull(entry[1]) && isFiniteNumber(entry[2]) && isFiniteNumber(entry[3]);
}

/** Merges the suspects and crashes that another box reports. */
export function onCrashSuspects(
  state: GatewayState,
  step: Step,
  event: EventOf<'crashSuspects'>,
): void {
  const { suspects, recent, lost = [] } = event.message;
  for (const entry of recent.filter(isCrashEntry)) {
    const crash = crashOf(entry, step.nowMs);
    avoidEndedServer(state, step, crash);
    recordRecentCrash(state, crash);
  }
  if (Array.isArray(lost)) {
    for (const entry of lost.filter(isLostSendEntry)) mergeLostSend(state, step, entry);
  }
  for (const gossip of suspects.filter(isSuspectGossip)) {
    if (mergeSuspect(state, step, gossip) && forwardsGossip(state))
      state.crashGossipDue.add(gossip.key);
  }
}

/** Adds a lost send that another box reports; a hub forwards what is new to it. */
function mergeLostSend(state: GatewayState, step: Step, entry: LostSendEntry): void {
  const [serverId, bornAtMs, sentAgeMs, endedAgeMs, keys] = entry;
  const crash = crashOf([serverId, bornAtMs, sentAgeMs, endedAgeMs], step.nowMs);
  const added = keys.filter((key) => {
    const suspect = getOrCreateSuspect(state, key, crash.endedAtMs);
    if (!addCrash(state, suspect, { ...crash })) return false;
    scheduleEvaluation(state, step, suspect);
    return true;
  });
  if (added.length > 0 && forwardsGossip(state)) addLostSendToGossip(state, { crash, keys: added });
}

/** Avoids a server that another box saw end, without a failed send of this box's own. */
function avoidEndedServer(state: GatewayState, step: Step, crash: ServerCrash): void {
  const view = state.servers.get(crash.serverId);
  const isKnown = state.recentCrashes.some((known) => isSameCrash(known, crash));
  if (view === undefined || isKnown || view.entry.bornAtMs !== crash.bornAtMs) return;
  // What arrived from it since shows that it is up.
  if (view.receivedAtMs > crash.endedAtMs) return;
  recordGone(view, step.nowMs);
  // No connection is tried any more that would show that answers were cut by the crash.
  recordRefusedConnection(state, step, view);
}

function isLostSendEntry(entry: unknown): entry is LostSendEntry {
  if (!isCrashEntry(entry)) return false;
  const keys = (entry as readonly unknown[])[4];
  return Array.isArray(keys) && keys.every((key) => typeof key === 'string');
}

/** Merges gossip about a suspect, whose ages count from `asOfMs`, by default now; returns whether anything was new. */
export function mergeSuspect(
  state: GatewayState,
  step: Step,
  gossip: CrashSuspectGossip,
  asOfMs = step.nowMs,
): boolean {
  // The reported age is kept: with the time of receipt, boxes would renew a suspect for each other and never remove it.
  const seenAtMs = asOfMs - gossip.seenAgeMs;
  const suspect = getOrCreateSuspect(state, gossip.key, seenAtMs);
  const goodRunAtMs = asOfMs - (gossip.goodRunAgeMs ?? Number.POSITIVE_INFINITY);
  const before = { crashes: suspect.crashes.length, goodRunAtMs: suspect.goodRunAtMs };
  // The same good run, reported again, appears later by a network delay.
  if (goodRunAtMs > suspect.goodRunAtMs + SAME_RUN_TOLERANCE_MS)
    applyGoodRun(state, step, suspect, goodRunAtMs);
  for (const entry of gossip.crashes) addCrash(state, suspect, crashOf(entry, asOfMs));
  suspect.seenAtMs = Math.max(suspect.seenAtMs, seenAtMs);
  const blockedSinceMs = asOfMs - (gossip.keptOutAgeMs ?? Number.POSITIVE_INFINITY);
  const wasBlocked = suspect.blockedSinceMs !== undefined;
  if (!wasBlocked && blockedSinceMs > suspect.goodRunAtMs) {
    blockSuspect(state, step, suspect, blockedSinceMs);
  } else scheduleEvaluation(state, step, suspect);
  // The sender has not heard of this box's good run.
  if (gossip.keptOutAgeMs !== undefined && suspect.blockedSinceMs === undefined) {
    state.crashGossipDue.add(gossip.key);
  }
  const isNewlyBlocked = !wasBlocked && suspect.blockedSinceMs !== undefined;
  const hasGrown = suspect.crashes.length > before.crashes;
  return isNewlyBlocked || hasGrown || suspect.goodRunAtMs !== before.goodRunAtMs;
}

function crashOf(
  [serverId, bornAtMs, sentAgeMs, endedAgeMs]: CrashEntry,
  asOfMs: number,
): ServerCrash {
  return {
    serverId,
    bornAtMs: bornAtMs ?? undefined,
    sentAtMs: asOfMs - sentAgeMs,
    endedAtMs: asOfMs - endedAgeMs,
  };
}
