/**
 * Whether a request crashes the servers that run it.
 *
 * With a server go all requests that are open there; most of them are innocent. What tells
 * the culprit: it is at each crash, one after the other, and never runs well in between.
 * A popular request is at many crashes of a bad hour, but has good runs between them, and
 * one good run clears a request. Crashes at the same moment count as one round, since
 * servers that go together do so for a common cause; where others went without it, it takes
 * more rounds. A crash counts for the suspect that
 * explains more of them than the others that were there.
 */
import type { CrashSuspect, ServerCrash } from '../types/crashSuspect.js';

/** Crashes that make a request kept out: the users' figure of what may be lost to one. */
export const CRASHES_TO_KEEP_OUT = 3;
/** Rounds among them where it was at most crashes of that time, and where servers crashed without it as well. */
const ROUNDS_AT_MOST = 2;
const ROUNDS_AT_SOME = 3;
/** Share of the crashes since its first one from which it was at most of them. */
const MOST_SHARE = 0.5;
/** Crashes without a good run that suffice also where another suspect was at each of them. */
const CRASHES_IN_ANY_CASE = 5;
/** Two news of one crash of a server that does not tell its births differ by less, in ms: it takes longer to start again. */
const SAME_CRASH_MS = 1500;
/** Servers that go together are lost within this time, in ms: a connection that is idle at the moment shows it later. */
const SAME_MOMENT_MS = 250;
/** A send that is this much older than a crash, in ms, still followed it: the ages that boxes tell are late by the way of a datagram. */
const AGE_ERROR_MS = 20;

/** Whether two are one end of one life of a server. */
export function isSameCrash(a: ServerCrash, b: ServerCrash): boolean {
  if (a.serverId !== b.serverId) return false;
  if (a.bornAtMs !== undefined && b.bornAtMs !== undefined) return a.bornAtMs === b.bornAtMs;
  return Math.abs(a.endedAtMs - b.endedAtMs) < SAME_CRASH_MS;
}

/** What a verdict looks at beside the suspect. */
export interface CrashScene {
  suspects: Iterable<CrashSuspect>;
  /** Crashes of the last time, whoever was there. */
  recent: readonly ServerCrash[];
}

/** Whether a suspect is to be kept out. */
export function isCulprit(suspect: CrashSuspect, { suspects, recent }: CrashScene): boolean {
  const { crashes } = suspect;
  if (crashes.length < CRASHES_TO_KEEP_OUT) return false;
  if (crashes.length >= CRASHES_IN_ANY_CASE) return true;
  const others = [...suspects].filter(({ key }) => key !== suspect.key);
  const own = crashes.filter((crash) => !others.some((other) => explains(other, crash, suspect)));
  if (own.length < CRASHES_TO_KEEP_OUT) return false;
  const rounds = shareOf(crashes, recent) >= MOST_SHARE ? ROUNDS_AT_MOST : ROUNDS_AT_SOME;
  if (roundsOf(own) < rounds) return false;
  return !others.some((other) => own.every((crash) => wasAt(other, crash)));
}

/** Share of the crashes since the suspect's first one at which it was. */
function shareOf(crashes: readonly ServerCrash[], recent: readonly ServerCrash[]): number {
  const sinceMs = Math.min(...crashes.map(({ endedAtMs }) => endedAtMs)) - SAME_MOMENT_MS;
  const all = recent.filter(({ endedAtMs }) => endedAtMs >= sinceMs).length;
  return crashes.length / Math.max(crashes.length, all);
}

/** Whether another suspect that was there is the likelier cause of a crash. */
function explains(other: CrashSuspect, crash: ServerCrash, suspect: CrashSuspect): boolean {
  const isStronger =
    other.keptOutSinceMs !== undefined || other.crashes.length > suspect.crashes.length;
  return isStronger && wasAt(other, crash);
}

function wasAt(suspect: CrashSuspect, crash: ServerCrash): boolean {
  return suspect.crashes.some((known) => isSameCrash(known, crash));
}

/** Crashes that followed one another, each with a send after the end before. */
function roundsOf(crashes: readonly ServerCrash[]): number {
  let rounds = 0;
  let lastEndMs = Number.NEGATIVE_INFINITY;
  for (const { sentAtMs, endedAtMs } of crashes) {
    if (sentAtMs < lastEndMs - AGE_ERROR_MS) continue;
    rounds += 1;
    lastEndMs = endedAtMs;
  }
  return rounds;
}
