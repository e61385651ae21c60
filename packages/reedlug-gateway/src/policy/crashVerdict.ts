/**
 * Whether a request crashes the servers that run it.
 *
 * With a server go all requests that are open there; most of them are innocent. What tells
 * the culprit: it is at each crash, one after the other, and never runs well in between.
 * A popular request is at many crashes of a bad hour, but has good runs between them, and
 * one good run clears a request. Crashes at the same moment count as one round, since
 * servers that go together do so for a common cause; where others went without it, it takes
 * more rounds. A crash counts for the likeliest of the suspects that were there.
 */
import type { CrashSuspect, ServerCrash } from '../types/crashSuspect.js';

/** Crashes that make a request kept out: the users' figure of what may be lost to one. */
export const CRASHES_TO_BLOCK = 3;
/**
 * Rounds among them, for who was at most of the crashes since its first one, and for others.
 * One round never decides, whatever the share: of servers that go together, those that
 * nobody used at the moment are not noticed. One more send of copies that came together
 * tells, and the users allow three.
 */
const ROUNDS_FOR_FREQUENT = 2;
const ROUNDS_FOR_OTHERS = 3;
/** Share of the crashes from which a suspect was at most of them. */
const FREQUENT_SHARE = 0.5;
/** Crashes in three rounds without a good run that suffice also where others were at each of them. */
const CRASHES_DESPITE_OTHERS = 5;
/** Time in which a server is likely to crash under a request, in ms: below it, who came later tells nothing. */
const TYPICAL_CRASH_DELAY_MS = 300;
/** Two news of one crash of a server that does not tell its births differ by less, in ms: it takes longer to start again. */
const SAME_CRASH_MS = 1500;
/** Servers that go together are lost within this time, in ms: a busy box's turn. */
const SIMULTANEOUS_MS = 50;
/** A send that is this much older than a crash, in ms, still followed it: the ages that boxes tell are late by the way of a datagram. */
export const AGE_ERROR_MS = 20;

/** Whether two are one end of one life of a server. */
export function isSameCrash(a: ServerCrash, b: ServerCrash): boolean {
  if (a.serverId !== b.serverId) return false;
  if (a.bornAtMs !== undefined && b.bornAtMs !== undefined) return a.bornAtMs === b.bornAtMs;
  return Math.abs(a.endedAtMs - b.endedAtMs) < SAME_CRASH_MS;
}

/** What a verdict looks at beside the suspect. */
export interface CrashContext {
  suspects: Iterable<CrashSuspect>;
  /** Crashes of the last time, whoever was there. */
  recent: readonly ServerCrash[];
}

/** Whether a suspect is to be kept out. */
export function causesCrashes(suspect: CrashSuspect, { suspects, recent }: CrashContext): boolean {
  const { crashes } = suspect;
  if (crashes.length < CRASHES_TO_BLOCK) return false;
  const rounds = countRounds(crashes);
  if (crashes.length >= CRASHES_DESPITE_OTHERS && rounds >= CRASHES_TO_BLOCK) return true;
  const roundsNeeded =
    shareOf(crashes, recent) >= FREQUENT_SHARE ? ROUNDS_FOR_FREQUENT : ROUNDS_FOR_OTHERS;
  if (rounds < roundsNeeded) return false;
  const known = [...suspects];
  const otherSuspects = known.filter(
    (other) => other !== suspect && crashes.some((crash) => wasPresentAt(other, crash)),
  );
  const score = suspicionScore(suspect, known);
  const likelierSuspects = otherSuspects.filter(
    (candidate) =>
      candidate.blockedSinceMs !== undefined || suspicionScore(candidate, known) > score,
  );
  const attributed = crashes.filter(
    (crash) => !likelierSuspects.some((other) => wasPresentAt(other, crash)),
  );
  if (attributed.length < CRASHES_TO_BLOCK) return false;
  return !otherSuspects.some((candidate) =>
    attributed.every((crash) => wasPresentAt(candidate, crash)),
  );
}

/**
 * How much speaks for a suspect: a crash at which it was alone counts whole, one at which
 * several were counts in parts, the more for who had been there for the shortest time. A
 * server crashes as it begins with a request; one with a long prompt is open there
 * for long without an event. Who has had a good run since is no suspect of it.
 */
function suspicionScore({ crashes }: CrashSuspect, known: readonly CrashSuspect[]): number {
  const parts = crashes.map((crash) => {
    const all = known.flatMap((other) => other.crashes.filter((own) => isSameCrash(own, crash)));
    return recencyWeight(crash) / all.reduce((sum, other) => sum + recencyWeight(other), 0);
  });
  return parts.reduce((sum, part) => sum + part, 0);
}

function recencyWeight({ sentAtMs, endedAtMs }: ServerCrash): number {
  return 1 / Math.max(TYPICAL_CRASH_DELAY_MS, endedAtMs - sentAtMs);
}

/** Share of the crashes since the suspect's first one at which it was. */
function shareOf(crashes: readonly ServerCrash[], recent: readonly ServerCrash[]): number {
  const sinceMs = Math.min(...crashes.map(({ endedAtMs }) => endedAtMs)) - SIMULTANEOUS_MS;
  const all = recent.filter(({ endedAtMs }) => endedAtMs >= sinceMs).length;
  return crashes.length / Math.max(crashes.length, all);
}

function wasPresentAt(suspect: CrashSuspect, crash: ServerCrash): boolean {
  return suspect.crashes.some((known) => isSameCrash(known, crash));
}

/** Crashes that followed one another, each with a send after the end before, and not at the same moment. */
function countRounds(crashes: readonly ServerCrash[]): number {
  let rounds = 0;
  let lastEndMs = Number.NEGATIVE_INFINITY;
  for (const { sentAtMs, endedAtMs } of crashes) {
    if (sentAtMs < lastEndMs - AGE_ERROR_MS || endedAtMs < lastEndMs + SIMULTANEOUS_MS) continue;
    rounds += 1;
    lastEndMs = endedAtMs;
  }
  return rounds;
}
