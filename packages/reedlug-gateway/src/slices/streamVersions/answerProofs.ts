/** What shows the life of a server whose answer goes on with a stream, where the registry could not be read since. */
import { lifeProof, type LifeEvidence, type LifeProof } from '../../policy/lifeProof.js';
import type { GatewayState } from '../../state.js';
import type { AttemptIds, RequestAttempt } from '../../types/request.js';
import { isStoreAwayForAll } from '../peers/storeLoss.js';
import { findOpenAttempt } from '../requests/openAttempts.js';
import { serverOf } from '../requests/requestCompletion.js';
import { registryKnownAtMs } from '../store/feedAges.js';
import { hasSeveralVersions } from './servedVersions.js';
import { knownLives } from './serverLives.js';

/** An answer: when it began, and since when its connection is open, on this box's clock, in ms. */
export interface AnswerTimes {
  begunAtMs: number;
  connectedAtMs: number | undefined;
}

/** Returns whether an answer that goes on with a stream still lacks a proof of its server's life, but may get one. */
export function isProofAwaited(
  state: GatewayState,
  ids: AttemptIds,
  times: AnswerTimes,
  nowMs: number,
): boolean {
  const found = findOpenAttempt(state, ids);
  return found !== undefined && proofOfLife(state, found, times, nowMs) === undefined;
}

/** Returns what shows that the server of an attempt runs the life of its entry. */
export function proofOfLife(
  state: GatewayState,
  found: RequestAttempt,
  times: AnswerTimes,
  nowMs: number,
): LifeProof | undefined {
  const view = serverOf(state, found.attempt);
  return view === undefined ? undefined : lifeProof(evidenceOf(state, found, times, nowMs));
}

function evidenceOf(
  state: GatewayState,
  found: RequestAttempt,
  { begunAtMs, connectedAtMs }: AnswerTimes,
  nowMs: number,
): LifeEvidence {
  return {
    answerBegunAtMs: begunAtMs,
    registryKnownAtMs: registryKnownAtMs(state),
    connectedAtMs,
    otherAttempts: otherAttemptsOf(state, found),
    wasBelieved: wasBelieved(state, found, nowMs),
    isStoreAway: isStoreAwayForAll(state, nowMs),
  };
}

function otherAttemptsOf(
  { requests }: GatewayState,
  { attempt }: RequestAttempt,
): LifeEvidence['otherAttempts'] {
  const others: { firstOutputAtMs: number; lastOutputAtMs: number }[] = [];
  for (const { attempts } of requests.values()) {
    for (const { open, life, attemptId, firstOutputAtMs, lastActivityAtMs, isHeld } of attempts) {
      if (!open || life !== attempt.life || attemptId === attempt.attemptId) continue;
      if (firstOutputAtMs === undefined || isHeld === true) continue;
      others.push({ firstOutputAtMs, lastOutputAtMs: lastActivityAtMs });
    }
  }
  return others;
}

/** Whether the entry was believed. Where one version has served, the next life of a server hardly has another one. */
function wasBelieved(
  state: GatewayState,
  { record, attempt }: RequestAttempt,
  nowMs: number,
): boolean {
  if (attempt.isAtKnownLife || !hasSeveralVersions(state, record.service)) return true;
  const view = serverOf(state, attempt);
  return view !== undefined && knownLives(state, nowMs).has(view);
}
