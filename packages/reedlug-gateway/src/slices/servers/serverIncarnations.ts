/** Incarnations of servers (a server restarted under the same id is a new one): what runs at one ends with it. */
import type { GatewayState, Step } from '../../state.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type { ServerView } from '../../types/views.js';
import { closeAttempt, reachWhenLost } from '../requests/requestCompletion.js';
import { recordIncarnationEnd, recordLostSend } from '../crashes/lostServers.js';
import { retryAfterRestart } from '../requests/retries.js';

/** Closes the attempts open at a server's earlier incarnation as lost: it has ended with everything it was working on. */
export function failOpenAttempts(state: GatewayState, step: Step, earlier: ServerView): void {
  const lost: { record: RequestRecord; attempt: Attempt }[] = [];
  for (const record of state.requests.values()) {
    for (const attempt of record.attempts) {
      if (attempt.open && attempt.life === earlier.life) lost.push({ record, attempt });
    }
  }
  for (const { record, attempt } of lost) {
    closeAttempt(state, attempt, reachWhenLost(attempt));
    recordLostSend(state, step, { record, attempt, view: earlier });
    step.effects.push({ type: 'cancelAttempt', attemptId: attempt.attemptId });
  }
  recordIncarnationEnd(state, step, earlier.life);
  for (const found of lost) {
    if (state.requests.has(found.record.exchangeId)) retryAfterRestart(state, step, found);
  }
}
