/** What this box knows of the limits that servers in need name in their answers, and of their pauses. */
import { isNewerWord } from '../policy/serverLimit.js';
import { log, type GatewayState, type Step } from '../state.js';
import type {
  AnswerStatements,
  LimitFact,
  LimitStatement,
  ServerLimit,
} from '../types/serverLimit.js';
import type { ServerView } from '../types/views.js';
import type { Found } from './repeats.js';

/** Longest pause that is kept, in ms: a server is asked again within the time in which its state may have changed. */
export const MOST_PAUSE_MS = 5000;

/** Characters of an odd value that are logged. */
const MOST_LOGGED = 40;

/** Takes what an answer says of its server. */
export function noteStatements(
  state: GatewayState,
  step: Step,
  params: { view: ServerView; found: Found; statements: AnswerStatements },
): void {
  const { view, found, statements } = params;
  const { limit, isLeaving, restMs } = statements;
  noteLimit(state, step, { view, found, word: limit });
  if (restMs !== undefined) notePause(state, step, { view, found, restMs });
  if (!isLeaving) return;
  const { entry, running, leaving } = view;
  const source = found.record.facts.requestId;
  log(step, 'serverSaysLeaving', { server: entry.id, source, running, known: leaving });
}

function noteLimit(
  state: GatewayState,
  step: Step,
  { view, found, word }: { view: ServerView; found: Found; word: LimitStatement },
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

/**
 * Takes the time for which a server that refused a request asks for nothing more. Each box
 * would else send it one more request to hear the same.
 */
function notePause(
  state: GatewayState,
  step: Step,
  { view, found, restMs }: { view: ServerView; found: Found; restMs: number },
): void {
  const untilMs = step.nowMs + Math.min(MOST_PAUSE_MS, restMs);
  if (untilMs <= view.pausedUntilMs) return;
  takePause(state, view, untilMs);
  state.pausesDue.add(view.entry.id);
  log(step, 'serverPaused', {
    server: view.entry.id,
    source: found.record.facts.requestId,
    askedMs: restMs,
    forMs: Math.round(untilMs - step.nowMs),
  });
}

/** Keeps a pause that this box or another one was told. */
export function takePause(state: GatewayState, view: ServerView, untilMs: number): void {
  view.pausedUntilMs = Math.max(view.pausedUntilMs, untilMs);
  state.limitedServers.add(view.entry.id);
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
