/** Refuses requests that may crash the servers that run them. */
import { hashString } from 'reedlug-coordination';
import { crashesToBlock } from '../../policy/crashVerdict.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { CrashSuspect } from '../../types/crashSuspect.js';
import type { RequestRecord } from '../../types/request.js';
import type { PeerView } from '../../types/views.js';
import { CRASHES_SERVERS_REASON, isPastCrashPoint } from './crashSuspects.js';
import { crashesToHoldFor, isKeptOut } from './suspectRivals.js';
import { suspectsOf } from './suspectTable.js';
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
  const suspects = suspectsOf(state, record);
  const isOut = isKeptOut(state, record, step.nowMs);
  if (suspects.length === 0 && !isOut) return undefined;
  for (const suspect of suspects) suspect.seenAtMs = step.nowMs;
  const open = suspects
    .map((suspect) => ({ suspect, crashes: crashesAgainst(state, suspect) }))
    .filter(({ suspect, crashes }) => crashes >= crashesToBlock(suspect))
    .sort((a, b) => b.crashes - a.crashes || a.suspect.key.localeCompare(b.suspect.key));
  const refusal = isOut ? KEPT_OUT : openRefusal(state, step, open);
  if (refusal === undefined) return undefined;
  const worst = open[0]?.suspect;
  log(step, 'crashSuspectRefused', {
    request: record.facts.requestId,
    // Without a suspect of its own service, a part is blocked at another one of the route.
    suspect: worst?.key ?? '',
    crashes: worst?.crashes.length ?? 0,
    reason: refusal.reason,
    keptOutForMs: Math.round(step.nowMs - (worst?.blockedSinceMs ?? step.nowMs)),
  });
  return refusal;
}

/** A suspect that a request holds, and the number of crashes that speak against it. */
interface OpenSuspect {
  suspect: CrashSuspect;
  crashes: number;
}

function crashesAgainst(state: GatewayState, suspect: CrashSuspect): number {
  if (suspect.blockedSinceMs !== undefined) return Number.POSITIVE_INFINITY;
  return crashesToHoldFor(state, suspect).length;
}

/** Refusal of a request that holds a blocked suspect. */
const KEPT_OUT: CrashRefusal = {
  status: 500,
  reason: CRASHES_SERVERS_REASON,
  retryAfterMs: undefined,
};

/** Returns the refusal of a request whose suspects are not decided; undefined if it may be sent. */
function openRefusal(
  state: GatewayState,
  { nowMs }: Step,
  open: readonly OpenSuspect[],
): CrashRefusal | undefined {
  if (open.length === 0) return undefined;
  const refusal = { status: 503, reason: 'crashSuspect' };
  const dueAtMs = Math.max(0, ...open.map(({ suspect }) => suspect.evaluationDueAtMs ?? 0));
  if (dueAtMs > nowMs) return { ...refusal, retryAfterMs: dueAtMs - nowMs };
  if (maySendTrial(state, open, nowMs)) return undefined;
  return { ...refusal, retryAfterMs: TRIAL_RETRY_AFTER_MS };
}

/**
 * Returns whether this box sends a request whose suspects have three crashes and no verdict. Only the
 * box that ranks first for the likeliest one among those not silent does, one send at a time: the users
 * allow three further sends in all, and copies that arrive at several boxes at once would exceed that. A box that does
 * not know the list of boxes would take itself for the first.
 */
function maySendTrial(state: GatewayState, open: readonly OpenSuspect[], nowMs: number): boolean {
  if (state.part.listRevision === 0) return false;
  const viaHubs = usesHubs(state);
  const isPresent = (peer: PeerView): boolean => viaHubs || isFreshPeer(peer, nowMs);
  const keyHash = hashString(open[0]?.suspect.key ?? '');
  if (boxesRankedBefore(state, keyHash, isPresent) > 0) return false;
  const tried = new Set(open.map(({ suspect }) => suspect));
  return ![...state.requests.values()].some(
    (record) =>
      isBeforeCrashPoint(record, nowMs) &&
      suspectsOf(state, record).some((suspect) => tried.has(suspect)),
  );
}

function isBeforeCrashPoint({ attempts }: RequestRecord, nowMs: number): boolean {
  return !attempts.some((attempt) => attempt.open && isPastCrashPoint(attempt, nowMs));
}
