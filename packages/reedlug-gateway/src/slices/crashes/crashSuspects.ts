/**
 * Identifies what crashes servers, a request or a part of prompts, and blocks it from being sent again.
 *
 * What is known of it must outlive its exchange and the box: it arrives again, under another id, at any
 * box, and each time crashes a server with all the work in progress there. A crash leaves the request
 * and each shared part of its prompt as suspects, and a good run clears those that it holds: sound parts
 * are cleared soon, since sound requests hold them too. Boxes count crashes of server incarnations
 * instead of reports, and exchange gossip. The sets of crashes only grow until a good run, so the order,
 * repetition and loss of messages make no difference.
 */
import {
  AGE_ERROR_MS,
  causesCrashes,
  crashesToBlock,
  isSameCrash,
} from '../../policy/crashVerdict.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { runPart } from '../../stepFaults.js';
import type { CrashSuspect, LostSend, ServerCrash } from '../../types/crashSuspect.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import { giveUp } from '../requests/requestCompletion.js';
import { addLostSendToGossip } from './lostSendGossip.js';
import { isKeptOut } from './suspectRivals.js';
import { goodPartKeys, rememberGoodParts } from './goodParts.js';
import { suspectKeysOf } from './suspectKeys.js';
import {
  getOrCreateSuspect,
  MAX_CRASHES_PER_SUSPECT,
  pruneSuspects,
  suspectsOf,
} from './suspectTable.js';

/** Time for which crashes under any request are kept for comparison with those of a suspect, in ms: as long as one request may take to arrive three times. */
const RECENT_CRASH_RETENTION_MS = 30_000;
/** Maximum number of recent crashes kept: more than a third of the servers in a zone of a large fleet. */
const MAX_RECENT_CRASHES = 256;
/** Interval between removals of expired suspects and crashes, in ms. */
const PRUNE_INTERVAL_MS = 1000;

/**
 * Time since its first event after which a run is past the point at which servers crash,
 * in ms: a server crashes as it starts on a request, before the first event or with it.
 */
const CRASH_POINT_MS = 1000;

/**
 * Time from a crash that may decide the verdict to the evaluation, in ms: half of the time
 * that the users allow for gossip. By then the gossip of the other boxes has arrived, and a
 * run of the same request elsewhere has finished or passed the crash point, if it is innocent.
 */
const EVALUATION_DELAY_MS = 1500;

/** Reason with which a request that crashes servers is refused or ended. */
export const CRASHES_SERVERS_REASON = 'crashesServers';

/**
 * Records that a request was open at a server that crashed. Keys of runs in progress that are past the
 * crash point are no suspects.
 */
export function recordCrash(
  state: GatewayState,
  step: Step,
  { crash, keys }: LostSend,
  provenKeys: ReadonlySet<string>,
): void {
  const suspects = keys.filter((key) => !provenKeys.has(key));
  const added = suspects.filter((key) => {
    const suspect = getOrCreateSuspect(state, key, step.nowMs);
    if (!addCrash(state, suspect, crash)) return false;
    suspect.seenAtMs = step.nowMs;
    scheduleEvaluation(state, step, suspect);
    return true;
  });
  if (added.length === 0) return;
  addLostSendToGossip(state, { crash, keys: added });
  state.crashRow.hasUnwrittenObservations = true;
  const [suspect = ''] = [...added].sort((a, b) => crashCount(state, b) - crashCount(state, a));
  log(step, 'crashNoted', {
    suspect,
    server: crash.serverId,
    bornAtMs: crash.bornAtMs ?? 0,
    ranMs: Math.round(crash.endedAtMs - crash.sentAtMs),
    crashes: crashCount(state, suspect),
    suspects: added.length,
    cleared: keys.length - added.length,
  });
}

function crashCount(state: GatewayState, key: string): number {
  return state.crashSuspects.get(key)?.crashes.length ?? 0;
}

/** Schedules the evaluation after a crash that may decide the verdict; until then gossip of other boxes arrives, and the request is not sent. */
export function scheduleEvaluation(state: GatewayState, step: Step, suspect: CrashSuspect): void {
  if (suspect.crashes.length < crashesToBlock(suspect)) return;
  if (suspect.blockedSinceMs !== undefined || !mayEvaluate(state, suspect)) return;
  suspect.evaluationDueAtMs ??= step.nowMs + EVALUATION_DELAY_MS;
}

/**
 * Whether this box was there at the last crash of a suspect. It knows too little of what happened before
 * its start, above all which servers crashed without the suspect; other boxes have evaluated that.
 */
function mayEvaluate({ startedAtMs }: GatewayState, { crashes }: CrashSuspect): boolean {
  return (crashes.at(-1)?.endedAtMs ?? 0) >= startedAtMs;
}

/** Returns the keys of the runs in progress that are past the crash point: none of them crashes servers. */
export function provenKeys(state: GatewayState, nowMs: number): ReadonlySet<string> {
  const proven = new Set<string>();
  for (const record of state.requests.values()) {
    if (!record.attempts.some((attempt) => attempt.open && isPastCrashPoint(attempt, nowMs))) {
      continue;
    }
    for (const key of suspectKeysOf(record)) proven.add(key);
  }
  return proven;
}

/** Returns whether an attempt has run for longer than one that crashes its server does. */
export function isPastCrashPoint({ firstOutputAtMs }: Attempt, nowMs: number): boolean {
  return firstOutputAtMs !== undefined && nowMs - firstOutputAtMs >= CRASH_POINT_MS;
}

/** Records a crash, whichever requests were open there: several crashes at one moment indicate a common cause rather than one request. */
export function recordRecentCrash({ recentCrashes }: GatewayState, crash: ServerCrash): void {
  const known = recentCrashes.find((other) => isSameCrash(other, crash));
  if (known !== undefined) {
    // The box that lost a send first observed the end first.
    known.endedAtMs = Math.min(known.endedAtMs, crash.endedAtMs);
    return;
  }
  recentCrashes.push({ ...crash });
  if (recentCrashes.length > MAX_RECENT_CRASHES) recentCrashes.shift();
}

/** Returns whether an incarnation of a server is known to have ended before a request was sent there. */
export function hasEndedBefore({ recentCrashes }: GatewayState, crash: ServerCrash): boolean {
  const known = recentCrashes.find((other) => isSameCrash(other, crash));
  return known !== undefined && crash.sentAtMs > known.endedAtMs + AGE_ERROR_MS;
}

/** Adds a crash; returns false when it is known, when a good run came after the send, or when the maximum number of later ones is kept. */
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

/** Records that a run succeeded or passed the crash point: the request and its parts did not cause the crashes before. */
export function recordGoodRun(state: GatewayState, step: Step, record: RequestRecord): void {
  rememberGoodParts(state, goodPartKeys(record), step.nowMs);
  // Avoids the keys of all parts, of which a prompt may have hundreds, while no server crashes.
  if (state.crashSuspects.size > 0) clearSuspects(state, step, suspectKeysOf(record), step.nowMs);
}

/** Clears the suspects among these keys by a good run. */
export function clearSuspects(
  state: GatewayState,
  step: Step,
  keys: readonly string[],
  atMs: number,
): void {
  for (const key of keys) {
    const suspect = state.crashSuspects.get(key);
    if (suspect === undefined) continue;
    if (applyGoodRun(state, step, suspect, atMs)) state.crashGossipDue.add(key);
  }
}

/** Applies a good run, this box's own or one that a peer reports; returns whether it changed anything. */
export function applyGoodRun(
  state: GatewayState,
  step: Step,
  suspect: CrashSuspect,
  goodRunAtMs: number,
): boolean {
  if (goodRunAtMs <= suspect.goodRunAtMs) return false;
  suspect.goodRunAtMs = goodRunAtMs;
  const before = suspect.crashes.length;
  if (before > 0)
    suspect.crashes = suspect.crashes.filter(({ sentAtMs }) => sentAtMs > goodRunAtMs);
  if (suspect.crashes.length < crashesToBlock(suspect)) suspect.evaluationDueAtMs = undefined;
  const { blockedSinceMs } = suspect;
  const isLifted = blockedSinceMs !== undefined && blockedSinceMs <= goodRunAtMs;
  if (isLifted) {
    suspect.blockedSinceMs = undefined;
    state.blockedSuspects.delete(suspect);
  }
  if (suspect.crashes.length === before && !isLifted) return false;
  state.hasClearedSuspects = true;
  log(step, 'suspectCleared', { suspect: suspect.key, crashes: before, lifted: isLifted });
  return true;
}

/** A blocked request or part of prompts, as operators see it. */
export interface BlockedSuspect {
  key: string;
  crashes: number;
  keptOutForMs: number;
}

/** Returns the blocked requests and parts of prompts. */
export function blockedSuspects(state: GatewayState, nowMs: number): BlockedSuspect[] {
  return [...state.crashSuspects.values()].flatMap(({ key, crashes, blockedSinceMs }) => {
    if (blockedSinceMs === undefined) return [];
    const keptOutForMs = Math.round(nowMs - blockedSinceMs);
    return [{ key, crashes: crashes.length, keptOutForMs }];
  });
}

/**
 * Unblocks a suspect for an operator, for example after a fix in the servers' software. This
 * counts as a good run, so that it reaches all boxes in the same way, and the crashes up to
 * now are removed; it is blocked again after as many new ones.
 */
export function liftVerdict(state: GatewayState, step: Step, key: string): void {
  const suspect = state.crashSuspects.get(key);
  if (suspect?.blockedSinceMs === undefined) return;
  log(step, 'verdictLifted', { suspect: key, crashes: suspect.crashes.length });
  applyGoodRun(state, step, suspect, step.nowMs);
  state.crashGossipDue.add(key);
  state.crashRow.hasUnwrittenObservations = true;
}

/** Blocks a suspect if its crashes show that it causes them. */
function evaluateSuspect(state: GatewayState, step: Step, suspect: CrashSuspect): void {
  suspect.evaluationDueAtMs = undefined;
  if (suspect.blockedSinceMs !== undefined) return;
  const context = { suspects: state.crashSuspects.values(), recent: state.recentCrashes };
  if (!causesCrashes(suspect, context)) return;
  blockSuspect(state, step, suspect, step.nowMs);
  state.crashGossipDue.add(suspect.key);
  state.crashRow.hasUnwrittenObservations = true;
}

/** Blocks a suspect from being sent to any server, and ends its requests in progress that have no output yet. */
export function blockSuspect(
  state: GatewayState,
  step: Step,
  suspect: CrashSuspect,
  sinceMs: number,
): void {
  suspect.blockedSinceMs = sinceMs;
  suspect.evaluationDueAtMs = undefined;
  state.blockedSuspects.add(suspect);
  log(step, 'requestKeptOut', {
    suspect: suspect.key,
    crashes: suspect.crashes.length,
    servers: suspect.crashes.map(({ serverId }) => serverId).join(','),
    firstCrashAgeMs: Math.round(step.nowMs - (suspect.crashes[0]?.endedAtMs ?? step.nowMs)),
  });
  for (const record of [...state.requests.values()]) {
    if (!suspectsOf(state, record).includes(suspect) || !isKeptOut(state, record, step.nowMs))
      continue;
    const hasOutput = record.attempts.some(({ firstOutputAtMs }) => firstOutputAtMs !== undefined);
    if (hasOutput) continue;
    const { exchangeId } = record;
    runPart(step, () => giveUp(state, step, record, CRASHES_SERVERS_REASON), exchangeId);
  }
}

/** Evaluates the suspects that are due, and removes what has expired. */
export function crashSuspectsTick(state: GatewayState, step: Step): void {
  const { crashSuspects } = state;
  if (crashSuspects.size === 0) return;
  if (state.hasClearedSuspects) scheduleEvaluationsAgain(state, step);
  const due = [...crashSuspects.values()].filter(
    ({ evaluationDueAtMs }) => evaluationDueAtMs !== undefined && step.nowMs >= evaluationDueAtMs,
  );
  // Those that were at the most crashes explain the crashes of others.
  due.sort((a, b) => b.crashes.length - a.crashes.length);
  for (const suspect of due) evaluateSuspect(state, step, suspect);
  if (step.nowMs - state.suspectsPrunedAtMs < PRUNE_INTERVAL_MS) return;
  state.suspectsPrunedAtMs = step.nowMs;
  state.recentCrashes = state.recentCrashes.filter(
    ({ endedAtMs }) => step.nowMs - endedAtMs < RECENT_CRASH_RETENTION_MS,
  );
  pruneSuspects(state, step);
}

/** Schedules suspects for evaluation whose crashes another one may have explained that is cleared now. */
function scheduleEvaluationsAgain(state: GatewayState, step: Step): void {
  state.hasClearedSuspects = false;
  for (const suspect of state.crashSuspects.values()) {
    if (suspect.crashes.length < crashesToBlock(suspect)) continue;
    if (suspect.blockedSinceMs !== undefined || !mayEvaluate(state, suspect)) continue;
    const decidedAtMs = (suspect.crashes.at(-1)?.endedAtMs ?? 0) + EVALUATION_DELAY_MS;
    suspect.evaluationDueAtMs ??= Math.max(step.nowMs, decidedAtMs);
  }
}
