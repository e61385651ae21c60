/**
 * Answers of servers that may have begun their next life, with another version, after this box last read their entry. A
 * server writes its new entry before it accepts requests, so the registry, read after the answer has begun, tells.
 */
import { Reach } from 'reedlug-coordination';
import type { LifeProof } from '../../policy/lifeProof.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { RequestAttempt } from '../../types/request.js';
import { closeAttempt, serverOf } from '../requests/requestCompletion.js';
import { retryAfterLoss } from '../requests/retries.js';
import { isStoreAwayForAll } from '../peers/storeLoss.js';
import { registryAgeMs } from '../store/feedAges.js';
import { proofOfLife, type AnswerTimes } from './answerProofs.js';
import { hasSeveralVersions } from './servedVersions.js';

/** Why the registry is read before the first event of an answer is relayed. */
export const ConfirmationNeed = {
  /** The answer goes on with a stream that has begun. */
  goesOn: 'goesOn',
  /** The answer begins a stream, and it is not known which version its server runs. */
  begins: 'begins',
} as const;
export type ConfirmationNeed = (typeof ConfirmationNeed)[keyof typeof ConfirmationNeed];

/** Returns why the registry has to be read before the first event of an attempt is relayed, or undefined if it need not be. */
export function confirmationNeed(
  state: GatewayState,
  { exchangeId, attemptId }: { exchangeId: number; attemptId: number },
): ConfirmationNeed | undefined {
  const record = state.requests.get(exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === attemptId);
  if (record === undefined || attempt === undefined) return undefined;
  if (record.beganAtVersion !== undefined) return ConfirmationNeed.goesOn;
  // While the store is away, a new stream begins without, and nobody goes on with it.
  const mayConfirm = record.route.resumable && state.storeReachable;
  if (!mayConfirm || attempt.isAtKnownLife) return undefined;
  return hasSeveralVersions(state, record.service) ? ConfirmationNeed.begins : undefined;
}

/**
 * Records whether the registry was read after the answer of an attempt began. If it was not, a stream goes on
 * only at a server whose life something else shows.
 */
export function onAttemptConfirmed(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptConfirmed'>,
): void {
  const record = state.requests.get(event.exchangeId);
  const attempt = record?.attempts.find(({ attemptId }) => attemptId === event.attemptId);
  if (record === undefined || attempt?.open !== true) return;
  if (event.isRegistryRead) {
    attempt.isAtKnownLife ||= serverOf(state, attempt) !== undefined;
    return;
  }
  if (record.beganAtVersion === undefined) return;
  const { nowMs } = step;
  const times = { begunAtMs: event.begunAtMs, connectedAtMs: event.connectedAtMs };
  const proof = proofOfLife(state, { record, attempt }, times, nowMs);
  logUnread(state, step, { record, attempt }, { ...times, proof });
  if (proof !== undefined) return;
  closeAttempt(state, attempt, Reach.maybe);
  step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
  retryAfterLoss(state, step, { record, attempt }, 'registryNotRead');
}

/** Logs an answer that goes on with a stream, or is given up, without a read of the registry since it began. */
function logUnread(
  state: GatewayState,
  step: Step,
  { record, attempt }: RequestAttempt,
  { begunAtMs, connectedAtMs, proof }: AnswerTimes & { proof: LifeProof | undefined },
): void {
  const { nowMs } = step;
  log(step, 'registryNotRead', {
    request: record.facts.requestId,
    server: attempt.serverId,
    version: attempt.version ?? '',
    proof: proof ?? 'none',
    answerAgeMs: Math.round(nowMs - begunAtMs),
    connectionAgeMs: connectedAtMs === undefined ? -1 : Math.round(nowMs - connectedAtMs),
    registryAgeMs: registryAgeMs(state, nowMs),
    isStoreAway: isStoreAwayForAll(state, nowMs),
    wasAtKnownLife: attempt.isAtKnownLife,
  });
}
