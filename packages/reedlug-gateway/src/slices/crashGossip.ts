/**
 * News of requests under which servers crashed.
 *
 * What a box has seen goes out with its next tick: to all boxes in a small fleet, else by
 * way of the hubs, which hand on what is new to them. Now and then everything is told
 * again, for boxes that start, were cut off, or lost a datagram.
 */
import type { GatewayState, Step } from '../state.js';
import type {
  CrashEntry,
  CrashSuspect,
  CrashSuspectGossip,
  ServerCrash,
} from '../types/crashSuspect.js';
import type { EventOf } from '../types/event.js';
import {
  addCrash,
  scheduleEvaluation,
  applyGoodRun,
  blockSuspect,
  recordRecentCrash,
  suspectPriority,
  getOrCreateSuspect,
} from './crashSuspects.js';
import { forwardsGossip } from './fleet.js';
import { isFiniteNumber, isFiniteNumberOrNull } from './rowValues.js';
import { gossipTargets } from './gossipTargets.js';

/** Suspects in one message, so that it stays far under what a datagram holds; those with the most crashes matter most. */
const MAX_SUSPECTS_PER_MESSAGE = 24;
/** Pause between messages that tell all, in ms: a third of the time in which news must have come. */
const FULL_GOSSIP_INTERVAL_MS = 1000;

/** Crashes of others that are told beside, by their age in ms, and at most. */
const RECENT_CRASH_MAX_AGE_MS = 2000;
const MAX_RECENT_CRASHES_PER_MESSAGE = 64;
/** Two tellings of one good run differ by less, in ms. */
const SAME_RUN_TOLERANCE_MS = 500;

/** Tells what is new, or everything when it is time. */
export function crashGossipTick(state: GatewayState, step: Step): void {
  if (state.crashSuspects.size === 0) return;
  const isFull = step.nowMs - state.fullCrashGossipSentAtMs >= FULL_GOSSIP_INTERVAL_MS;
  if (!isFull && state.crashGossipDue.size === 0) return;
  if (isFull) state.fullCrashGossipSentAtMs = step.nowMs;
  const selected = highestPrioritySuspects(
    [...state.crashSuspects.values()].filter(({ key }) => {
      return isFull || state.crashGossipDue.has(key);
    }),
  );
  for (const { key } of selected) state.crashGossipDue.delete(key);
  const to = gossipTargets(state, step.nowMs);
  if (to.length === 0) return;
  const suspects = selected.map((suspect) => suspectGossip(suspect, step.nowMs));
  const boxId = state.settings.box.id;
  const recent = state.recentCrashes
    .filter(({ endedAtMs }) => step.nowMs - endedAtMs < RECENT_CRASH_MAX_AGE_MS)
    .slice(-MAX_RECENT_CRASHES_PER_MESSAGE)
    .map((crash) => crashEntryOf(crash, step.nowMs));
  const message = { kind: 'crashSuspects' as const, boxId, suspects, recent };
  step.effects.push({ type: 'sendPeers', message, to });
}

/** The suspects that matter most, as many as a message holds. */
export function highestPrioritySuspects(suspects: readonly CrashSuspect[]): CrashSuspect[] {
  const byStrength = [...suspects].sort(
    (a, b) => suspectPriority(b) - suspectPriority(a) || b.seenAtMs - a.seenAtMs,
  );
  return byStrength.slice(0, MAX_SUSPECTS_PER_MESSAGE);
}

/** A suspect as it is told. */
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

/** Whether a value is news of a suspect: datagrams and rows come from other versions too. */
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

/** Takes what another box knows. */
export function onCrashSuspects(
  state: GatewayState,
  step: Step,
  event: EventOf<'crashSuspects'>,
): void {
  const { suspects, recent } = event.message;
  for (const entry of recent.filter(isCrashEntry))
    recordRecentCrash(state, crashOf(entry, step.nowMs));
  for (const gossip of suspects.filter(isSuspectGossip)) {
    if (mergeSuspect(state, step, gossip) && forwardsGossip(state))
      state.crashGossipDue.add(gossip.key);
  }
}

/** Takes what is told of a suspect, with ages as of a time, by default now; tells whether anything was new. */
export function mergeSuspect(
  state: GatewayState,
  step: Step,
  gossip: CrashSuspectGossip,
  asOfMs = step.nowMs,
): boolean {
  // What is told is as old as it says: else boxes would renew for each other what is to be forgotten.
  const seenAtMs = asOfMs - gossip.seenAgeMs;
  const suspect = getOrCreateSuspect(state, gossip.key, seenAtMs);
  const goodRunAtMs = asOfMs - (gossip.goodRunAgeMs ?? Number.POSITIVE_INFINITY);
  const before = { crashes: suspect.crashes.length, goodRunAtMs: suspect.goodRunAtMs };
  // The same good run told again comes a way later.
  if (goodRunAtMs > suspect.goodRunAtMs + SAME_RUN_TOLERANCE_MS)
    applyGoodRun(step, suspect, goodRunAtMs);
  for (const entry of gossip.crashes) addCrash(state, suspect, crashOf(entry, asOfMs));
  suspect.seenAtMs = Math.max(suspect.seenAtMs, seenAtMs);
  const blockedSinceMs = asOfMs - (gossip.keptOutAgeMs ?? Number.POSITIVE_INFINITY);
  const wasBlocked = suspect.blockedSinceMs !== undefined;
  if (!wasBlocked && blockedSinceMs > suspect.goodRunAtMs) {
    blockSuspect(state, step, suspect, blockedSinceMs);
  } else scheduleEvaluation(state, step, suspect);
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
