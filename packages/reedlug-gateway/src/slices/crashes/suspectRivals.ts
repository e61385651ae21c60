/**
 * Tells apart suspects of the same crashes. As long as a suspect and a rival were present at the same
 * ones, either may be the cause; a request that holds only one of them shows which.
 */
import {
  crashesOfOwnCause,
  GOOD_RUN_MEMORY_MS,
  isRetrialDue,
  ranWellBefore,
  wasPresentAt,
} from '../../policy/crashVerdict.js';
import type { GatewayState } from '../../state.js';
import { isPartKey, type CrashSuspect, type ServerCrash } from '../../types/crashSuspect.js';
import type { RequestRecord } from '../../types/request.js';
import { partKey, suspectKeysOf } from './suspectKeys.js';
import { suspectsOf } from './suspectTable.js';

/** Returns the crashes that speak against a suspect: those without a common cause at which no blocked one was present. */
export function unexplainedCrashes(
  state: GatewayState,
  suspect: CrashSuspect,
): readonly ServerCrash[] {
  if (suspect.crashes.length === 0) return suspect.crashes;
  const others = [...state.blockedSuspects].filter((other) => other !== suspect);
  const crashes = crashesOfOwnCause(suspect, { recent: state.recentCrashes, blocked: others });
  return crashes.filter((crash) => !others.some((other) => wasPresentAt(other, crash)));
}

/**
 * Returns the crashes for which requests with a suspect are sent one at a time. For a part that never ran
 * well, those at which a blocked suspect was present count too: as soon as that one is known, requests that
 * were held back would otherwise all be sent at once.
 */
export function crashesToHoldFor(
  state: GatewayState,
  suspect: CrashSuspect,
): readonly ServerCrash[] {
  if (!isPartKey(suspect.key) || ranWellBefore(suspect)) return unexplainedCrashes(state, suspect);
  const blocked = [...state.blockedSuspects];
  return crashesOfOwnCause(suspect, { recent: state.recentCrashes, blocked });
}

/** Returns whether a request holds a blocked suspect that it may not show to be innocent. */
export function isKeptOut(state: GatewayState, record: RequestRecord, nowMs: number): boolean {
  if (state.blockedSuspects.size === 0) return false;
  if (isBlockedAtOtherTarget(state, record, nowMs)) return true;
  return suspectsOf(state, record).some((suspect) => {
    if (suspect.blockedSinceMs === undefined) return false;
    const isRetrial =
      isPartKey(suspect.key) &&
      (isRetrialDue(suspect, nowMs) || isExplainedByOthers(state, suspect));
    return !isRetrial && !lacksRivalOf(state, suspect, record);
  });
}

/**
 * Returns whether other blocked suspects, which crashed servers without this one too, were present at all
 * of its crashes: then only a further run shows whether it is a cause as well.
 */
function isExplainedByOthers({ blockedSuspects }: GatewayState, suspect: CrashSuspect): boolean {
  if (suspect.crashes.length === 0) return false;
  const causes = [...blockedSuspects].filter(
    (other) => other !== suspect && other.crashes.some((crash) => !wasPresentAt(suspect, crash)),
  );
  return suspect.crashes.every((crash) => causes.some((cause) => wasPresentAt(cause, crash)));
}

/**
 * Returns whether a part of a request is blocked at another service of its route, and has not run well
 * at its own lately: a part that crashes the servers of one most likely crashes those of the other.
 */
function isBlockedAtOtherTarget(
  state: GatewayState,
  { route, service, facts }: RequestRecord,
  nowMs: number,
): boolean {
  const others = route.targets.filter((target) => target.service !== service);
  if (others.length === 0) return false;
  return facts.promptParts.slice(0, -1).some(({ id }) => {
    const isBlocked = others.some(({ service: other }) => {
      const suspect = state.crashSuspects.get(partKey(other, id));
      return suspect !== undefined && state.blockedSuspects.has(suspect);
    });
    return isBlocked && !ranWellLately(state, partKey(service, id), nowMs);
  });
}

function ranWellLately(state: GatewayState, key: string, nowMs: number): boolean {
  const atMs = Math.max(
    state.goodParts.get(key) ?? Number.NEGATIVE_INFINITY,
    state.crashSuspects.get(key)?.goodRunAtMs ?? Number.NEGATIVE_INFINITY,
  );
  return nowMs - atMs < GOOD_RUN_MEMORY_MS;
}

/** Returns whether a request lacks a suspect that was present at all crashes of one that it holds. */
function lacksRivalOf(state: GatewayState, suspect: CrashSuspect, record: RequestRecord): boolean {
  if (suspect.crashes.length === 0) return false;
  const keys = suspectKeysOf(record);
  for (const other of state.crashSuspects.values()) {
    if (other.crashes.length < suspect.crashes.length || keys.includes(other.key)) continue;
    if (suspect.crashes.every((crash) => wasPresentAt(other, crash))) return true;
  }
  return false;
}
