/** The table of crash suspects: what a box knows of them, and which it forgets first. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { CrashSuspect } from '../../types/crashSuspect.js';
import type { RequestRecord } from '../../types/request.js';
import { suspectKeysOf } from './suspectKeys.js';

/** Maximum number of suspects; those with the fewest crashes, then those not seen for the longest, are removed first. */
const MAX_SUSPECTS = 4096;
/** Maximum number of crashes kept per suspect, the newest ones; more add no information. */
export const MAX_CRASHES_PER_SUSPECT = 12;
/** Time since it was last seen after which a suspect that is not blocked is removed, in ms. */
const SUSPECT_RETENTION_MS = 600_000;
/** The same for a suspect without crashes since its last good run, in ms: longer than gossip about earlier crashes is on its way. */
const CLEARED_RETENTION_MS = 60_000;
/** Time since it was last seen after which a blocked suspect is removed, in ms. */
const BLOCKED_RETENTION_MS = 3_600_000;

/** Returns the known suspects among a request and its prompt parts; none for all but a few requests. */
export function suspectsOf(state: GatewayState, record: RequestRecord): CrashSuspect[] {
  if (state.crashSuspects.size === 0) return [];
  const suspects: CrashSuspect[] = [];
  for (const key of suspectKeysOf(record)) {
    const suspect = state.crashSuspects.get(key);
    if (suspect !== undefined) suspects.push(suspect);
  }
  return suspects;
}

/** Returns the suspect of a key, and creates it if none is known. */
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
    goodRunAtMs: state.goodParts.get(key) ?? Number.NEGATIVE_INFINITY,
    blockedSinceMs: undefined,
    evaluationDueAtMs: undefined,
    seenAtMs,
  };
  state.crashSuspects.set(key, suspect);
  return suspect;
}

/** Returns the priority of a suspect for being kept and sent: blocked ones first, then those with the most crashes. */
export function suspectPriority({ crashes, blockedSinceMs }: CrashSuspect): number {
  return blockedSinceMs === undefined ? crashes.length : MAX_CRASHES_PER_SUSPECT + 1;
}

/** Removes the suspects not seen for long and, above the maximum number, those with the lowest priority. */
export function pruneSuspects(state: GatewayState, step: Step): void {
  const { crashSuspects } = state;
  for (const suspect of crashSuspects.values()) {
    if (step.nowMs - suspect.seenAtMs >= retentionMs(suspect)) forgetSuspect(state, step, suspect);
  }
  if (crashSuspects.size <= MAX_SUSPECTS) return;
  const lowestFirst = [...crashSuspects.values()].sort(
    (a, b) => suspectPriority(a) - suspectPriority(b) || a.seenAtMs - b.seenAtMs,
  );
  for (const suspect of lowestFirst.slice(0, crashSuspects.size - MAX_SUSPECTS)) {
    forgetSuspect(state, step, suspect);
  }
}

function retentionMs({ blockedSinceMs, crashes }: CrashSuspect): number {
  if (blockedSinceMs !== undefined) return BLOCKED_RETENTION_MS;
  return crashes.length === 0 ? CLEARED_RETENTION_MS : SUSPECT_RETENTION_MS;
}

function forgetSuspect(state: GatewayState, step: Step, suspect: CrashSuspect): void {
  state.crashSuspects.delete(suspect.key);
  state.blockedSuspects.delete(suspect);
  state.crashGossipDue.delete(suspect.key);
  if (suspect.blockedSinceMs !== undefined) log(step, 'suspectForgotten', { suspect: suspect.key });
}
