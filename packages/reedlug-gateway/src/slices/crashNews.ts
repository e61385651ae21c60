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
  awaitJudgement,
  clear,
  keepOut,
  noteRecent,
  strengthOf,
  suspectFor,
} from './crashSuspects.js';
import { handsOn } from './fleet.js';
import { isNumber, isNumberOrNull } from './rowValues.js';
import { neighbours } from './spreadNews.js';

/** Suspects in one message, so that it stays far under what a datagram holds; those with the most crashes matter most. */
const MOST_TOLD = 24;
/** Pause between messages that tell all, in ms: a third of the time in which news must have come. */
const TELL_ALL_EVERY_MS = 1000;

/** Crashes of others that are told beside, by their age in ms, and at most. */
const RECENT_TOLD_MS = 2000;
const MOST_RECENT_TOLD = 64;
/** Two tellings of one good run differ by less, in ms. */
const SAME_RUN_MS = 500;

/** Tells what is new, or everything when it is time. */
export function crashNewsTick(state: GatewayState, step: Step): void {
  if (state.crashSuspects.size === 0) return;
  const tellsAll = step.nowMs - state.fullCrashGossipSentAtMs >= TELL_ALL_EVERY_MS;
  if (!tellsAll && state.crashGossipDue.size === 0) return;
  if (tellsAll) state.fullCrashGossipSentAtMs = step.nowMs;
  const told = strongest(
    [...state.crashSuspects.values()].filter(({ key }) => {
      return tellsAll || state.crashGossipDue.has(key);
    }),
  );
  for (const { key } of told) state.crashGossipDue.delete(key);
  const to = neighbours(state, step.nowMs);
  if (to.length === 0) return;
  const suspects = told.map((suspect) => newsOf(suspect, step.nowMs));
  const boxId = state.settings.box.id;
  const recent = state.recentCrashes
    .filter(({ endedAtMs }) => step.nowMs - endedAtMs < RECENT_TOLD_MS)
    .slice(-MOST_RECENT_TOLD)
    .map((crash) => rowOf(crash, step.nowMs));
  const message = { kind: 'crashSuspects' as const, boxId, suspects, recent };
  step.effects.push({ type: 'sendPeers', message, to });
}

/** The suspects that matter most, as many as a message holds. */
export function strongest(suspects: readonly CrashSuspect[]): CrashSuspect[] {
  const byStrength = [...suspects].sort(
    (a, b) => strengthOf(b) - strengthOf(a) || b.seenAtMs - a.seenAtMs,
  );
  return byStrength.slice(0, MOST_TOLD);
}

/** A suspect as it is told. */
export function newsOf(suspect: CrashSuspect, nowMs: number): CrashSuspectGossip {
  const { key, crashes, goodRunAtMs, blockedSinceMs, seenAtMs } = suspect;
  const ageOf = (atMs: number): number => Math.round(nowMs - atMs);
  return {
    key,
    crashes: crashes.map((crash) => rowOf(crash, nowMs)),
    goodRunAgeMs: Number.isFinite(goodRunAtMs) ? ageOf(goodRunAtMs) : undefined,
    keptOutAgeMs: blockedSinceMs === undefined ? undefined : ageOf(blockedSinceMs),
    seenAgeMs: ageOf(seenAtMs),
  };
}

function rowOf(
  { serverId, bornAtMs, sentAtMs, endedAtMs }: ServerCrash,
  nowMs: number,
): CrashEntry {
  return [serverId, bornAtMs ?? null, Math.round(nowMs - sentAtMs), Math.round(nowMs - endedAtMs)];
}

/** Whether a value is news of a suspect: datagrams and rows come from other versions too. */
export function isSuspectNews(value: unknown): value is CrashSuspectGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { key, crashes, goodRunAgeMs, keptOutAgeMs, seenAgeMs } =
    value as Partial<CrashSuspectGossip>;
  const isAge = (age: unknown): boolean => age === undefined || isNumber(age);
  if (typeof key !== 'string' || !Array.isArray(crashes) || !isNumber(seenAgeMs)) return false;
  return isAge(goodRunAgeMs) && isAge(keptOutAgeMs) && crashes.every(isCrashRow);
}

function isCrashRow(row: unknown): row is CrashEntry {
  if (!Array.isArray(row) || row.length < 4 || typeof row[0] !== 'string') return false;
  return isNumberOrNull(row[1]) && isNumber(row[2]) && isNumber(row[3]);
}

/** Takes what another box knows. */
export function onCrashSuspects(
  state: GatewayState,
  step: Step,
  event: EventOf<'crashSuspects'>,
): void {
  const { suspects, recent } = event.message;
  for (const row of recent.filter(isCrashRow)) noteRecent(state, crashOf(row, step.nowMs));
  for (const news of suspects.filter(isSuspectNews)) {
    if (takeSuspect(state, step, news) && handsOn(state)) state.crashGossipDue.add(news.key);
  }
}

/** Takes what is told of a suspect, with ages as of a time, by default now; tells whether anything was new. */
export function takeSuspect(
  state: GatewayState,
  step: Step,
  news: CrashSuspectGossip,
  toldAtMs = step.nowMs,
): boolean {
  // What is told is as old as it says: else boxes would renew for each other what is to be forgotten.
  const seenAtMs = toldAtMs - news.seenAgeMs;
  const suspect = suspectFor(state, news.key, seenAtMs);
  const goodRunAtMs = toldAtMs - (news.goodRunAgeMs ?? Number.POSITIVE_INFINITY);
  const before = { crashes: suspect.crashes.length, goodRunAtMs: suspect.goodRunAtMs };
  // The same good run told again comes a way later.
  if (goodRunAtMs > suspect.goodRunAtMs + SAME_RUN_MS) clear(step, suspect, goodRunAtMs);
  for (const row of news.crashes) addCrash(state, suspect, crashOf(row, toldAtMs));
  suspect.seenAtMs = Math.max(suspect.seenAtMs, seenAtMs);
  const blockedSinceMs = toldAtMs - (news.keptOutAgeMs ?? Number.POSITIVE_INFINITY);
  const wasKeptOut = suspect.blockedSinceMs !== undefined;
  if (!wasKeptOut && blockedSinceMs > suspect.goodRunAtMs) {
    keepOut(state, step, suspect, blockedSinceMs);
  } else awaitJudgement(state, step, suspect);
  const isNewlyOut = !wasKeptOut && suspect.blockedSinceMs !== undefined;
  const hasGrown = suspect.crashes.length > before.crashes;
  return isNewlyOut || hasGrown || suspect.goodRunAtMs !== before.goodRunAtMs;
}

function crashOf(
  [serverId, bornAtMs, sentAgeMs, endedAgeMs]: CrashEntry,
  toldAtMs: number,
): ServerCrash {
  return {
    serverId,
    bornAtMs: bornAtMs ?? undefined,
    sentAtMs: toldAtMs - sentAgeMs,
    endedAtMs: toldAtMs - endedAgeMs,
  };
}
