/**
 * Requests under which servers crash: who is one, and that none is sent for ever.
 *
 * A box's knowledge of a request must not end with its exchange or with the box: such a
 * request comes again, under another id, at any box, and takes a server with all that it
 * works on each time. So boxes know it by workspace and digest, count crashes of server
 * lives and not reports, and tell each other; the sets only grow until a good run, so the
 * order, repetition and loss of news change nothing.
 */
import {
  AGE_ERROR_MS,
  CRASHES_TO_KEEP_OUT,
  isCulprit,
  isSameCrash,
} from '../policy/crashVerdict.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { CrashSuspect, ServerCrash } from '../types/crashSuspect.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import { giveUp } from './ending.js';

/** Suspects known at most; the ones with the fewest crashes, then those unseen for the longest, go first. */
const MAX_SUSPECTS = 512;
/** Crashes kept of one suspect, the newest; more say nothing new. */
const MAX_CRASHES_PER_SUSPECT = 12;
/** Time since it last came after which a suspect, or one that is kept out, is forgotten, in ms. */
const SUSPECT_RETENTION_MS = 600_000;
const BLOCKED_RETENTION_MS = 3_600_000;
/** Time for which crashes count beside those of a suspect, in ms: as long as one may take to come three times. */
const RECENT_CRASH_RETENTION_MS = 30_000;
/** Recent crashes known at most: more than a third of the servers of a large fleet's zone. */
const MAX_RECENT_CRASHES = 256;
/** Pause between looks for what is to be forgotten, in ms. */
const PRUNE_INTERVAL_MS = 1000;

/**
 * Time since its first event after which a run is past the point at which servers crash,
 * in ms: a server crashes as it begins with one, before its first event.
 */
const CRASH_POINT_MS = 1000;

/**
 * Time from a crash that may decide to the judgement, in ms: half of the users' time for
 * news. By then the other boxes' word is here, and a run of the same request elsewhere has
 * ended or passed the point, if it is innocent.
 */
const EVALUATION_DELAY_MS = 1500;

/** Why a request that crashes servers is refused or given up. */
export const CRASHES_SERVERS_REASON = 'crashesServers';

/** How a request is known when it comes again. */
export function suspectKey(workspace: string | undefined, digest: string): string {
  return `${workspace ?? ''}/${digest}`;
}

/** What is known of a request in progress; undefined for all but a few. */
export function suspectOf(state: GatewayState, record: RequestRecord): CrashSuspect | undefined {
  if (state.crashSuspects.size === 0) return undefined;
  return state.crashSuspects.get(suspectKey(record.workspace, record.facts.digest));
}

/** A request was open at a server that crashed. */
export function recordCrash(
  state: GatewayState,
  step: Step,
  key: string,
  crash: ServerCrash,
): void {
  if (hasRunPastCrashPoint(state, step, key)) return;
  const suspect = getOrCreateSuspect(state, key, step.nowMs);
  if (!addCrash(state, suspect, crash)) return;
  suspect.seenAtMs = step.nowMs;
  state.crashGossipDue.add(key);
  state.crashRow.hasUnwrittenObservations = true;
  log(step, 'crashNoted', {
    suspect: key,
    server: crash.serverId,
    bornAtMs: crash.bornAtMs ?? 0,
    ranMs: Math.round(crash.endedAtMs - crash.sentAtMs),
    crashes: suspect.crashes.length,
  });
  scheduleEvaluation(state, step, suspect);
}

/** After a crash that may decide, the others' word on it is awaited, and nothing is sent meanwhile. */
export function scheduleEvaluation(state: GatewayState, step: Step, suspect: CrashSuspect): void {
  if (suspect.crashes.length < CRASHES_TO_KEEP_OUT || suspect.blockedSinceMs !== undefined) return;
  // Of what happened before its start, a box knows too little to judge; others have.
  if ((suspect.crashes.at(-1)?.endedAtMs ?? 0) < state.startedAtMs) return;
  suspect.evaluationDueAtMs ??= step.nowMs + EVALUATION_DELAY_MS;
}

/** The suspect of a key; a new one where none is known. */
export function getOrCreateSuspect(
  state: GatewayState,
  key: string,
  seenAtMs: number,
): CrashSuspect {
  const known = state.crashSuspects.get(key);
  if (known !== undefined) return known;
  const suspect: CrashSuspect = {
    key,
    crashes: [],
    goodRunAtMs: Number.NEGATIVE_INFINITY,
    blockedSinceMs: undefined,
    evaluationDueAtMs: undefined,
    seenAtMs,
  };
  state.crashSuspects.set(key, suspect);
  return suspect;
}

/** Whether a run of the same request is in progress that is past the point of a crash. */
function hasRunPastCrashPoint(state: GatewayState, step: Step, key: string): boolean {
  for (const record of state.requests.values()) {
    if (suspectKey(record.workspace, record.facts.digest) !== key) continue;
    if (record.attempts.some((attempt) => attempt.open && isPastCrashPoint(attempt, step.nowMs))) {
      return true;
    }
  }
  return false;
}

/** Whether an attempt has run for longer than one that crashes its server does. */
export function isPastCrashPoint({ firstOutputAtMs }: Attempt, nowMs: number): boolean {
  return firstOutputAtMs !== undefined && nowMs - firstOutputAtMs >= CRASH_POINT_MS;
}

/** Notes a crash whoever was there: those of a moment tell a common cause from a request. */
export function recordRecentCrash({ recentCrashes }: GatewayState, crash: ServerCrash): void {
  const known = recentCrashes.find((other) => isSameCrash(other, crash));
  if (known !== undefined) {
    // Whoever lost a send first saw the end first.
    known.endedAtMs = Math.min(known.endedAtMs, crash.endedAtMs);
    return;
  }
  recentCrashes.push({ ...crash });
  if (recentCrashes.length > MAX_RECENT_CRASHES) recentCrashes.shift();
}

/** Whether a life of a server is known to have ended before a request was sent there. */
export function hasEndedBefore({ recentCrashes }: GatewayState, crash: ServerCrash): boolean {
  const known = recentCrashes.find((other) => isSameCrash(other, crash));
  return known !== undefined && crash.sentAtMs > known.endedAtMs + AGE_ERROR_MS;
}

/** Adds a crash; false when it is known, or a good run came after the send. */
export function addCrash(state: GatewayState, suspect: CrashSuspect, crash: ServerCrash): boolean {
  recordRecentCrash(state, crash);
  const { crashes } = suspect;
  if (crash.sentAtMs <= suspect.goodRunAtMs) return false;
  if (crashes.some((known) => isSameCrash(known, crash))) return false;
  if (crashes.length >= MAX_CRASHES_PER_SUSPECT && crash.endedAtMs <= (crashes[0]?.endedAtMs ?? 0))
    return false;
  crashes.push(crash);
  crashes.sort((a, b) => a.endedAtMs - b.endedAtMs);
  if (crashes.length > MAX_CRASHES_PER_SUSPECT) crashes.shift();
  return true;
}

/** A run went well, or past the moment of its crashes: whatever crashed before, it was not this request. */
export function recordGoodRun(state: GatewayState, step: Step, record: RequestRecord): void {
  const suspect = suspectOf(state, record);
  if (suspect === undefined) return;
  if (applyGoodRun(step, suspect, step.nowMs)) state.crashGossipDue.add(suspect.key);
}

/** Takes a good run into account, this box's own or one that is told; tells whether it changed anything. */
export function applyGoodRun(step: Step, suspect: CrashSuspect, goodRunAtMs: number): boolean {
  if (goodRunAtMs <= suspect.goodRunAtMs) return false;
  suspect.goodRunAtMs = goodRunAtMs;
  const before = suspect.crashes.length;
  suspect.crashes = suspect.crashes.filter(({ sentAtMs }) => sentAtMs > goodRunAtMs);
  if (suspect.crashes.length < CRASHES_TO_KEEP_OUT) suspect.evaluationDueAtMs = undefined;
  const { blockedSinceMs } = suspect;
  const isLifted = blockedSinceMs !== undefined && blockedSinceMs <= goodRunAtMs;
  if (isLifted) suspect.blockedSinceMs = undefined;
  if (suspect.crashes.length === before && !isLifted) return false;
  log(step, 'suspectCleared', { suspect: suspect.key, crashes: before, lifted: isLifted });
  return true;
}

/** A request that is kept out, as operators see it. */
export interface BlockedSuspect {
  key: string;
  crashes: number;
  keptOutForMs: number;
}

/** Requests that are kept out. */
export function blockedSuspects(state: GatewayState, nowMs: number): BlockedSuspect[] {
  return [...state.crashSuspects.values()].flatMap(({ key, crashes, blockedSinceMs }) => {
    if (blockedSinceMs === undefined) return [];
    const keptOutForMs = Math.round(nowMs - blockedSinceMs);
    return [{ key, crashes: crashes.length, keptOutForMs }];
  });
}

/**
 * An operator lets a request in again, say after a mend of the servers' software. It counts
 * as a good run, so that all boxes learn of it in the same way, and its crashes up to now
 * are forgotten; it is kept out again after as many new ones.
 */
export function liftVerdict(state: GatewayState, step: Step, key: string): void {
  const suspect = state.crashSuspects.get(key);
  if (suspect?.blockedSinceMs === undefined) return;
  log(step, 'verdictLifted', { suspect: key, crashes: suspect.crashes.length });
  applyGoodRun(step, suspect, step.nowMs);
  state.crashGossipDue.add(key);
  state.crashRow.hasUnwrittenObservations = true;
}

/** Keeps a suspect out where its crashes say so. */
function evaluateSuspect(state: GatewayState, step: Step, suspect: CrashSuspect): void {
  suspect.evaluationDueAtMs = undefined;
  if (suspect.blockedSinceMs !== undefined) return;
  const context = { suspects: state.crashSuspects.values(), recent: state.recentCrashes };
  if (!isCulprit(suspect, context)) return;
  blockSuspect(state, step, suspect, step.nowMs);
  state.crashGossipDue.add(suspect.key);
  state.crashRow.hasUnwrittenObservations = true;
}

/** Sends a request to no server any more, and ends what has not begun of it. */
export function blockSuspect(
  state: GatewayState,
  step: Step,
  suspect: CrashSuspect,
  sinceMs: number,
): void {
  suspect.blockedSinceMs = sinceMs;
  suspect.evaluationDueAtMs = undefined;
  log(step, 'requestKeptOut', {
    suspect: suspect.key,
    crashes: suspect.crashes.length,
    servers: suspect.crashes.map(({ serverId }) => serverId).join(','),
    firstCrashAgeMs: Math.round(step.nowMs - (suspect.crashes[0]?.endedAtMs ?? step.nowMs)),
  });
  for (const record of [...state.requests.values()]) {
    if (suspectOf(state, record) !== suspect) continue;
    const hasOutput = record.attempts.some(({ firstOutputAtMs }) => firstOutputAtMs !== undefined);
    if (!hasOutput) giveUp(state, step, record, CRASHES_SERVERS_REASON);
  }
}

/** Judges those that are due; forgets what has not come for long, and the least of too many. */
export function crashSuspectsTick(state: GatewayState, step: Step): void {
  const { crashSuspects } = state;
  if (crashSuspects.size === 0) return;
  const due = [...crashSuspects.values()].filter(
    ({ evaluationDueAtMs }) => evaluationDueAtMs !== undefined && step.nowMs >= evaluationDueAtMs,
  );
  for (const suspect of due) evaluateSuspect(state, step, suspect);
  if (step.nowMs - state.suspectsPrunedAtMs < PRUNE_INTERVAL_MS) return;
  state.suspectsPrunedAtMs = step.nowMs;
  state.recentCrashes = state.recentCrashes.filter(
    ({ endedAtMs }) => step.nowMs - endedAtMs < RECENT_CRASH_RETENTION_MS,
  );
  for (const suspect of crashSuspects.values()) {
    const retentionMs =
      suspect.blockedSinceMs === undefined ? SUSPECT_RETENTION_MS : BLOCKED_RETENTION_MS;
    if (step.nowMs - suspect.seenAtMs >= retentionMs) forgetSuspect(state, step, suspect);
  }
  if (crashSuspects.size <= MAX_SUSPECTS) return;
  const lowestFirst = [...crashSuspects.values()].sort(
    (a, b) => suspectPriority(a) - suspectPriority(b) || a.seenAtMs - b.seenAtMs,
  );
  for (const suspect of lowestFirst.slice(0, crashSuspects.size - MAX_SUSPECTS)) {
    forgetSuspect(state, step, suspect);
  }
}

/** What speaks for keeping a suspect in mind. */
export function suspectPriority({ crashes, blockedSinceMs }: CrashSuspect): number {
  return blockedSinceMs === undefined ? crashes.length : MAX_CRASHES_PER_SUSPECT + 1;
}

function forgetSuspect(state: GatewayState, step: Step, suspect: CrashSuspect): void {
  state.crashSuspects.delete(suspect.key);
  state.crashGossipDue.delete(suspect.key);
  if (suspect.blockedSinceMs !== undefined) log(step, 'suspectForgotten', { suspect: suspect.key });
}
