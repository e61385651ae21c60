/** Refusals of requests that may crash the servers that run them. */
import { hashString } from 'reedlug-coordination';
import { CRASHES_TO_KEEP_OUT } from '../policy/crashVerdict.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { CrashSuspect } from '../types/crashSuspect.js';
import type { RequestRecord } from '../types/request.js';
import type { PeerView } from '../types/views.js';
import { CRASHES_SERVERS_REASON, suspectOf } from './crashSuspects.js';
import { boxesRankedBefore, isFreshPeer, usesHubs } from './fleet.js';

/** When such a request may come back to another box, in ms: the one send that is under way has shown by then whether its server crashes. */
const TRIAL_RETRY_AFTER_MS = 500;

/** What a request that has come is refused with, if it is to be sent to no server. */
export interface CrashRefusal {
  status: number;
  reason: string;
  retryAfterMs: number | undefined;
}

/**
 * Whether a request that has come is sent to no server, for good or until it is judged. For
 * good: the failure is the servers' own, and coming back changes nothing, so it is a 500
 * without a time; a 503 would be taken for overload and tried again.
 */
export function crashRefusal(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
): CrashRefusal | undefined {
  const suspect = suspectOf(state, record);
  if (suspect === undefined) return undefined;
  suspect.seenAtMs = step.nowMs;
  const refusal = refusalOf(state, step, suspect);
  if (refusal === undefined) return undefined;
  log(step, 'crashSuspectRefused', {
    request: record.facts.requestId,
    suspect: suspect.key,
    crashes: suspect.crashes.length,
    keptOutForMs: Math.round(step.nowMs - (suspect.blockedSinceMs ?? step.nowMs)),
  });
  return refusal;
}

function refusalOf(
  state: GatewayState,
  { nowMs }: Step,
  suspect: CrashSuspect,
): CrashRefusal | undefined {
  const { blockedSinceMs, evaluationDueAtMs, crashes } = suspect;
  if (blockedSinceMs !== undefined) {
    return { status: 500, reason: CRASHES_SERVERS_REASON, retryAfterMs: undefined };
  }
  const refusal = { status: 503, reason: 'crashSuspect' };
  if (evaluationDueAtMs !== undefined)
    return { ...refusal, retryAfterMs: evaluationDueAtMs - nowMs };
  if (crashes.length < CRASHES_TO_KEEP_OUT || maySendTrial(state, suspect, nowMs)) return undefined;
  return { ...refusal, retryAfterMs: TRIAL_RETRY_AFTER_MS };
}

/**
 * Whether this box sends a suspect with three crashes whose case is open: one box does, the
 * first by rank of those that are heard, one send at a time. The users allow three further
 * sends in all, and copies that come at once to several boxes would make more.
 */
function maySendTrial(state: GatewayState, suspect: CrashSuspect, nowMs: number): boolean {
  const viaHubs = usesHubs(state);
  const isPresent = (peer: PeerView): boolean => viaHubs || isFreshPeer(peer, nowMs);
  if (boxesRankedBefore(state, hashString(suspect.key), isPresent) > 0) return false;
  return ![...state.requests.values()].some((record) => suspectOf(state, record) === suspect);
}
