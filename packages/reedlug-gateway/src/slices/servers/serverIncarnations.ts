/** Incarnations of servers (a server restarted under the same id is a new one): what runs at one ends with it. */
import type { GatewayState, Step } from '../../state.js';
import { runPart } from '../../stepFaults.js';
import type { RequestAttempt } from '../../types/request.js';
import type { ServerView } from '../../types/views.js';
import { closeAttempt, reachWhenLost } from '../requests/requestCompletion.js';
import { softwareVersionOf } from '../streamVersions/servedVersions.js';
import { recordUncertainBegin } from '../streamVersions/startGossip.js';
import { recordIncarnationEnd, recordLostSend } from '../crashes/lostServers.js';
import { retryAfterRestart } from '../requests/retries.js';

/**
 * Time since its last event within which an attempt counts as served by the server's next life, in ms: the
 * connections of an earlier life end with it, so events still come from the next one alone.
 */
const MAX_ACTIVE_PAUSE_MS = 1000;

/** Closes the attempts open at a server's earlier incarnation as lost: it has ended with everything it was working on. */
export function failOpenAttempts(state: GatewayState, step: Step, earlier: ServerView): void {
  const lost: RequestAttempt[] = [];
  for (const record of state.requests.values()) {
    for (const attempt of record.attempts) {
      if (attempt.open && attempt.life === earlier.life) lost.push({ record, attempt });
    }
  }
  const next = state.servers.get(earlier.entry.id);
  const isOtherVersion =
    next !== undefined && softwareVersionOf(next.entry) !== softwareVersionOf(earlier.entry);
  for (const { record, attempt } of lost) {
    const hasOutput = attempt.firstOutputAtMs !== undefined;
    const isActive = step.nowMs - attempt.lastActivityAtMs < MAX_ACTIVE_PAUSE_MS;
    if (isOtherVersion && hasOutput && isActive) recordUncertainBegin(state, step, record);
    closeAttempt(state, attempt, reachWhenLost(attempt));
    recordLostSend(state, step, { record, attempt, view: earlier });
    step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
  }
  recordIncarnationEnd(state, step, earlier.life);
  for (const found of lost) {
    const { exchangeId } = found.record;
    if (!state.requests.has(exchangeId)) continue;
    runPart(step, () => retryAfterRestart(state, step, found), exchangeId);
  }
}
