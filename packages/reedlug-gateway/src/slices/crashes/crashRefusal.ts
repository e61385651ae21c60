/** Refuses requests that may crash the servers that run them. */
import { hashString } from 'reedlug-coordination';
import { CRASHES_TO_BLOCK } from '../../policy/crashVerdict.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { CrashSuspect } from '../../types/crashSuspect.js';
import type { RequestRecord } from '../../types/request.js';
import type { PeerView } from '../../types/views.js';
import { CRASHES_SERVERS_REASON, suspectOf } from './crashSuspects.js';
import { boxesRankedBefore, isFreshPeer, usesHubs } from '../peers/fleet.js';

/** Retry-After while a trial send of such a request is in progress, in ms: by then it is known whether the server of the trial crashes. */
const TRIAL_RETRY_AFTER_MS = 500;

/** The answer to a request that must not be sent to any server. */
export interface CrashRefusal {
  status: number;
  reason: string;
  retryAfterMs: number | undefined;
}

/**
 * Returns the refusal of a request that must not be sent to any server, permanently or until
 * it is evaluated; undefined when it may be sent. A permanent refusal is a 500 without
 * Retry-After: the failure is the servers' own and a retry changes nothing, but callers would
 * take a 503 for overload and retry.
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
  if (crashes.length < CRASHES_TO_BLOCK || maySendTrial(state, suspect, nowMs)) return undefined;
  return { ...refusal, retryAfterMs: TRIAL_RETRY_AFTER_MS };
}

/**
 * Returns whether this box sends a suspect that has three crashes and no verdict. Only the box
 * that ranks first among those not silent does, one send at a time: the users allow three
 * further sends in all, and copies that arrive at several boxes at once would exceed that.
 */
function maySendTrial(state: GatewayState, suspect: CrashSuspect, nowMs: number): boolean {
  const viaHubs = usesHubs(state);
  const isPresent = (peer: PeerView): boolean => viaHubs || isFreshPeer(peer, nowMs);
  if (boxesRankedBefore(state, hashString(suspect.key), isPresent) > 0) return false;
  return ![...state.requests.values()].some((record) => suspectOf(state, record) === suspect);
}
