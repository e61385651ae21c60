/** Rests that servers ask for as they refuse, from this box's own answers and from other boxes. */
import { log, type Step } from '../../state.js';
import type { LifeStatements } from '../../types/serverStatement.js';

/** Longest rest that is kept, in ms: a server is asked again within the time in which its state may have changed. */
const MOST_REST_MS = 5000;
/** Two tellings of one rest differ by less, in ms: each comes a way later. A shorter rest is over before others hear of it. */
export const SAME_REST_MS = 300;

/** Merges a rest: of several the one that ends last holds, in whatever order boxes learn of them. */
export function mergeRest(
  step: Step,
  { statements, leftMs, source }: { statements: LifeStatements; leftMs: number; source: string },
): void {
  const untilMs = step.nowMs + Math.min(MOST_REST_MS, leftMs);
  const { rest } = statements;
  if (rest !== undefined && untilMs <= rest.untilMs + SAME_REST_MS) {
    rest.untilMs = Math.max(rest.untilMs, untilMs);
    return;
  }
  statements.rest = { untilMs, announcement: { changedAtMs: step.nowMs, toldAtMs: undefined } };
  log(step, 'serverRests', {
    server: statements.serverId,
    bornAtMs: statements.bornAtMs ?? 0,
    source,
    leftMs: Math.round(leftMs),
  });
}
