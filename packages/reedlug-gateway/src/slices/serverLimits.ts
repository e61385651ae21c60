/** What this box knows of the limits that servers in need name in their answers. */
import { isNewerWord } from '../policy/serverLimit.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { LimitFact, LimitWord, ServerLimit } from '../types/serverLimit.js';
import type { ServerView } from '../types/views.js';
import type { Found } from './repeats.js';

/** Characters of an odd value that are logged. */
const MOST_LOGGED = 40;

/** Takes what an answer says of its server's limit. */
export function noteLimitWord(
  state: GatewayState,
  step: Step,
  { view, found, word }: { view: ServerView; found: Found; word: LimitWord },
): void {
  const { record, attempt } = found;
  const { requestId } = record.facts;
  if (word.kind === 'odd') {
    const value = word.value.slice(0, MOST_LOGGED);
    return log(step, 'serverLimitOdd', { request: requestId, server: view.entry.id, value });
  }
  const perSecond = word.kind === 'limit' ? word.perSecond : undefined;
  const fact = { perSecond, sentAtMs: attempt.sentAtMs, heardAtMs: step.nowMs };
  takeLimitFact(state, step, { view, fact, source: requestId });
}

/**
 * Takes what a server said, to this box or to another one. It belongs to this life of the
 * server alone; `source` names the request, or the box that told it.
 */
export function takeLimitFact(
  state: GatewayState,
  step: Step,
  { view, fact, source }: { view: ServerView; fact: LimitFact; source: string },
): void {
  const { limit } = view;
  if (!isNewerWord(fact, limit)) return;
  const { perSecond, sentAtMs, heardAtMs } = fact;
  const before = limit?.perSecond;
  const known = limit ?? createLimit(fact, step.nowMs);
  view.limit = known;
  known.perSecond = perSecond;
  known.sentAtMs = sentAtMs;
  known.heardAtMs = heardAtMs;
  known.lastPerSecond = perSecond ?? known.lastPerSecond;
  state.limitedServers.add(view.entry.id);
  if (before === perSecond) return;
  known.changedAtMs = step.nowMs;
  log(step, perSecond === undefined ? 'serverLimitEnded' : 'serverLimitNamed', {
    server: view.entry.id,
    bornAtMs: view.entry.bornAtMs ?? 0,
    perSecond: perSecond ?? 0,
    before: before ?? 0,
    source,
    ageMs: Math.round(step.nowMs - heardAtMs),
  });
}

function createLimit(fact: LimitFact, nowMs: number): ServerLimit {
  return {
    ...fact,
    lastPerSecond: fact.perSecond ?? 0,
    knownSinceMs: nowMs,
    changedAtMs: nowMs,
    told: undefined,
    place: undefined,
    sends: { atMs: [], sinceMs: undefined, followsOther: false },
  };
}
