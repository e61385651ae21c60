/** Limits that servers in need name in their answers, as this box hears them. */
import { log, type Step } from '../state.js';
import type { LimitWord } from '../types/serverLimit.js';
import type { ServerView } from '../types/views.js';
import type { Found } from './repeats.js';

/** Characters of an odd value that are logged. */
const MOST_LOGGED = 40;

/** Takes what an answer says of its server's limit. */
export function noteLimitWord(
  step: Step,
  view: ServerView,
  { record, attempt }: Found,
  word: LimitWord,
): void {
  const request = record.facts.requestId;
  const server = view.entry.id;
  if (word.kind === 'odd') {
    const value = word.value.slice(0, MOST_LOGGED);
    return log(step, 'serverLimitOdd', { request, server, value });
  }
  const perSecond = word.kind === 'limit' ? word.perSecond : undefined;
  const known = view.limit?.perSecond;
  if (known === undefined && perSecond === undefined) return;
  view.limit = { perSecond, sentAtMs: attempt.sentAtMs, heardAtMs: step.nowMs };
  if (known === perSecond) return;
  log(step, perSecond === undefined ? 'serverLimitEnded' : 'serverLimitNamed', {
    request,
    server,
    bornAtMs: view.entry.bornAtMs ?? 0,
    perSecond: perSecond ?? 0,
    before: known ?? 0,
    sinceSentMs: Math.round(step.nowMs - attempt.sentAtMs),
  });
}
