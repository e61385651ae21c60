/**
 * Decides whether a suspect, a request or a part of prompts, crashes the servers that run it.
 *
 * A crash ends every request that is open on the server, and most of them did not cause it.
 * A request that causes crashes is present at consecutive crashes and never succeeds in
 * between. A popular request is present at many crashes during an outage, but also succeeds
 * between them, and one success clears a request. Simultaneous crashes count as one round,
 * because servers that fail together have a common cause. If other servers crashed without
 * the request, more rounds are required. Each crash is attributed to the likeliest of the
 * suspects that were present; crashes at which a blocked one was present add no rounds.
 */
import { isPartKey, type CrashSuspect, type ServerCrash } from '../types/crashSuspect.js';

/**
 * Number of crashes from which a request may be blocked: the users accept this many lost servers
 * for one request.
 */
export const CRASHES_TO_BLOCK = 3;
/**
 * The same for a suspect that ran well shortly before its crashes: while servers end one after another,
 * the runs of popular parts of prompts are lost for a while.
 */
const CRASHES_TO_BLOCK_AFTER_GOOD_RUN = 6;
const ROUNDS_AFTER_GOOD_RUN = 4;
/** Time for which a good run makes a suspect less likely, in ms. */
export const GOOD_RUN_MEMORY_MS = 30_000;
/** Weight of such a suspect relative to others at the same crash. */
const WEIGHT_AFTER_GOOD_RUN = 0.2;
/**
 * Number of rounds required of a suspect that was present at most crashes since its first one,
 * and of other suspects. A single round never suffices, whatever the share: when servers fail
 * together, crashes of idle ones go unnoticed, so the share is too high. If copies of a request
 * arrive at once, one further send settles the case, and the users allow three.
 */
const ROUNDS_FOR_FREQUENT = 2;
const ROUNDS_FOR_OTHERS = 3;
/** Share of the crashes from which a suspect counts as present at most of them. */
const FREQUENT_SHARE = 0.5;
/**
 * Number of crashes, most of those since the first one, in three rounds and without a success, that
 * suffices even if other suspects were present at each of them.
 */
const CRASHES_DESPITE_OTHERS = 5;
/**
 * Time within which a request usually crashes its server, in ms: of requests that are younger than
 * this, the order of arrival says nothing.
 */
const TYPICAL_CRASH_DELAY_MS = 300;
/**
 * Two reports of a server that does not state its start time are of the same crash if they differ
 * by less than this, in ms: a restart takes longer.
 */
const SAME_CRASH_MS = 1500;
/**
 * Number of other servers that end at the moment of a crash from which the cause is a common one, for a
 * suspect that ran well shortly before, and for one that never did: two parts may crash servers at one
 * moment.
 */
const COMMON_CAUSE_SERVERS_AFTER_GOOD_RUN = 1;
const COMMON_CAUSE_SERVERS = 2;
/** Crashes within this time are simultaneous, in ms: a busy box needs this long to process them. */
const SIMULTANEOUS_MS = 50;
/**
 * A send that appears to precede a crash by up to this time, in ms, still counts as after it: ages
 * that boxes report lag by the transit time of a datagram.
 */
export const AGE_ERROR_MS = 20;

/** Returns whether two reports are of the same crash of one server incarnation. */
export function isSameCrash(a: ServerCrash, b: ServerCrash): boolean {
  if (a.serverId !== b.serverId) return false;
  if (a.bornAtMs !== undefined && b.bornAtMs !== undefined) return a.bornAtMs === b.bornAtMs;
  return Math.abs(a.endedAtMs - b.endedAtMs) < SAME_CRASH_MS;
}

/**
 * Times after the verdict at which a blocked suspect is tried once more, in ms: twice if it ran well
 * before, else once and only after few crashes.
 */
const RETRIALS_AFTER_MS: readonly number[] = [2000, 8000];
/** Number of crashes below which a suspect that never ran well is tried once more: the users accept this many lost servers for one part. */
const CRASHES_BEFORE_LAST_RETRIAL = 5;

/** Returns whether a blocked suspect is due to be tried once more, so that a wrong verdict ends. */
export function isRetrialDue(suspect: CrashSuspect, nowMs: number): boolean {
  const { blockedSinceMs, crashes } = suspect;
  if (blockedSinceMs === undefined) return false;
  const failed = crashes.filter(({ sentAtMs }) => sentAtMs > blockedSinceMs).length;
  const isLast = failed > 0 || crashes.length >= CRASHES_BEFORE_LAST_RETRIAL;
  if (isLast && !ranWellBefore(suspect)) return false;
  const dueAfterMs = RETRIALS_AFTER_MS[failed] ?? Number.POSITIVE_INFINITY;
  return nowMs - blockedSinceMs >= dueAfterMs;
}

/** Returns whether a suspect ran well shortly before its crashes. */
export function ranWellBefore({ crashes, goodRunAtMs }: CrashSuspect): boolean {
  const firstAtMs = crashes[0]?.endedAtMs ?? Number.POSITIVE_INFINITY;
  return firstAtMs - goodRunAtMs < GOOD_RUN_MEMORY_MS;
}

/** Returns the number of crashes from which a suspect may be blocked. */
export function crashesToBlock(suspect: CrashSuspect): number {
  return ranWellBefore(suspect) ? CRASHES_TO_BLOCK_AFTER_GOOD_RUN : CRASHES_TO_BLOCK;
}

/** Facts that a verdict considers in addition to the suspect. */
export interface CrashContext {
  suspects: Iterable<CrashSuspect>;
  /** Recent crashes, whichever requests were present. */
  recent: readonly ServerCrash[];
}

/** Returns whether a suspect causes crashes and is to be blocked. */
export function causesCrashes(suspect: CrashSuspect, { suspects, recent }: CrashContext): boolean {
  const known = [...suspects];
  const blocked = known.filter(({ blockedSinceMs }) => blockedSinceMs !== undefined);
  const crashes = crashesOfOwnCause(suspect, { recent, blocked });
  if (crashes.length < crashesToBlock(suspect)) return false;
  const unexplained = crashes.filter(
    (crash) => !blocked.some((cause) => wasPresentAt(cause, crash)),
  );
  const rounds = countRounds(unexplained);
  const isFrequent = unexplained.length >= FREQUENT_SHARE * crashesSince(crashes, recent);
  const isAtMany = unexplained.length >= CRASHES_DESPITE_OTHERS && rounds >= CRASHES_TO_BLOCK;
  if (rounds < (isFrequent ? ROUNDS_FOR_FREQUENT : ROUNDS_FOR_OTHERS)) return false;
  if (ranWellBefore(suspect) && rounds < ROUNDS_AFTER_GOOD_RUN) return false;
  const presences = presencesByServer(known);
  const present = crashes.flatMap((crash) => presencesAt(presences, crash));
  const otherSuspects = [...new Set(present.map((presence) => presence.suspect))].filter(
    (other) => other !== suspect,
  );
  const score = suspicionScore(suspect, presences);
  const likelierSuspects = otherSuspects.filter(
    (candidate) =>
      candidate.blockedSinceMs !== undefined || suspicionScore(candidate, presences) > score,
  );
  const attributed = crashes.filter(
    (crash) => !likelierSuspects.some((other) => wasPresentAt(other, crash)),
  );
  if (attributed.length < CRASHES_TO_BLOCK) return false;
  if (isAtMany && isFrequent) return true;
  return !otherSuspects.some((candidate) =>
    attributed.every((crash) => wasPresentAt(candidate, crash)),
  );
}

/**
 * Returns how strongly the crashes point at a suspect. A crash with one suspect present counts
 * 1; a crash with several is divided among them, with larger shares for requests that had been
 * open for a shorter time. A server crashes when it starts to process a request, whereas a
 * request with a long prompt is open for long without an event. A request that has succeeded
 * since is no longer a suspect of that crash.
 */
function suspicionScore(suspect: CrashSuspect, presences: PresencesByServer): number {
  const shares = suspect.crashes.map((crash) => {
    const all = presencesAt(presences, crash);
    return weightOf({ suspect, crash }) / all.reduce((sum, other) => sum + weightOf(other), 0);
  });
  return shares.reduce((sum, share) => sum + share, 0);
}

/** A suspect that was present at a crash. */
interface Presence {
  suspect: CrashSuspect;
  crash: ServerCrash;
}

type PresencesByServer = ReadonlyMap<string, readonly Presence[]>;

/** Returns the presences at all crashes by server; avoids passes over thousands of suspects for each crash. */
function presencesByServer(suspects: Iterable<CrashSuspect>): PresencesByServer {
  const presences = new Map<string, Presence[]>();
  for (const suspect of suspects) {
    for (const crash of suspect.crashes) {
      const known = presences.get(crash.serverId);
      if (known === undefined) presences.set(crash.serverId, [{ suspect, crash }]);
      else known.push({ suspect, crash });
    }
  }
  return presences;
}

function presencesAt(presences: PresencesByServer, crash: ServerCrash): readonly Presence[] {
  return (presences.get(crash.serverId) ?? []).filter((other) => isSameCrash(other.crash, crash));
}

function weightOf({ suspect, crash }: Presence): number {
  return recencyWeight(crash) * (ranWellBefore(suspect) ? WEIGHT_AFTER_GOOD_RUN : 1);
}

function recencyWeight({ sentAtMs, endedAtMs }: ServerCrash): number {
  return 1 / Math.max(TYPICAL_CRASH_DELAY_MS, endedAtMs - sentAtMs);
}

/**
 * Returns the crashes that a suspect may have caused. Where, at the same moment, as many servers
 * crashed without a part of prompts as with it, the cause is a common one: popular parts are present at
 * most servers, whatever ends these. Crashes at which a blocked suspect was present are explained by it,
 * and say nothing of a common cause.
 */
export function crashesOfOwnCause(
  suspect: CrashSuspect,
  { recent, blocked }: { recent: readonly ServerCrash[]; blocked: readonly CrashSuspect[] },
): readonly ServerCrash[] {
  const { key, crashes } = suspect;
  if (!isPartKey(key)) return crashes;
  const commonFrom = ranWellBefore(suspect)
    ? COMMON_CAUSE_SERVERS_AFTER_GOOD_RUN
    : COMMON_CAUSE_SERVERS;
  return crashes.filter((crash) => {
    const simultaneous = recent.filter(
      (other) => Math.abs(other.endedAtMs - crash.endedAtMs) < SIMULTANEOUS_MS,
    );
    const isOwn = (other: ServerCrash): boolean =>
      crashes.some((known) => isSameCrash(known, other));
    const isExplained = (other: ServerCrash): boolean =>
      blocked.some((cause) => wasPresentAt(cause, other));
    const own = simultaneous.filter(isOwn);
    const others = simultaneous.filter((other) => !isOwn(other) && !isExplained(other));
    return others.length < Math.max(commonFrom, own.length);
  });
}

/** Returns the number of crashes since the suspect's first one, those at which it was not present included. */
function crashesSince(crashes: readonly ServerCrash[], recent: readonly ServerCrash[]): number {
  const sinceMs = Math.min(...crashes.map(({ endedAtMs }) => endedAtMs)) - SIMULTANEOUS_MS;
  const all = recent.filter(({ endedAtMs }) => endedAtMs >= sinceMs).length;
  return Math.max(crashes.length, all);
}

/** Returns whether a suspect was present at a crash. */
export function wasPresentAt(suspect: CrashSuspect, crash: ServerCrash): boolean {
  return suspect.crashes.some((known) => isSameCrash(known, crash));
}

/**
 * Counts rounds: crashes that are not simultaneous and whose request was sent after the previous
 * crash.
 */
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
